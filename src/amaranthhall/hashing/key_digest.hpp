#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace amaranthhall::hashing {

/// @brief One-way digest of an API key: 16 bytes of the SHA-256 of a fixed context and the key. Daemons keep, compare and send digests, never keys.
using KeyDigest = std::array<unsigned char, 16>;

/// @brief Computes the digest of a key; the same on all daemons.
[[nodiscard]] KeyDigest digestOf(std::string_view key);

/// @brief Hash function for containers of digests; a digest is uniformly distributed, so its first bytes are enough.
struct KeyDigestHash {
    [[nodiscard]] std::size_t operator()(const KeyDigest& digest) const noexcept;
};

}

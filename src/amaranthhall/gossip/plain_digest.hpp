#pragma once

#include "amaranthhall/gossip/digest.hpp"

#include <optional>
#include <string>
#include <string_view>

/// @brief Datagrams in WireFormat::PlainVersions.
namespace amaranthhall::gossip {

/// @brief Encodes a digest for a daemon that knows no eras; versions of eras after the first are sent as 0.
[[nodiscard]] std::string encodePlainDigest(const Digest& digest);

/// @brief Decodes a digest of such a daemon; returns std::nullopt if it is malformed.
[[nodiscard]] std::optional<Digest> decodePlainDigest(std::string_view bytes);

}

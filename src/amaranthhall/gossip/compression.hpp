#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::gossip {

/// @brief Compresses bytes with zlib at its fastest level.
[[nodiscard]] std::string compress(std::string_view bytes);

/// @brief Decompresses the output of compress(); returns std::nullopt if the input is corrupt or the result would exceed `maximum` bytes.
[[nodiscard]] std::optional<std::string> decompress(std::string_view compressed, std::size_t maximum);

}

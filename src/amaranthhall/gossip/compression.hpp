#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::gossip {

/// @brief Compresses bytes with zlib, for speed rather than size.
[[nodiscard]] std::string compress(std::string_view bytes);

/// @brief Restores what compress() made; gives nothing if the bytes are damaged or the result would exceed `maximum` bytes.
[[nodiscard]] std::optional<std::string> decompress(std::string_view compressed, std::size_t maximum);

}

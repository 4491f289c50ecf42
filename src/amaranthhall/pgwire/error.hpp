#pragma once

#include <cstdint>

namespace amaranthhall::pgwire {

/// @brief Reason why a byte stream cannot be split into messages.
enum class WireError : std::uint8_t {
    Oversized, ///< The message body exceeds the limit.
    Malformed, ///< The length is smaller than the length field itself.
};

}

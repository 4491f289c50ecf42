#pragma once

#include "amaranthhall/kernel/socket.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <optional>

namespace amaranthhall::kernel {

/// @brief Returns the shortest round-trip time that the system has measured on a TCP connection in the last minutes; std::nullopt if there is none.
[[nodiscard]] std::optional<Duration> minimumRoundTrip(const Socket& connection) noexcept;

}

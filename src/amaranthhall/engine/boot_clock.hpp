#pragma once

#include "amaranthhall/freshness/store_clock.hpp"

namespace amaranthhall::engine {

/// @brief Reads CLOCK_BOOTTIME, which keeps running while the VM is suspended.
[[nodiscard]] freshness::Micros bootNow() noexcept;

}

#pragma once

#include "amaranthhall/freshness/store_clock.hpp"

namespace amaranthhall::freshness {

/// @brief Reads CLOCK_BOOTTIME, which keeps running while the VM is suspended.
[[nodiscard]] Micros bootNow() noexcept;

}

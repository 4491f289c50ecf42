#pragma once

#include "amaranthhall/freshness/store_clock.hpp"

namespace amaranthhall::engine {

/// @brief Reads the clock that goes on while the VM is suspended.
[[nodiscard]] freshness::Micros bootNow() noexcept;

}

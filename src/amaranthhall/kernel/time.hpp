#pragma once

#include <chrono>

namespace amaranthhall {

/// @brief Clock of all deadlines; it never runs backwards.
using Clock = std::chrono::steady_clock;

/// @brief A moment on the steady clock.
using Time = Clock::time_point;

/// @brief A span of time on the steady clock.
using Duration = Clock::duration;

}

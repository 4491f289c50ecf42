#pragma once

#include "amaranthhall/bench/history.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace amaranthhall::bench {

/**
 * @brief Finds how long writes to a group were impossible after a fault.
 * @param instance The group's instance.
 * @param fault When the fault began.
 * @param window How long after the fault to look.
 * @return The longest time between one acknowledged write and the next, from just before the fault
 * on; nothing if no write was acknowledged afterwards.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> measureGap(const History& history, std::size_t instance, Time fault, Duration window);

}

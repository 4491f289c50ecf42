#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::kernel {

/**
 * @brief Parses a duration such as `250ms`, `5s` or `2m`.
 * @return The duration, or nothing if the unit is missing or unknown, or the number does not fit.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// @brief Formats a duration in the largest unit that holds it exactly.
[[nodiscard]] std::string formatDuration(std::chrono::milliseconds duration);

}

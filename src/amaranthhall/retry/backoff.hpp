#pragma once

#include "amaranthhall/kernel/random.hpp"

#include <algorithm>
#include <chrono>

namespace amaranthhall::retry {

/// @brief Bounds of the pauses between attempts.
struct BackoffOptions {
    std::chrono::milliseconds first { 10 };
    std::chrono::milliseconds limit { 1000 };
};

/**
 * @brief Draws the pause before an attempt: uniform up to a bound that doubles with each.
 * @param retries Number of retries before this one.
 */
[[nodiscard]] inline std::chrono::milliseconds drawPause(const BackoffOptions& options, unsigned retries, Random& random)
{
    constexpr unsigned maximumDoublings = 10;
    const auto bound = std::min(options.limit, options.first * (1U << std::min(retries, maximumDoublings)));
    return std::chrono::milliseconds(std::uniform_int_distribution<std::chrono::milliseconds::rep>(0, bound.count())(random));
}

}

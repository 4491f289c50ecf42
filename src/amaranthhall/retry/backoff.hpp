#pragma once

#include "amaranthhall/kernel/random.hpp"

#include <algorithm>
#include <chrono>

namespace amaranthhall::retry {

/// @brief Bounds of the delay between attempts.
struct BackoffOptions {
    std::chrono::milliseconds first { 10 };
    std::chrono::milliseconds limit { 1000 };
};

/// @brief Returns a delay that doubles with each retry, up to the limit.
[[nodiscard]] inline std::chrono::milliseconds backoffDelay(const BackoffOptions& options, unsigned retries)
{
    constexpr unsigned maximumDoublings = 10;
    return std::min(options.limit, options.first * (1U << std::min(retries, maximumDoublings)));
}

/**
 * @brief Returns a delay with full jitter: uniformly distributed between 0 and backoffDelay().
 * @param retries Number of retries before this one.
 */
[[nodiscard]] inline std::chrono::milliseconds jitteredDelay(const BackoffOptions& options, unsigned retries, Random& random)
{
    const auto upperBound = backoffDelay(options, retries);
    return std::chrono::milliseconds(std::uniform_int_distribution<std::chrono::milliseconds::rep>(0, upperBound.count())(random));
}

}

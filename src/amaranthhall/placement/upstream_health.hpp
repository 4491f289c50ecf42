#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace amaranthhall::placement {

/// @brief What this daemon has seen of one upstream.
struct UpstreamHealth {
    Duration latency { std::chrono::milliseconds(10) }; ///< Moving average of a statement's time.
    unsigned failures { 0 }; ///< Connects or statements that failed in a row.
    std::optional<Time> failingSince; ///< First of the failures in a row.
    bool isRefusing { false }; ///< The last failure was a refusal or a reset, not silence.
    Time heardAt; ///< When the last byte came.
    Time avoidUntil; ///< After a failure, until the next trial.
    Time busyUntil; ///< It refused for want of capacity.
    Time laggingUntil; ///< It lacked a wanted position.
};

/// @brief Takes in that the upstream has sent something.
inline void noteHeard(UpstreamHealth& health, Time now) noexcept
{
    health.failures = 0;
    health.failingSince.reset();
    health.heardAt = now;
    health.avoidUntil = Time();
}

/// @brief Takes in the time of an answered statement.
inline void noteAnswer(UpstreamHealth& health, Duration taken, Time now) noexcept
{
    constexpr int weight = 8; // of the past against one sample
    health.latency = (health.latency * (weight - 1) + taken) / weight;
    noteHeard(health, now);
}

/// @brief Takes in a failure: the pause before the next trial doubles with each.
inline void noteFailure(UpstreamHealth& health, bool isRefusal, Time now) noexcept
{
    constexpr Duration firstPause = std::chrono::milliseconds(50);
    constexpr Duration longestPause = std::chrono::milliseconds(800);
    constexpr unsigned mostDoublings = 4;
    health.avoidUntil = now + std::min(longestPause, firstPause * (1U << std::min(health.failures, mostDoublings)));
    ++health.failures;
    health.isRefusing = isRefusal;
    if (!health.failingSince)
        health.failingSince = now;
}

/// @brief Takes in that it refused for want of capacity.
inline void noteBusy(UpstreamHealth& health, Time now) noexcept
{
    health.busyUntil = now + std::max<Duration>(std::chrono::milliseconds(5), health.latency / 2);
}

/// @brief Takes in that it lacked a position.
inline void noteLag(UpstreamHealth& health, Time now) noexcept
{
    constexpr Duration pause = std::chrono::milliseconds(20); // about the usual replication delay
    health.laggingUntil = now + pause;
}

}

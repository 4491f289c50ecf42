#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace amaranthhall::placement {

/// @brief What this daemon has seen of one upstream.
struct UpstreamHealth {
    Duration latency { std::chrono::milliseconds(10) }; ///< Moving average of a statement's time.
    unsigned failures { 0 }; ///< Connects or statements that failed in a row.
    std::optional<Time> failingSince; ///< First of the failures in a row.
    bool isRefusing { false }; ///< The last failure was a refusal or a reset, not silence.
    Time lastActivity; ///< When the last byte came.
    Time avoidUntil; ///< After a failure, until the next trial.
    Time overloadedUntil; ///< It refused for want of capacity.
    Time connectNotBefore; ///< It refused a connection for want of room, until the next trial.
    double faults { 0 }; ///< Statements that hung, failed or were lost lately; each counts less with every success after it.
    Time paceUntil; ///< No further statement is sent before, as all daemons together fill its queue.
    double window { fullWindow }; ///< Part of its slots that this daemon may fill, over 1 for a queue there.

    static constexpr double fullWindow = 1.0;
};

/// @brief Takes in that the upstream has sent something.
inline void noteActivity(UpstreamHealth& health, Time now) noexcept
{
    health.failures = 0;
    health.failingSince.reset();
    health.lastActivity = now;
    health.avoidUntil = Time();
}

/// @brief Takes in the time of an answered statement.
inline void noteAnswer(UpstreamHealth& health, Duration taken, Time now) noexcept
{
    constexpr int averagingWeight = 8; // of the past against one sample
    constexpr double faultDecay = 0.95;
    constexpr double windowStep = 0.02; // 25 answers open a halved window again
    health.latency = (health.latency * (averagingWeight - 1) + taken) / averagingWeight;
    health.faults *= faultDecay;
    health.window = std::min(UpstreamHealth::fullWindow, health.window + windowStep);
    noteActivity(health, now);
}

/// @brief Takes in that a statement hung, failed or was lost, although the upstream answers others.
inline void noteFault(UpstreamHealth& health) noexcept
{
    constexpr double maximumFaults = 10; // forgotten after about 40 successes
    health.faults = std::min(maximumFaults, health.faults + 1);
}

/// @brief Tells whether statements take so long that they must be waiting at the upstream.
[[nodiscard]] inline bool isCongested(const UpstreamHealth& health) noexcept
{
    constexpr Duration congestionThreshold = std::chrono::milliseconds(30); // well over a statement's work and well under a route's target
    return health.latency >= congestionThreshold;
}

/**
 * @brief Gives how long to wait after an answer before the next statement goes to an upstream.
 *
 * Answers the load of many daemons on one upstream whose slots are all taken: each daemon then sends only its part of
 * what keeps the slots filled, so that statements wait at the daemons, in order of urgency, and not in the upstream's queue.
 */
[[nodiscard]] inline Duration pacingDelay(const UpstreamHealth& health, std::size_t daemons, std::uint32_t slots) noexcept
{
    constexpr std::size_t statementsPerSlot = 2; // one at work, one that waits for it
    const auto statementsInFlight = statementsPerSlot * std::max<std::size_t>(1, slots);
    if (!isCongested(health) || daemons <= statementsInFlight)
        return Duration::zero();
    return health.latency * (daemons - statementsInFlight) / statementsInFlight;
}

/// @brief Takes in a failure: the pause before the next trial doubles with each.
inline void noteFailure(UpstreamHealth& health, bool isRefusal, Time now) noexcept
{
    constexpr Duration initialPause = std::chrono::milliseconds(50);
    constexpr Duration maximumPause = std::chrono::milliseconds(800);
    constexpr unsigned maximumDoublings = 4;
    health.avoidUntil = now + std::min(maximumPause, initialPause * (1U << std::min(health.failures, maximumDoublings)));
    ++health.failures;
    health.isRefusing = isRefusal;
    if (!health.failingSince)
        health.failingSince = now;
}

/// @brief Takes in that it refused a statement for want of capacity: fewer are sent to it until it keeps up again.
inline void noteOverload(UpstreamHealth& health, Time now) noexcept
{
    constexpr double minimumWindow = 0.1;
    health.overloadedUntil = now + std::max<Duration>(std::chrono::milliseconds(5), health.latency / 2);
    health.window = std::max(minimumWindow, health.window / 2);
}

/// @brief Takes in that it refused a connection for want of room.
inline void noteConnectionLimit(UpstreamHealth& health, Time now) noexcept
{
    constexpr Duration pause = std::chrono::milliseconds(250); // room comes as others close, at worst after the 3 s that a dead VM's are held
    health.connectNotBefore = now + pause;
}

/// @brief Gives how many statements this daemon may have running there.
[[nodiscard]] inline std::uint32_t concurrencyLimit(const UpstreamHealth& health, std::uint32_t slots) noexcept
{
    return std::max(1U, static_cast<std::uint32_t>(health.window * std::max(1U, slots)));
}

}

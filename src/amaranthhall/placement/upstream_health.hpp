#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace amaranthhall::placement {

/// @brief This daemon's observations of one upstream.
struct UpstreamHealth {
    Duration latency { std::chrono::milliseconds(10) }; ///< Moving average of the statement latency.
    unsigned failures { 0 }; ///< Consecutive failures of connections or statements.
    std::optional<Time> failingSince; ///< Time of the first of the consecutive failures.
    bool isRefusing { false }; ///< The last failure was a refused or reset connection, not a timeout.
    Time lastActivity; ///< When data was last received.
    Time avoidUntil; ///< After a failure, when it may be tried again.
    Time overloadedUntil; ///< After a refusal because of overload.
    unsigned rejections { 0 }; ///< Consecutive refusals because of overload.
    Time connectNotBefore; ///< After a connection was refused at its connection limit, when another may be tried.
    double faults { 0 }; ///< Statements that recently hung, failed or were lost; decays with every success.
    Time paceUntil; ///< No statement is sent before; see pacingDelay().
    double window { fullWindow }; ///< Fraction of its slots that this daemon may occupy.

    static constexpr double fullWindow = 1.0;
};

/// @brief Records that data was received from the upstream.
inline void noteActivity(UpstreamHealth& health, Time now) noexcept
{
    health.failures = 0;
    health.failingSince.reset();
    health.lastActivity = now;
    health.avoidUntil = Time();
}

/// @brief Records the latency of an answered statement.
inline void noteAnswer(UpstreamHealth& health, Duration statementLatency, Time now) noexcept
{
    constexpr int averagingWeight = 8; // a sample enters the average with 1/8
    constexpr double faultDecay = 0.95;
    constexpr double windowStep = 0.02; // 25 answers restore a halved window
    health.latency = (health.latency * (averagingWeight - 1) + statementLatency) / averagingWeight;
    health.faults *= faultDecay;
    health.rejections = 0;
    health.window = std::min(UpstreamHealth::fullWindow, health.window + windowStep);
    noteActivity(health, now);
}

/// @brief Records that a statement hung, failed or was lost although the upstream answers others.
inline void noteFault(UpstreamHealth& health) noexcept
{
    constexpr double maximumFaults = 10; // about 40 successes reduce it to 1
    health.faults = std::min(maximumFaults, health.faults + 1);
}

/// @brief Returns whether the latency shows that statements queue at the upstream.
[[nodiscard]] inline bool isCongested(const UpstreamHealth& health) noexcept
{
    constexpr Duration congestionThreshold = std::chrono::milliseconds(30); // well above the execution time of a statement and well below the target latency of a route
    return health.latency >= congestionThreshold;
}

/**
 * @brief Returns the delay between an answer and the next statement to a congested upstream.
 *
 * Guards against many daemons overloading one upstream: each daemon sends only its share of the statements that keep the slots
 * occupied, so that statements wait in the daemons, in order of urgency, and not in the queue of the upstream.
 */
[[nodiscard]] inline Duration pacingDelay(const UpstreamHealth& health, std::size_t daemons, std::uint32_t slots) noexcept
{
    constexpr std::size_t statementsPerSlot = 2; // one running, one queued behind it
    const auto statementsInFlight = statementsPerSlot * std::max<std::size_t>(1, slots);
    if (!isCongested(health) || daemons <= statementsInFlight)
        return Duration::zero();
    return health.latency * (daemons - statementsInFlight) / statementsInFlight;
}

/// @brief Records a failure; the delay before the next attempt doubles with each consecutive failure.
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

/**
 * @brief Records a statement refused because of overload; fewer are sent until the upstream keeps up again.
 *
 * The pause doubles with each consecutive refusal: an upstream may refuse all statements of this daemon while it serves others.
 */
inline void noteOverload(UpstreamHealth& health, Time now) noexcept
{
    constexpr double minimumWindow = 0.1;
    constexpr Duration minimumPause = std::chrono::milliseconds(5);
    constexpr Duration maximumPause = std::chrono::milliseconds(800); // as after failures
    constexpr unsigned maximumDoublings = 8;
    const auto pause = std::max<Duration>(minimumPause, health.latency / 2);
    health.overloadedUntil = now + std::min(std::max(maximumPause, pause), pause * (1U << std::min(health.rejections, maximumDoublings)));
    ++health.rejections;
    health.window = std::max(minimumWindow, health.window / 2);
}

/// @brief Records a connection refused at the connection limit of the upstream.
inline void noteConnectionLimit(UpstreamHealth& health, Time now) noexcept
{
    constexpr Duration pause = std::chrono::milliseconds(250); // connections become free as others close, at the latest after the 3 s for which those of a dead VM are held
    health.connectNotBefore = now + pause;
}

/// @brief Returns how many statements this daemon may have running on the upstream.
[[nodiscard]] inline std::uint32_t concurrencyLimit(const UpstreamHealth& health, std::uint32_t slots) noexcept
{
    return std::max(1U, static_cast<std::uint32_t>(health.window * std::max(1U, slots)));
}

}

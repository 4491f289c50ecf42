#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <optional>

namespace amaranthhall::admission {

/// @brief State of a queue of statements, and the rate at which it is served while it is not empty.
struct QueueState {
    std::uint32_t waiting { 0 };
    std::uint32_t samples { 0 };
    Duration grantInterval { 0 }; ///< Moving average of the time between two grants of a connection.
    std::optional<Time> lastGrant; ///< Unset if the queue was empty after the last grant.
    Time lastSampleAt;
};

/// @brief A statement that is to be queued.
struct Arrival {
    Time now;
    Time deadline;
    std::uint32_t serviceWaiting { 0 }; ///< Statements of the service queued on this daemon.
    std::uint32_t groupWaiting { 0 }; ///< Those of `serviceWaiting` that belong to the group of this statement.
    std::uint32_t serviceLimit { 0 }; ///< Maximum of `serviceWaiting`.
    std::uint32_t groups { 1 }; ///< Number of groups of the service.
    Duration expectedServiceTime { 0 }; ///< Expected time from sending to answer, from current latencies.
    double relativeCost { 1 }; ///< Service time relative to the average of all statements.
};

/// @brief Why a statement is shed.
enum class ShedReason : std::uint8_t {
    QueueFull,
    GroupShareFull, ///< The queue is at least half full, and the group already occupies its share.
    TooSlow, ///< At the current rate it would miss its deadline.
};

/// @brief Rejection of a statement before any part of it ran.
struct Shed {
    ShedReason reason { ShedReason::QueueFull };
    Duration retryAfter { 0 };
};

/**
 * @brief Decides whether a statement is queued or shed.
 *
 * Any group may use the first half of the service's queue; beyond that, a group gets only its share, so that one slow group does not
 * block the others. The estimated wait is ignored while the rate is unknown, as during a change of primary.
 *
 * A statement with none ahead of it is never shed for the estimated wait: it shows whether the rate has recovered, for example after an upstream did not answer.
 *
 * Under overload, expensive statements are shed first, as several cheap ones run in the time of each.
 *
 * @return Nothing if the statement may be queued.
 */
[[nodiscard]] std::optional<Shed> admit(const QueueState& queue, const Arrival& arrival) noexcept;

/// @brief Records that a queued statement was granted a connection; `QueueState::waiting` must already exclude it.
void noteGrant(QueueState& queue, Time now) noexcept;

/// @brief Estimates how long a new statement would wait; nothing if the rate is unknown.
[[nodiscard]] std::optional<Duration> estimateWait(const QueueState& queue, Time now) noexcept;

}

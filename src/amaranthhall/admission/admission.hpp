#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <optional>

namespace amaranthhall::admission {

/// @brief The queue of one kind of work of one group, and how fast it is served while it holds any.
struct QueueState {
    std::uint32_t waiting { 0 };
    std::uint32_t samples { 0 };
    Duration grantInterval { 0 }; ///< Moving average of the time between two grants.
    std::optional<Time> lastGrant; ///< Unset if nothing waited after the last grant.
    Time lastSampleAt;
};

/// @brief Work that asks to be queued.
struct Arrival {
    Time now;
    Time deadline;
    std::uint32_t serviceWaiting { 0 }; ///< Statements of the service that wait on this daemon.
    std::uint32_t groupWaiting { 0 }; ///< Of these, the group's.
    std::uint32_t serviceLimit { 0 }; ///< Statements of the service that may wait.
    std::uint32_t groups { 1 }; ///< Groups of the service.
    Duration expectedServiceTime { 0 }; ///< From its sending to its answer, as statements take now.
    double relativeCost { 1 }; ///< Its work over that of all statements.
};

/// @brief Why work is refused at once.
enum class ShedReason : std::uint8_t {
    QueueFull,
    GroupShareFull, ///< The group waits for more than its part of a queue that is filling up.
    TooSlow, ///< At the present rate it would not be served by its deadline.
};

/// @brief Refusal of work before anything of it ran.
struct Shed {
    ShedReason reason { ShedReason::QueueFull };
    Duration retryAfter { 0 };
};

/**
 * @brief Decides whether work may wait.
 *
 * A group may take the queue of its service up to half, and beyond that only its own part, so that one
 * slow group does not shut out the others. A lane whose rate is not known, as during a change of primary, is not
 * judged by it.
 *
 * Answers an upstream that is asked for more than it can do: heavy statements give way first, as several light ones run in the
 * time of each.
 *
 * @return Nothing if it may wait.
 */
[[nodiscard]] std::optional<Shed> admit(const QueueState& queue, const Arrival& arrival) noexcept;

/// @brief Takes in that waiting work was granted a connection; `QueueState::waiting` counts what waits after it.
void noteGrant(QueueState& queue, Time now) noexcept;

/// @brief Estimates how long new work would wait; gives nothing if the rate is not known.
[[nodiscard]] std::optional<Duration> estimateWait(const QueueState& queue, Time now) noexcept;

}

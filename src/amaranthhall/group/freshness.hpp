#pragma once

#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <deque>
#include <optional>

namespace amaranthhall::group {

/// @brief A time at which the primary's log had not grown beyond a position.
struct FreshnessSample {
    Position position { 0 };
    Time at;
};

/// @brief Log positions of one term's primary over time, oldest first.
struct FreshnessHistory {
    Term term { 0 };
    std::deque<FreshnessSample> samples;
};

/**
 * @brief Adds a log position reported by the primary of a term.
 * @param requestedAt When the status request was sent; the position is at least as recent as this.
 */
void addSample(FreshnessHistory& history, LogPoint point, Time requestedAt);

/**
 * @brief Returns the latest time whose writes are all visible on an upstream.
 * @param term Term of the upstream.
 * @param applied Position up to which its reads show the log.
 * @return The time, or nothing if the history has no sample that old or is of another term.
 */
[[nodiscard]] std::optional<Time> freshAsOf(const FreshnessHistory& history, Term term, Position applied) noexcept;

}

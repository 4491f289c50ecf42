#pragma once

#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <deque>
#include <optional>

namespace amaranthhall::group {

/// @brief A moment at which the primary had written no more than a position.
struct FreshnessSample {
    Position position { 0 };
    Time at;
};

/// @brief Positions of one term's primary over time, the oldest first.
struct FreshnessHistory {
    Term term { 0 };
    std::deque<FreshnessSample> samples;
};

/**
 * @brief Takes in a position that the primary of a term told.
 * @param requestedAt When the question was sent, so that the position is no older than this.
 */
void addSample(FreshnessHistory& history, LogPoint point, Time requestedAt);

/**
 * @brief Gives the latest moment whose writes an upstream shows.
 * @param term Term that the upstream is in.
 * @param applied Records that its reads show.
 * @return The moment, or nothing if the history does not reach it.
 */
[[nodiscard]] std::optional<Time> freshAsOf(const FreshnessHistory& history, Term term, Position applied) noexcept;

}

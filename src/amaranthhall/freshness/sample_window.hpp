#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/group/log_point.hpp"

#include <deque>
#include <optional>

namespace amaranthhall::freshness {

/// @brief A log position that includes every commit acknowledged before a point in time.
struct Sample {
    group::LogPoint point;
    Micros at { 0 }; ///< Local boot time at which the request was sent whose answer proved that the primary leads.
};

/// @brief Recent position samples of one service in ascending order of time.
class SampleWindow {
public:
    static constexpr Micros maximumAge = 4'000'000; ///< In µs; exceeds the longest staleness that a route can allow.
    static constexpr Micros minimumSpacing = 50'000; ///< In µs; a sample is removed if its two neighbours are closer together than this.

    /// @brief Adds a sample in any order, thins out closely spaced samples and drops those older than maximumAge.
    void add(const Sample& sample);

    /// @brief Drops samples after a position, because a promotion rolled back the log entries after it.
    void dropAfter(const group::LogPoint& point);

    /// @brief Returns the newest sample, if any.
    [[nodiscard]] std::optional<Sample> newest() const noexcept;

    /**
     * @brief Returns the least position that a read must wait for to see every commit acknowledged before `since`.
     *
     * Only samples of the newest term count, as earlier terms may have been rolled back.
     * @return Empty if all samples are older than `since`.
     */
    [[nodiscard]] std::optional<group::LogPoint> leastPointSince(Micros since) const noexcept;

    /// @brief Returns the first sample after a position.
    [[nodiscard]] std::optional<Sample> firstAfter(const group::LogPoint& point) const noexcept;

    /// @brief Returns when the leader's log had reached a position: the time of the first sample at or after it.
    [[nodiscard]] std::optional<Micros> reachedAt(const group::LogPoint& point) const noexcept;

private:
    std::deque<Sample> samples;
};

}

#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/group/log_point.hpp"

#include <deque>
#include <optional>

namespace amaranthhall::freshness {

/// @brief A position that held every commit acknowledged before a moment.
struct Sample {
    group::LogPoint point;
    Micros at { 0 }; ///< Local boot time when the primary that proved its lead was asked.
};

/// @brief Samples of one service over the last seconds, oldest first.
class SampleWindow {
public:
    static constexpr Micros maximumAge = 4'000'000; ///< Over the longest staleness that routes allow.
    static constexpr Micros minimumSpacing = 50'000; ///< Samples closer than this replace each other.

    /// @brief Takes in a sample; one that adds nothing is dropped.
    void add(const Sample& sample);

    /// @brief Drops samples beyond a position, as a promotion has rolled back what they stand for.
    void dropAfter(const group::LogPoint& point);

    /// @brief Gives the newest sample.
    [[nodiscard]] std::optional<Sample> newest() const noexcept;

    /**
     * @brief Gives the least demanding position that a read may be bound to.
     * @param since The read must show every commit acknowledged before this moment.
     * @return Nothing if no sample is as young as that.
     */
    [[nodiscard]] std::optional<group::LogPoint> leastPointSince(Micros since) const noexcept;

    /// @brief Gives the first sample beyond a position.
    [[nodiscard]] std::optional<Sample> firstAfter(const group::LogPoint& point) const noexcept;

    /// @brief Gives the newest sample that is not younger than a moment.
    [[nodiscard]] std::optional<Sample> newestNotAfter(Micros moment) const noexcept;

private:
    std::deque<Sample> samples;
};

}

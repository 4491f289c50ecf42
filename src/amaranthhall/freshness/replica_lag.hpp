#pragma once

#include "amaranthhall/freshness/sample_window.hpp"

#include <optional>

namespace amaranthhall::freshness {

/// @brief How far one upstream's log is behind the leader's, as its answers told.
struct ReplicaLag {
    static constexpr Micros maximumAge = 3'000'000; ///< An older estimate says nothing of the present.
    static constexpr Micros safetyMargin = 4'000; ///< A position is expected to be held only this long after its time.

    group::LogPoint reportedPoint; ///< Newest position that it told.
    Micros lag { 0 };
    Micros reportedAt { 0 }; ///< Local time of the answer.
};

/// @brief Takes in the position that an upstream told in an answer.
void updateLag(ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& point, Micros now);

/// @brief Tells whether an upstream is expected to hold a position by now.
[[nodiscard]] bool isExpectedToHold(const ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& wanted, Micros now);

}

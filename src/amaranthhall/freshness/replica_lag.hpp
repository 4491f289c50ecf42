#pragma once

#include "amaranthhall/freshness/sample_window.hpp"

#include <optional>

namespace amaranthhall::freshness {

/// @brief Estimated replication lag of one upstream, from the log positions in its answers.
struct ReplicaLag {
    static constexpr Micros maximumAge = 3'000'000; ///< Older estimates are ignored, in µs.
    static constexpr Micros safetyMargin = 4'000; ///< Added to the lag before a position is expected to be replicated, in µs.

    group::LogPoint reportedPoint; ///< Position in the latest answer.
    Micros lag { 0 }; ///< Age of the first sample that the upstream lacks; 0 if it lacks none.
    Micros reportedAt { 0 }; ///< Local boot time of that answer; 0 before the first.
};

/// @brief Updates the estimate with the position that an upstream reported at `now`.
void updateLag(ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& point, Micros now);

/// @brief Returns true if the upstream reported `wanted`, or has probably received it by `now`. Without a recent estimate, the lag is taken as 0.
[[nodiscard]] bool isExpectedToHold(const ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& wanted, Micros now);

}

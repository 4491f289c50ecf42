#pragma once

#include "amaranthhall/freshness/sample_window.hpp"

#include <optional>

namespace amaranthhall::freshness {

/// @brief Estimated replication lag of one upstream, from the log positions in its answers to this daemon and to others.
struct ReplicaLag {
    static constexpr Micros maximumAge = 3'000'000; ///< Progress is not measured across a longer time without a report, in µs.
    static constexpr Micros safetyMargin = 4'000; ///< Added to the lag before a position is expected to be replicated, in µs.
    static constexpr Micros measuringTime = 100'000; ///< Progress is measured over at least this time, as samples are up to 50 ms apart, in µs.
    static constexpr Micros firstProbeInterval = 50'000; ///< In µs; doubles with each probe that shows no progress.
    static constexpr Micros maximumProbeInterval = 400'000; ///< In µs; within this time a recovered replica is found again.

    group::LogPoint reportedPoint; ///< Position in the latest answer.
    Micros lag { 0 }; ///< Age of the first sample that the upstream lacks; 0 if it lacks none.
    Micros reportedAt { 0 }; ///< Local boot time of that answer; 0 before the first.
    double progress { 1 }; ///< Time in the leader's log by which it advances per unit of time: 0 if it receives nothing, 1 if it keeps up.
    Micros measuredAt { 0 }; ///< Time of the report from which progress is measured.
    Micros measuredLag { 0 }; ///< Lag at that time.
    bool isFromPeer { false }; ///< The latest report came from another daemon, which is not handed on.
    Micros probedAt { 0 }; ///< Time of the latest probe.
    unsigned fruitlessProbes { 0 }; ///< Probes since its position last advanced.
};

/// @brief Updates the estimate with the position that an upstream reported at `now`; ignored if a later report is known.
void updateLag(ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& point, Micros now);

/// @brief Records that the upstream refused a read for its position: it is not expected to advance until a measurement shows that it does.
void noteLagRefusal(ReplicaLag& state, Micros now) noexcept;

/**
 * @brief Returns when the upstream is expected to hold a position; `now` if it does already, std::nullopt if that cannot be predicted.
 *
 * An upstream without any report is expected to keep up.
 * @param reachedAt When the leader's log had reached `wanted`; see SampleWindow::reachedAt().
 */
[[nodiscard]] std::optional<Micros> expectedToHoldAt(const ReplicaLag& state, const group::LogPoint& wanted, std::optional<Micros> reachedAt, Micros now) noexcept;

/// @brief Returns true if the upstream reported `wanted`, or has probably received it by `now`.
[[nodiscard]] bool isExpectedToHold(const ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& wanted, Micros now);

/// @brief Returns whether the position of an upstream that is not expected to hold a position should be asked for.
[[nodiscard]] bool isProbeDue(const ReplicaLag& state, Micros now) noexcept;

/// @brief Records that the position of the upstream is asked for.
void noteProbe(ReplicaLag& state, Micros now) noexcept;

}

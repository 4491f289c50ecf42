#pragma once

#include "amaranthhall/load/fleet_load.hpp"
#include "amaranthhall/placement/upstream_health.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace amaranthhall::placement {

/// @brief An upstream that may serve a statement.
struct Candidate {
    std::string_view id;
    const UpstreamHealth* health { nullptr };
    std::uint32_t slots { 1 }; ///< Statements it runs concurrently.
    std::uint32_t running { 0 }; ///< Statements sent by this daemon that it has not answered.
    std::optional<load::LoadEstimate> others; ///< Load that other daemons put on it, if they have reported any lately.
    std::uint32_t limit { 2 }; ///< Maximum of `running`.
    std::uint32_t idle { 0 }; ///< Idle pooled connections.
    bool canOpen { false }; ///< Another connection may be opened.
    bool isLeader { false };
    bool isDraining { false };
    bool isLagging { false }; ///< It is not expected to have reached the required log position yet.
    std::optional<Duration> holdsIn; ///< When a lagging one is expected to reach it; std::nullopt if that cannot be predicted.
    bool wasTried { false }; ///< An earlier attempt of the same statement failed on it.
    std::string_view zone;
    Duration crossingCost {}; ///< Latency that the way to its zone adds, and what else keeps the statement from it; see preferZone().
};

/// @brief The next step for a statement.
struct Choice {
    enum class Step : std::uint8_t {
        Serve, ///< Use an idle connection to the candidate.
        Open, ///< Open a connection to the candidate, and wait for it.
        Wait, ///< All connections are in use, or the upstreams are at their limits.
        Refuse, ///< No upstream can currently serve it.
    };

    Step step { Step::Refuse };
    std::size_t candidate { 0 }; ///< Index of the candidate; set for Serve and Open.
    std::optional<Duration> retryAfter; ///< For Wait: when a lagging replica is expected to hold the required position.
};

/**
 * @brief Chooses an upstream for a statement that any upstream of the service may serve.
 *
 * Chooses the candidate with the lowest expected latency: its average latency, scaled up by the statements that this daemon and, as far
 * as they are known, others have running there relative to its slots. The leader gets a handicap, so that it is left to writes while others are fast enough.
 * Lagging candidates are left out, as they would refuse the statement.
 *
 * If other daemons report that the best candidate is busy, the better of two random candidates is taken. The reports are up to
 * 500 ms old, so that all daemons would otherwise send to the same upstream until the next ones.
 * @param draw Random number.
 */
[[nodiscard]] Choice chooseAny(std::span<const Candidate> candidates, Time now, std::uint64_t draw = 0);

/**
 * @brief Chooses the next step for a read that needs a log position: an upstream that holds it, or to wait until one does.
 * @param timeLeft Until the statement times out; no read waits for a replica that holds the position too late for that.
 */
[[nodiscard]] Choice chooseRead(std::span<const Candidate> candidates, Time now, Duration timeLeft, std::uint64_t draw = 0);

/// @brief Chooses the next step for a statement that only the leader may serve.
[[nodiscard]] Choice chooseLeader(std::span<const Candidate> candidates, Time now);

}

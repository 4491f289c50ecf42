#pragma once

#include "amaranthhall/group/group_view.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/routing/skip_reason.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace amaranthhall::routing {

/// @brief One upstream of the group, and what the pool can do with it at this moment.
struct Candidate {
    const group::UpstreamView* view { nullptr };
    std::uint32_t weight { 100 }; ///< Share of the reads; 0 gives it none.
    std::uint32_t idle { 0 }; ///< Connections that can be lent at once.
    std::uint32_t busy { 0 }; ///< Connections that are lent.
    std::uint32_t connectionLimit { 0 }; ///< Connections that may be open.
    bool isBackingOff { false }; ///< The last connect failed, and no trial is due yet.
};

/// @brief What a piece of work needs.
struct RouteRequest {
    bool isRead { false };
    std::optional<group::LogPoint> requiredPoint; ///< The least point that reads must show.
    Duration maximumStaleness { 0 }; ///< If over 0, the oldest data that the work allows.
    Duration waitTime { 0 }; ///< How long it has waited already.
    Duration maximumReplicaWait { 0 }; ///< How long a read waits for a replica before the primary serves it.
};

/// @brief What is known of the group besides its upstreams.
struct RouteContext {
    std::optional<std::size_t> primary; ///< Index of the primary of the highest term, if one is known.
    group::Term term { 0 }; ///< That term.
    std::string_view zone; ///< Zone of this daemon.
    Time now;
};

/// @brief What to do with a piece of work.
enum class RouteAction : std::uint8_t {
    UseIdle, ///< Lend an idle connection of the candidate.
    OpenConnection, ///< Wait, and open a connection to the candidate.
    Wait, ///< Wait for a connection, for replication, or for a primary.
};

/// @brief Counts of the candidates skipped, by reason.
using SkipCounts = std::array<std::uint8_t, skipReasonCount>;

/// @brief A decision on a piece of work.
struct RouteDecision {
    RouteAction action { RouteAction::Wait };
    std::size_t candidate { 0 }; ///< Index; set for Serve and Open.
    std::optional<std::size_t> prewarm; ///< A nearer candidate to open a connection to for work to come.
    bool isLagging { false }; ///< A replica would serve if it held the point.
    SkipCounts skipped {};
};

/**
 * @brief Tells whether an upstream's reads are sure to show a point.
 *
 * A log that holds a record of term T is a prefix of what the primary of T wrote, so it agrees with
 * the primary's log up to that record. The log therefore holds the point if its last record is of the
 * point's term or a newer one and it has applied as far as the point's position. The term that the
 * upstream has accepted proves nothing: a fence raises it without a record.
 */
[[nodiscard]] bool hasAppliedPoint(const group::UpstreamStatus& status, const group::LogPoint& point) noexcept;

/**
 * @brief Chooses an upstream for a piece of work.
 *
 * Writes go to the primary. Reads go to a replica that is reachable, not leaving, and holds the point
 * or is fresh enough: one in this daemon's zone unless it is nearly full, and among equals by weight and free
 * connections. A read goes to the primary if no replica can serve it at all, or if it has waited as long
 * as it may and the primary has connections to spare.
 *
 * @param candidates The upstreams of the group.
 * @param random Source of randomness for the choice among equals.
 */
[[nodiscard]] RouteDecision chooseUpstream(std::span<const Candidate> candidates, const RouteRequest& request, const RouteContext& context, Random& random);

}

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

/// @brief One upstream of the group, with the current state of its connection pool.
struct Candidate {
    const group::UpstreamView* view { nullptr };
    std::uint32_t weight { 100 }; ///< Relative share of reads; 0 excludes it from reads.
    std::uint32_t idle { 0 }; ///< Open connections that are available.
    std::uint32_t busy { 0 }; ///< Connections that are in use or not yet available.
    std::uint32_t connectionLimit { 0 }; ///< Maximum number of open connections.
    bool isBackingOff { false }; ///< The last connection attempt failed and the next one is not due yet.
};

/// @brief Requirements of a request to be routed.
struct RouteRequest {
    bool isRead { false };
    std::optional<group::LogPoint> requiredPoint; ///< Minimum log point that must be visible to the read.
    Duration maximumStaleness { 0 }; ///< Maximum age of the data; 0 means no limit.
    Duration waitTime { 0 }; ///< How long the request has waited so far.
    Duration maximumReplicaWait { 0 }; ///< How long a read waits for a replica before it may use the primary.
};

/// @brief State of the group and of this daemon that routing depends on.
struct RouteContext {
    std::optional<std::size_t> primary; ///< Index of the primary of the highest term, if one is known.
    group::Term term { 0 }; ///< Highest term.
    std::string_view zone; ///< Zone of this daemon.
    Time now;
};

/// @brief What to do with a request.
enum class RouteAction : std::uint8_t {
    UseIdle, ///< Use an idle connection to the candidate.
    OpenConnection, ///< Open a connection to the candidate and wait for it.
    Wait, ///< Wait for a free connection, for replication, or for a primary.
};

/// @brief Number of skipped candidates, by reason.
using SkipCounts = std::array<std::uint8_t, skipReasonCount>;

/// @brief Routing decision for a request.
struct RouteDecision {
    RouteAction action { RouteAction::Wait };
    std::size_t candidate { 0 }; ///< Index of the chosen candidate; valid for UseIdle and OpenConnection.
    std::optional<std::size_t> prewarm; ///< Index of a same-zone candidate to open a connection to for later requests.
    bool isLagging { false }; ///< A replica was skipped because it has not applied the required point.
    SkipCounts skipped {};
};

/**
 * @brief Returns whether a log point is guaranteed to be visible to reads on an upstream.
 *
 * A log that ends with a record of term T matches the log of the primary of T up to that record. It therefore contains
 * the point if its last record is of the point's term or a newer one and it has applied the point's position. The
 * accepted term of the upstream proves nothing, as fencing raises it without adding a record.
 */
[[nodiscard]] bool hasAppliedPoint(const group::UpstreamStatus& status, const group::LogPoint& point) noexcept;

/**
 * @brief Chooses an upstream for a request.
 *
 * Writes go to the primary. Reads go to a replica that is reachable, not draining, has applied the required point and is
 * fresh enough. Replicas in this daemon's zone are preferred until they are close to their connection limit; among equals
 * the choice is random, weighted by weight and free connections. A read goes to the primary if no replica can serve it at
 * all, or if it has reached its maximum wait and the primary has connections left that are not reserved for writes.
 *
 * @param candidates The upstreams of the group.
 * @param random Random number generator for the weighted choice.
 */
[[nodiscard]] RouteDecision chooseUpstream(std::span<const Candidate> candidates, const RouteRequest& request, const RouteContext& context, Random& random);

}

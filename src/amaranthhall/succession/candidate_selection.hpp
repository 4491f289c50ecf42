#pragma once

#include "amaranthhall/succession/failover_policy.hpp"

#include <optional>
#include <span>
#include <string>

namespace amaranthhall::succession {

/// @brief What is known of a service with synchronous replicas when a candidate is chosen. Its upstreams hold every acknowledged commit together, not each of them.
struct SelectionInput {
    std::span<const PromotionCandidate> answered; ///< Replicas of the newest term that told their positions.
    std::size_t silentReplicas { 0 }; ///< Replicas that did not answer and are not gone.
    bool mayLackReplicas { false }; ///< This daemon may not know all replicas yet.
    std::optional<group::LogPoint> primary; ///< Position of the primary, if it answered and leads; its log has every acknowledged commit.
    Duration waiting { 0 }; ///< Time since the first selection that found no candidate.
};

/// @brief Time for which a replica that does not answer and is not gone is waited for, as it may be the only one that has a commit.
inline constexpr Duration silentReplicaTimeout = std::chrono::seconds(30);

/// @brief Result of a selection.
struct Selection {
    std::optional<std::string> candidate; ///< Empty if none may be promoted yet.
    bool givesUpReplicas { false }; ///< Commits that only a silent replica has received are given up.
};

/**
 * @brief Chooses the candidate of a service with synchronous replicas.
 *
 * While the primary does not answer, all replicas that are not gone must, and a draining one may be chosen, as it may have received the most.
 */
[[nodiscard]] Selection selectWithSynchronousReplicas(const SelectionInput& input);

/// @brief Returns the position that the candidate must have reached before it is promoted; empty if it can't be known yet.
[[nodiscard]] std::optional<group::LogPoint> requiredPoint(const SelectionInput& input);

/// @brief Returns whether a log that ends at `end` has all entries up to a position of the same term.
[[nodiscard]] constexpr bool hasReached(const group::LogPoint& end, const group::LogPoint& required) noexcept
{
    return end.term == required.term && end.position >= required.position;
}

}

#pragma once

#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::succession {

/// @brief Observations of this daemon about the primary of a service.
struct Observation {
    std::optional<Time> failingSince; ///< First failure since its last answer.
    bool isRefusing { false }; ///< Connections are refused or reset rather than unanswered.
    Duration silence { 0 }; ///< Time for which a request is outstanding without any data received.
    bool isGone { false }; ///< Its registration has been missing for so long that it does not come back.
    std::optional<Time> drainingSince; ///< When it announced that it is draining.
};

/// @brief Suspicion that a primary has failed.
struct Suspicion {
    bool isRefusing { false }; ///< Connections are refused or reset rather than unanswered.
    Time since; ///< Start of the failures or of the silence.
};

/// @brief Input of the failover decision: what this daemon and its peers know about the primary.
struct FailoverInput {
    Time now;
    Observation own;
    std::optional<Suspicion> suspicion; ///< Suspicion of this daemon.
    std::optional<Time> provenAt; ///< Time of the last proof by any daemon that it leads.
    std::size_t peers { 0 }; ///< Number of other daemons in the service's group.
    std::size_t livePeers { 0 }; ///< Number of these that were heard from recently.
    std::size_t agreeingPeers { 0 }; ///< Number of peers that suspect the primary, too.
};

/// @brief Reason to replace a primary.
enum class FailoverCause : std::uint8_t {
    None,
    Draining, ///< It announced that it is draining.
    Refusing, ///< It refuses connections, and a majority of the live daemons suspects it.
    Silent, ///< It is suspected, and no daemon has had a proof for the timeout.
    Gone, ///< Its registration is gone, and no daemon has a recent proof.
};

/// @brief Returns the name of a cause for logs.
[[nodiscard]] std::string_view nameOf(FailoverCause cause) noexcept;

/// @brief Returns a suspicion if this daemon's observations indicate a failed primary.
[[nodiscard]] std::optional<Suspicion> suspect(const Observation& observation, Time now) noexcept;

/**
 * @brief Decides whether to replace a primary, and for which reason.
 *
 * A network partition of one daemon must not depose a primary that serves the others: a proof by any daemon that is
 * newer than the suspicion clears the primary, and a daemon that hears from less than half of its peers acts only on
 * a registration that is gone or a draining primary.
 */
[[nodiscard]] FailoverCause decideFailover(const FailoverInput& input) noexcept;

/// @brief An upstream that could be promoted, with the status it reported.
struct PromotionCandidate {
    std::string upstream;
    group::Term term { 0 }; ///< Newest term in which it has led or followed.
    group::LogPoint point; ///< Last log entry received.
    group::Position applied { 0 }; ///< Last applied position; the rest of the log must be applied before it serves.
    bool isSameZone { false }; ///< In the zone of this daemon.
    bool isDraining { false }; ///< It announced that it will leave.
    bool wasRefused { false }; ///< The platform refused to promote it a short time ago.
};

/**
 * @brief Returns the candidates that have reached at least the given term.
 *
 * The length of a log does not show which commits it lacks: an upstream that missed the last term may have more
 * entries than the primary of that term and still lack commits which that primary acknowledged.
 */
[[nodiscard]] std::vector<PromotionCandidate> candidatesAtTerm(group::Term term, std::span<const PromotionCandidate> candidates);

/**
 * @brief Returns the candidate with the newest log point; ties are resolved by the applied position, then in favour of the daemon's own zone.
 * @return Empty if there are no candidates.
 */
[[nodiscard]] std::optional<std::string> chooseCandidate(std::span<const PromotionCandidate> candidates);

/**
 * @brief Returns how long a daemon waits before it takes over the lease.
 * @param rank Rank of the daemon among the live ones, from 0.
 * @param isHolderLive The lease holder is alive and gets time to act first.
 */
[[nodiscard]] Duration takeoverDelay(std::size_t rank, bool isHolderLive) noexcept;

}

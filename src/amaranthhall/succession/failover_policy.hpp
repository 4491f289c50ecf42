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

/// @brief What this daemon itself sees of the primary of a service.
struct Observation {
    std::optional<Time> failingSince; ///< First of the failures since its last answer.
    bool isRefusing { false }; ///< Connections are refused or reset, not silent.
    Duration silence { 0 }; ///< How long it has owed an answer without sending anything.
    std::optional<Time> missingSince; ///< Its registration is gone.
    std::optional<Time> drainingSince; ///< It has said that it leaves.
};

/// @brief Suspicion against a primary.
struct Suspicion {
    bool isRefusing { false };
    Time since;
};

/// @brief What all daemons together know of the primary.
struct FailoverInput {
    Time now;
    Observation own;
    std::optional<Suspicion> suspicion; ///< This daemon's own.
    std::optional<Time> provenAt; ///< Last evidence of any daemon that it leads.
    std::size_t peers { 0 }; ///< Other daemons that are known.
    std::size_t livePeers { 0 }; ///< Of these, those that were heard lately.
    std::size_t agreeingPeers { 0 }; ///< Live peers that suspect it, too.
};

/// @brief Why a primary is to be replaced.
enum class FailoverCause : std::uint8_t {
    None,
    Draining,
    Refusing, ///< Most daemons are refused by it.
    Silent, ///< No daemon has had an answer for a while.
    Missing, ///< Its registration is gone, and nobody reaches it.
};

[[nodiscard]] std::string_view nameOf(FailoverCause cause) noexcept;

/// @brief Judges what this daemon sees of a primary.
[[nodiscard]] std::optional<Suspicion> suspect(const Observation& observation, Time now) noexcept;

/**
 * @brief Decides whether a primary is to be replaced.
 *
 * One daemon's cut path must not depose a primary that serves the others: evidence of any daemon that is younger than
 * the suspicion clears the primary, and a daemon that hears too few others acts only on a registration that is gone.
 */
[[nodiscard]] FailoverCause decideFailover(const FailoverInput& input) noexcept;

/// @brief An upstream that could lead, as it answered when asked.
struct PromotionCandidate {
    std::string upstream;
    group::Term term { 0 }; ///< Newest term that it has followed.
    group::LogPoint point; ///< What it has received.
    group::Position applied { 0 }; ///< What its reads show; the rest has to be applied before it serves.
    bool isInPrimaryZone { false }; ///< In the zone of the old primary.
};

/**
 * @brief Leaves only the upstreams that have followed a term.
 *
 * A log says nothing of commits that it missed: one that did not follow the last term may hold more entries than its
 * successor and still lack what that successor acknowledged.
 */
[[nodiscard]] std::vector<PromotionCandidate> candidatesAtTerm(group::Term term, std::span<const PromotionCandidate> candidates);

/// @brief Chooses the upstream that has received most; nothing if there is none.
[[nodiscard]] std::optional<std::string> chooseCandidate(std::span<const PromotionCandidate> candidates);

/// @brief Gives how long a daemon waits before it acts in place of the holder of the duty.
[[nodiscard]] Duration takeoverDelay(std::size_t rank, bool isHolderLive) noexcept;

}

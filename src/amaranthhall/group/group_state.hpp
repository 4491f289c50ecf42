#pragma once

#include "amaranthhall/group/failover_attempt.hpp"
#include "amaranthhall/group/freshness.hpp"
#include "amaranthhall/group/group_view.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::group {

/// @brief What a watcher knows of one upstream.
struct UpstreamObservation {
    std::string name;
    UpstreamStatus status;
    Reachability reachability { Reachability::Unknown };
    std::optional<Time> lastReplyAt; ///< When it last answered.
    std::optional<Time> unansweredSince; ///< When the oldest probe was sent that it has not answered.
    std::optional<Time> refusedSince; ///< Since when it refuses connections.
    Duration feedAge {}; ///< How long before lastReplyAt it last heard from a primary.
};

/// @brief A watcher's opinion that a term has no working primary.
struct SuspicionVote {
    Term term { 0 };
    Time expiresAt; ///< The vote lapses unless it is repeated.
};

/// @brief When the parts of an attempt are due.
struct FailoverTimers {
    Time deadline;
    Time retryAt; ///< When the order to promote is sent again.
};

/// @brief What one daemon knows of one group, and what it is doing about it.
struct GroupState {
    std::string self; ///< Id of this daemon.
    std::vector<std::string> watchers; ///< Live watchers by rank; the first leads.
    std::vector<UpstreamObservation> upstreams;
    Term term { 0 }; ///< Highest term heard of.
    Term lastAttemptedTerm { 0 }; ///< Highest term that this daemon has stood for.
    std::optional<std::string> primary; ///< Who is primary of the highest term.
    Time primarySince; ///< When that primary was first heard of.
    std::optional<Time> noPrimarySince; ///< Since when the highest term has had no known primary.
    bool isSuspecting { false };
    Time lastVoteSentAt; ///< When the vote was last told to the other watchers.
    std::map<std::string, SuspicionVote> votes; ///< Votes of the other watchers by their id.
    std::optional<Time> attemptStartAt; ///< When this daemon begins an attempt, if the suspicion lasts.
    std::optional<FailoverAttempt> attempt;
    unsigned int failedAttempts { 0 }; ///< Attempts of this daemon that failed since there was a primary.
    FailoverTimers timers;
    std::optional<Time> lastTickAt;
    FreshnessHistory freshnessHistory;
};

/// @brief Finds what is known of an upstream; gives nullptr if the group has none of that name.
[[nodiscard]] UpstreamObservation* findObservation(GroupState& state, std::string_view name) noexcept;

/// @brief Tells whether this daemon is one of the group's watchers.
[[nodiscard]] bool isWatcher(const GroupState& state) noexcept;

}

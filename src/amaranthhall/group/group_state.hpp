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

/// @brief What this daemon has observed of one upstream.
struct UpstreamObservation {
    std::string name;
    UpstreamStatus status;
    Reachability reachability { Reachability::Unknown };
    std::optional<Time> lastReplyAt; ///< When it last replied.
    std::optional<Time> unansweredSince; ///< When the oldest unanswered probe was sent.
    std::optional<Time> refusedSince; ///< When it began to refuse connections.
    Duration feedAge {}; ///< Time from its last replication data to lastReplyAt.
};

/// @brief A watcher's vote that a term has no working primary.
struct SuspicionVote {
    Term term { 0 };
    Time expiresAt; ///< When the vote expires unless it is renewed.
};

/// @brief Deadlines of a failover attempt.
struct FailoverTimers {
    Time deadline;
    Time retryAt; ///< When the promotion request is sent again.
};

/// @brief State of one daemon's failure detection and failover for one group.
struct GroupState {
    std::string self; ///< Id of this daemon.
    std::vector<std::string> watchers; ///< Live watchers by rank; the first one starts failover attempts earliest.
    std::vector<UpstreamObservation> upstreams;
    Term term { 0 }; ///< Highest known term.
    Term lastAttemptedTerm { 0 }; ///< Highest term in which this daemon has started an attempt.
    std::optional<std::string> primary; ///< Primary of the highest term, if known.
    Time primarySince; ///< When that primary became known.
    std::optional<Time> noPrimarySince; ///< Since when the highest term has had no known primary; unset while there is one.
    bool isSuspecting { false };
    Time lastVoteSentAt; ///< When the vote was last sent to the other watchers.
    std::map<std::string, SuspicionVote> votes; ///< Votes of the other watchers, by watcher id.
    std::optional<Time> attemptStartAt; ///< When this daemon starts an attempt if the suspicion persists.
    std::optional<FailoverAttempt> attempt;
    unsigned int failedAttempts { 0 }; ///< Failed attempts of this daemon since a primary was last known.
    FailoverTimers timers;
    std::optional<Time> lastTickAt;
    FreshnessHistory freshnessHistory;
};

/// @brief Finds the observation of an upstream by name; returns nullptr if there is none.
[[nodiscard]] UpstreamObservation* findObservation(GroupState& state, std::string_view name) noexcept;

/// @brief Returns whether this daemon is one of the group's watchers.
[[nodiscard]] bool isWatcher(const GroupState& state) noexcept;

}

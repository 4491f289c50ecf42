#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace amaranthhall::group {

/// @brief Periodic timer event; sent every tickInterval.
struct Ticked { };

/// @brief The set of live watchers changed; they are listed by rank.
struct WatchersChanged {
    std::vector<std::string> watchers;
};

/// @brief A probe was sent.
struct ProbeSent {
    std::string upstream;
};

/// @brief An upstream reported its status.
struct StatusReceived {
    std::string upstream;
    UpstreamStatus status;
    Time requestedAt; ///< When the status was requested; unset if it was piggybacked on another reply.
    Duration feedAge {}; ///< Time since the upstream last received replication data from a primary; zero if not reported.
};

/// @brief A probe failed.
struct ProbeFailed {
    std::string upstream;
    Symptom symptom { Symptom::TimedOut };
};

/// @brief The data path of a daemon observed a failure.
struct SymptomReported {
    std::string upstream;
    Symptom symptom { Symptom::TimedOut };
};

/// @brief Another watcher reported whether it suspects that a term has no working primary.
struct VoteReceived {
    std::string watcher;
    Term term { 0 };
    bool suspects { false };
};

/// @brief An upstream replied to a fencing request.
struct FenceReplied {
    std::string upstream;
    Term term { 0 };
    bool accepted { false };
    UpstreamStatus status;
};

/// @brief An upstream replied to a promotion request.
struct PromotionReplied {
    std::string upstream;
    Term term { 0 };
    bool promoted { false };
    UpstreamStatus status;
};

/// @brief Another daemon reported the primary of a term.
struct PrimaryReported {
    std::string upstream; ///< Empty if the term has no primary yet.
    Term term { 0 };
};

/// @brief A watcher reported the reachability of an upstream; received by daemons that do not watch the group.
struct ReachabilityReported {
    std::string upstream;
    Reachability reachability { Reachability::Unknown };
};

/// @brief Input of the group's state machine.
using GroupEvent = std::variant<Ticked, WatchersChanged, ProbeSent, StatusReceived, ProbeFailed, SymptomReported, VoteReceived, FenceReplied, PromotionReplied, PrimaryReported, ReachabilityReported>;

/// @brief Probes an upstream immediately.
struct ProbeNow {
    std::string upstream;
};

/// @brief Requests that an upstream accept a term and refuse all older ones.
struct RequestFence {
    std::string upstream;
    Term term { 0 };
};

/// @brief Requests that an upstream become primary of a term.
struct RequestPromotion {
    std::string upstream;
    Term term { 0 };
};

/// @brief Sends the other watchers whether this one suspects that the term has no working primary.
struct BroadcastVote {
    Term term { 0 };
    bool suspects { false };
};

/// @brief The group's primary, term, or an upstream's role, draining flag or reachability changed.
struct ViewChanged { };

/// @brief Output of the group's state machine.
using GroupAction = std::variant<ProbeNow, RequestFence, RequestPromotion, BroadcastVote, ViewChanged>;
using GroupActions = std::vector<GroupAction>;

}

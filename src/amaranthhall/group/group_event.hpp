#pragma once

#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace amaranthhall::group {

/// @brief Time has passed; comes at a fixed interval.
struct Ticked { };

/// @brief The live watchers of the group, by rank.
struct WatchersChanged {
    std::vector<std::string> watchers;
};

/// @brief A probe went out.
struct ProbeSent {
    std::string upstream;
};

/// @brief An upstream told its status.
struct StatusReceived {
    std::string upstream;
    UpstreamStatus status;
    Time requestedAt; ///< When it was asked; unset if the status came along with other work.
    Duration feedAge {}; ///< How long ago it last heard from a primary; zero if not told.
};

/// @brief A probe failed.
struct ProbeFailed {
    std::string upstream;
    Symptom symptom { Symptom::TimedOut };
};

/// @brief The data path of some daemon saw something wrong.
struct SymptomReported {
    std::string upstream;
    Symptom symptom { Symptom::TimedOut };
};

/// @brief Another watcher tells whether it sees a working primary of a term.
struct VoteReceived {
    std::string watcher;
    Term term { 0 };
    bool suspects { false };
};

/// @brief An upstream answered the order to fence.
struct FenceReplied {
    std::string upstream;
    Term term { 0 };
    bool accepted { false };
    UpstreamStatus status;
};

/// @brief An upstream answered the order to promote.
struct PromotionReplied {
    std::string upstream;
    Term term { 0 };
    bool promoted { false };
    UpstreamStatus status;
};

/// @brief Another daemon tells who is primary.
struct PrimaryReported {
    std::string upstream; ///< Empty if the term has none yet.
    Term term { 0 };
};

/// @brief A watcher tells this daemon, which is none, whether an upstream answers.
struct ReachabilityReported {
    std::string upstream;
    Reachability reachability { Reachability::Unknown };
};

/// @brief What a group's decisions are told.
using GroupEvent = std::variant<Ticked, WatchersChanged, ProbeSent, StatusReceived, ProbeFailed, SymptomReported, VoteReceived, FenceReplied, PromotionReplied, PrimaryReported, ReachabilityReported>;

/// @brief Asks an upstream for its status at once.
struct ProbeNow {
    std::string upstream;
};

/// @brief Orders an upstream to accept a term.
struct RequestFence {
    std::string upstream;
    Term term { 0 };
};

/// @brief Orders an upstream to become primary of a term.
struct RequestPromotion {
    std::string upstream;
    Term term { 0 };
};

/// @brief Tells the other watchers whether this one sees a working primary.
struct BroadcastVote {
    Term term { 0 };
    bool suspects { false };
};

/// @brief The primary or the term has changed.
struct ViewChanged { };

/// @brief What a group's decisions ask for.
using GroupAction = std::variant<ProbeNow, RequestFence, RequestPromotion, BroadcastVote, ViewChanged>;
using GroupActions = std::vector<GroupAction>;

}

#pragma once

#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/upstream/dispatcher.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace amaranthhall::upstream {

/// @brief A write that waits until a second upstream holds it.
struct PendingWrite {
    std::uint64_t id { 0 };
    group::Term term { 0 }; ///< Term in which it was committed.
    group::LogPoint record; ///< Last record of the log after it; of an older term if it changed nothing.
    Time deadline;
    bool isCovered { false }; ///< A poll that includes it is under way.
};

/// @brief What is known of one replica that can confirm.
struct Confirmand {
    bool isReachable { true };
    std::optional<Time> askedAt; ///< Set while a poll is under way.
    Time notBefore; ///< After a poll that brought nothing.
};

/// @brief The writes of one writer that wait, and the replicas, the preferred first.
struct ConfirmState {
    std::vector<PendingWrite> writes;
    std::vector<Confirmand> replicas;
};

/// @brief A question to put to a replica: wait until it holds a position in a term.
struct ConfirmPoll {
    std::size_t replica { 0 };
    group::Term term { 0 };
    group::Position position { 0 };
    Duration wait { 0 }; ///< How long the replica may hold the answer back.
};

/// @brief A write whose fate is known.
struct ConfirmOutcome {
    std::uint64_t id { 0 };
    Confirmation confirmation { Confirmation::TimedOut };
};

/// @brief Tells whether an upstream's answer proves that it holds a write in the write's term.
[[nodiscard]] bool provesHeld(const group::UpstreamStatus& status, const PendingWrite& write) noexcept;

/**
 * @brief Decides which replicas to ask now.
 *
 * One poll asks for the earliest write and covers all before its answer. Writes that come later are asked of the
 * other replica at once. A replica that keeps silent is not waited for: the other one is asked for the same writes.
 */
[[nodiscard]] std::vector<ConfirmPoll> planPolls(ConfirmState& state, Time now);

/// @brief Takes in a replica's answer, or its failure, and gives the writes that it settles.
[[nodiscard]] std::vector<ConfirmOutcome> takeAnswer(ConfirmState& state, std::size_t replica, const std::optional<group::UpstreamStatus>& status, Time now);

/// @brief Gives the writes that a higher term supersedes.
[[nodiscard]] std::vector<ConfirmOutcome> takeTerm(ConfirmState& state, group::Term term);

/// @brief Gives the writes whose deadline has passed.
[[nodiscard]] std::vector<ConfirmOutcome> expireWrites(ConfirmState& state, Time now);

}

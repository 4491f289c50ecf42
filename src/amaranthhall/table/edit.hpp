#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/table/stage.hpp"
#include "amaranthhall/table/table_diff.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranthhall::table {

/// @brief What an operator asks for.
struct EditRequest {
    std::string editId; ///< Chosen by the operator's tool; a repeat with the same id is safe.
    Version expectedVersion { 0 }; ///< Version that the operator has seen.
    TableImage image; ///< The wanted rows; the version is set to the one after the expected.
};

/// @brief How an edit ended.
enum class EditOutcome : std::uint8_t {
    InForce, ///< On every daemon that takes work.
    Refused, ///< Nothing of it is or will be in force.
    Unknown, ///< The store has not said whether it was committed; asking again with the same id tells.
};

/// @brief What the operator is told.
struct EditResult {
    EditOutcome outcome { EditOutcome::Unknown };
    Version version { 0 }; ///< In force after the edit.
    std::string reason;
    std::vector<Difference> differences; ///< For a conflict: from the table in force to the wanted one.
    std::vector<std::string> notReached; ///< Daemons that take no new work of the touched services until they have the version.
};

/// @brief Bounds of an edit.
struct EditOptions {
    Duration lease { std::chrono::seconds(4) }; ///< As ReplicaOptions::lease.
    double clockDrift { 0.05 }; ///< Part by which clocks of two daemons may run apart.
    Duration fateBound { std::chrono::seconds(2) }; ///< As ReplicaOptions::fateBound.
    Duration storeDeadline { std::chrono::seconds(8) }; ///< Longest wait for the store before the commit.
    Duration majorityDeadline { std::chrono::seconds(3) }; ///< Longest wait for confirmations of a majority.
    Duration confirmDeadline { std::chrono::seconds(10) }; ///< Longest wait for all confirmations.
    Duration answerDeadline { std::chrono::seconds(15) }; ///< After this the operator is told that the outcome is unknown.
    Duration retryInterval { std::chrono::milliseconds(300) };
    Duration lateRetryInterval { std::chrono::seconds(2) }; ///< Once the operator has been told that the outcome is unknown.
};

/// @brief How a request to the store ended.
enum class StoreAnswer : std::uint8_t {
    Done,
    Conflict,
    Unavailable, ///< Nothing took effect.
    Unknown, ///< It may have taken effect.
};

/// @brief One daemon as the editor counts it.
struct Voter {
    std::string id;
    bool isHeard { true }; ///< Membership has heard from it lately; an edit never passes without such a daemon.
};

/// @brief Where an edit stands.
enum class EditPhase : std::uint8_t {
    Reading,
    Storing,
    Staging,
    Confirming,
    Committing,
    Spreading,
    Finished,
};

/// @brief State of an edit on the daemon that runs it.
struct Edit {
    EditRequest request;
    EditOptions options;
    std::string editor; ///< VM of this daemon.
    kernel::Address editorAddress; ///< Where this daemon takes calls of peers.
    Time startedAt;
    EditPhase phase { EditPhase::Reading };
    bool isAnswered { false }; ///< The operator has been told.
    bool mayBeCommitted { false }; ///< A commit was sent and not answered by a refusal.
    bool isWaiting { false }; ///< A request to the store is under way.
    Time retryAt;
    Head head; ///< As last read or written.
    StageNumber rowVersion { 0 };
    std::optional<Time> rivalSince; ///< When another's stage was first seen.
    StageNumber number { 0 }; ///< Of the own stage.
    std::string digest;
    std::map<std::string, bool, std::less<>> voters; ///< Whether each has confirmed.
    std::optional<Time> majorityAt; ///< When a majority had confirmed.
    std::map<std::string, bool, std::less<>> applied;
    Time decidedAt;
};

/// @name Events
/// @{
struct EditTick { };
struct HeadRead {
    Head head;
    StageNumber rowVersion { 0 };
    TableImage inForce; ///< The rows that the head names.
    std::optional<Version> committedAs; ///< Version that the edit of this id got, if it was committed before.
    bool isRivalAlive { false }; ///< The editor of the head's stage has lately said that it is undecided.
    bool isRivalDecided { false }; ///< The editor of the head's stage has given it up.
};
struct HeadReadFailed { };
struct ImageStored {
    StoreAnswer answer { StoreAnswer::Done };
};
struct HeadWritten {
    StoreAnswer answer { StoreAnswer::Done };
    StageNumber rowVersion { 0 };
};
struct VotersSeen {
    std::vector<Voter> voters;
};
struct Confirmed {
    std::string voter;
};
struct Denied {
    std::string voter;
    std::string reason;
};
struct Applied {
    std::string voter;
};
using EditEvent = std::variant<EditTick, HeadRead, HeadReadFailed, ImageStored, HeadWritten, VotersSeen, Confirmed, Denied, Applied>;
/// @}

/// @name Actions
/// @{
struct ReadHead { };
struct StoreImage { };
struct WriteHead {
    std::string requestId;
    bool isCommit { false }; ///< The edit's id is recorded as committed with it.
    Head head;
    StageNumber expectedRowVersion { 0 };
};
struct HoldOwnStage {
    StageInfo info;
};
struct SendStage {
    std::vector<std::string> voters;
};
struct EnforceOwn { };
struct WithdrawOwn { };
struct SendDecision {
    std::vector<std::string> voters;
};
struct Answer {
    EditResult result;
};
using EditAction = std::variant<ReadHead, StoreImage, WriteHead, HoldOwnStage, SendStage, EnforceOwn, WithdrawOwn, SendDecision, Answer>;
using EditActions = std::vector<EditAction>;
/// @}

/**
 * @brief Begins an edit.
 * @param request What is asked for; its image must have passed checkTable().
 * @param editor VM of this daemon.
 * @param editorAddress Where this daemon takes calls of peers.
 */
[[nodiscard]] Edit beginEdit(EditRequest request, EditOptions options, std::string editor, kernel::Address editorAddress, Time now);

/// @brief Takes the next step of an edit.
[[nodiscard]] EditActions step(Edit& edit, const EditEvent& event, Time now);

/// @brief Tells whether this editor may still say that its stage is undecided.
[[nodiscard]] bool isPending(const Edit& edit) noexcept;

}

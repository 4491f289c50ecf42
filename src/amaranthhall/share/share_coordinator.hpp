#pragma once

#include "amaranthhall/membership/member.hpp"
#include "amaranthhall/share/ledger.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::share {

/// @brief Phase of a reallocation.
enum class ReallocationPhase : std::uint8_t {
    Idle,
    Discovery, ///< Reads the epoch record and the list of VMs, and queries candidate grantors.
    Claim, ///< Writes the record with the next epoch number.
    Close, ///< Stops the grantors from granting leases of earlier epochs.
    Migration, ///< Migrates the holders that respond, and waits for the leases of all others to expire.
    Release, ///< Makes the upstreams terminate the connections of holders that were not migrated, then allocates their share.
    Settle, ///< Writes the record of the completed reallocation.
};

/// @brief State of the daemon that reallocates shares in a new epoch.
struct ShareCoordinator {
    using PendingRelease = std::pair<std::string, group::UpstreamId>;

    ShareOptions options;
    Process self;
    ReallocationPhase phase { ReallocationPhase::Idle };
    Time deadline; ///< End of the current phase.
    Time earliestStart; ///< No reallocation begins before this time.
    Time nextRetry; ///< When unanswered requests and writes are repeated.
    std::optional<EpochRecord> storedRecord; ///< The record as last read or written.
    std::uint64_t storedVersion { 0 };
    std::uint64_t baseVersion { 0 }; ///< Row version that this reallocation is based on. A record of another process or epoch at any other version means that a later coordinator has begun.
    std::set<std::string> seenVms; ///< VMs that were members at any time since the last reallocation began.
    bool isRecordRead { false }; ///< Whether the record was read during this reallocation.
    std::optional<std::set<std::string>> listedVms; ///< As last read during this reallocation.
    std::vector<Process> grantorCandidates; ///< Processes that responded to a LearnRequest.
    EpochRecord record; ///< Record of the epoch being allocated.
    std::map<Epoch, std::set<std::string>> closedGrantors; ///< Grantors that no longer grant leases, by earlier epoch.
    std::set<Process> holders; ///< Known lease holders of the earlier epochs.
    std::map<Process, ConnectionCounts> migrated; ///< Tokens that each holder keeps in the new epoch, for holders that responded to a MoveRequest.
    std::set<Process> openedHolders; ///< Holders that confirmed their OpenRequest.
    std::set<PendingRelease> pendingReleases; ///< VMs and upstreams whose connections are not confirmed as terminated.
    Time releaseStartedAt;
    std::set<group::UpstreamId> allocatedUpstreams;
    std::map<std::uint64_t, std::pair<Request, Process>> pendingRequests;
};

/// @brief Input of the coordinator from the rest of the daemon.
struct CoordinatorView {
    std::span<const membership::Member> members;
    const ConnectionCounts& limits; ///< From the active table.
    Time now;
};

/// @brief Returns whether a reallocation should begin, and records the current members.
[[nodiscard]] bool isReallocationDue(ShareCoordinator& coordinator, const CoordinatorView& view);

/// @brief Begins a reallocation.
void beginReallocation(ShareCoordinator& coordinator, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions);

/// @brief Advances the reallocation: changes the phase when it is complete or has timed out, repeats unanswered requests, and adds share that has become free to the ledger.
void continueReallocation(ShareCoordinator& coordinator, const CoordinatorView& view, Ledger& ledger, Actions& actions);

/// @brief Handles the response to a request. Returns false if the coordinator sent no request with this id.
bool receiveCoordinatorResponse(ShareCoordinator& coordinator, std::uint64_t id, const std::optional<Response>& response, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions);

/// @brief Handles the epoch record as read from the store.
void receiveRecord(ShareCoordinator& coordinator, std::uint64_t version, const std::optional<EpochRecord>& record);

/// @brief Result of a write of the epoch record.
enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,
    Unknown, ///< The write may have taken effect.
};

/// @brief Handles the result of a write of the epoch record.
void receiveWriteResult(ShareCoordinator& coordinator, WriteOutcome outcome, std::uint64_t version, Time now);

/// @brief Handles the confirmation that an upstream has terminated all connections of a VM.
void receiveReleaseConfirmation(ShareCoordinator& coordinator, const std::string& vm, const group::UpstreamId& upstream);

}

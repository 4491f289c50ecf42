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

/// @brief How far a dealing has come.
enum class ReallocationPhase : std::uint8_t {
    Idle,
    Discovery, ///< Reads the row and the list of VMs and asks who may grant leases.
    Claim, ///< Writes the row with the next number.
    Close, ///< Has the earlier epochs' leases granted no more.
    Migration, ///< Takes over the holders that answer, and waits until the leases of the others have lapsed.
    Release, ///< Has the upstreams terminate the connections of those that were not taken over, then deals their share.
    Settle, ///< Writes the row with the outcome.
};

/// @brief State of the daemon that deals shares afresh in a new epoch.
struct ShareCoordinator {
    using PendingRelease = std::pair<std::string, group::UpstreamId>;

    ShareOptions options;
    Process self;
    ReallocationPhase phase { ReallocationPhase::Idle };
    Time deadline; ///< Of the phase.
    Time earliestStart; ///< No dealing begins before.
    Time nextRetry; ///< When lost orders are repeated.
    std::optional<EpochRecord> storedRecord; ///< The row as last read.
    std::uint64_t storedVersion { 0 };
    std::uint64_t baseVersion { 0 }; ///< Version of the row that this dealing builds on; any other means that a later dealer has begun.
    std::set<std::string> seenVms; ///< VMs that were here since the last dealing began.
    bool isRecordRead { false }; ///< In this dealing.
    std::optional<std::set<std::string>> listedVms; ///< As last read in this dealing.
    std::vector<Process> grantorCandidates;
    EpochRecord record; ///< The epoch being dealt.
    std::map<Epoch, std::set<std::string>> closedGrantors; ///< Grantors of each earlier epoch that grant no more.
    std::set<Process> holders;
    std::map<Process, ConnectionCounts> migrated; ///< What each holder that answered takes along.
    std::set<Process> openedHolders;
    std::set<PendingRelease> pendingReleases;
    Time releaseStartedAt;
    std::set<group::UpstreamId> allocatedUpstreams;
    std::map<std::uint64_t, std::pair<Request, Process>> pendingRequests;
};

/// @brief What a dealer sees of the rest of the daemon.
struct CoordinatorView {
    std::span<const membership::Member> members;
    const ConnectionCounts& limits; ///< Of the table in force.
    Time now;
};

/// @brief Tells whether shares should be dealt afresh, and takes note of the members that are here.
[[nodiscard]] bool isReallocationDue(ShareCoordinator& coordinator, const CoordinatorView& view);

/// @brief Begins a dealing.
void beginReallocation(ShareCoordinator& coordinator, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions);

/// @brief Goes on with a dealing: ends waits, repeats lost orders, adds share that has become free to the ledger.
void continueReallocation(ShareCoordinator& coordinator, const CoordinatorView& view, Ledger& ledger, Actions& actions);

/// @brief Takes in an answer to one of the dealer's requests; gives false if the id is not one of its own.
bool receiveCoordinatorResponse(ShareCoordinator& coordinator, std::uint64_t id, const std::optional<Response>& response, const CoordinatorView& view, std::uint64_t& nextRequestId, Actions& actions);

/// @brief Takes in the row as read.
void receiveRecord(ShareCoordinator& coordinator, std::uint64_t version, const std::optional<EpochRecord>& record);

/// @brief How a write of the row ended.
enum class WriteOutcome : std::uint8_t {
    Written,
    Conflict,
    Unknown, ///< It may have taken effect.
};

/// @brief Takes in the outcome of a write of the row.
void receiveWriteResult(ShareCoordinator& coordinator, WriteOutcome outcome, std::uint64_t version, Time now);

/// @brief Takes in that an upstream has terminated a VM's connections.
void receiveReleaseConfirmation(ShareCoordinator& coordinator, const std::string& vm, const group::UpstreamId& upstream);

}

#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/share/action.hpp"
#include "amaranthhall/share/message.hpp"
#include "amaranthhall/share/share_source.hpp"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::share {

/// @brief Parameters of leases and transfers.
struct ShareOptions {
    Duration leaseDuration { std::chrono::seconds(8) }; ///< Counted from the sending of a renewal that a majority grants.
    Duration renewInterval { std::chrono::milliseconds(3000) };
    Duration renewTimeout { std::chrono::milliseconds(1000) };
    Duration expiryMargin { std::chrono::milliseconds(900) }; ///< Covers a drift of 5 % between two clocks over a lease, plus slack.
    Duration deferralTimeout { std::chrono::milliseconds(700) }; ///< Maximum wait of a request for share that is in use.
    Duration takeTimeout { std::chrono::milliseconds(1000) };
    Duration refusalBackoff { std::chrono::milliseconds(200) }; ///< A peer that transferred nothing is not asked again for this long.
    std::uint32_t maximumTakeSize { 16 };
    std::size_t maximumTakesInFlight { 4 }; ///< Per upstream.
    unsigned maximumTakeAttempts { 3 };
    unsigned refusalsBeforePreemption { 4 }; ///< Consecutive refusals after which share in use is requested.
    std::uint32_t probeReserve { 3 }; ///< Connections of each upstream that are reserved for health probes.
};

/// @brief A daemon's part of the connection limit of one upstream.
struct Holding {
    std::uint32_t tokens { 0 }; ///< Connections that the daemon may open.
    std::uint32_t promised { 0 }; ///< Those of `tokens` that are transferred to a peer when the connections are closed.
    ShareUse use;
};

/// @brief A peer's request that is deferred until share becomes free.
struct DeferredTake {
    std::uint64_t ticket { 0 };
    TakeRequest take;
    std::uint32_t amount { 0 };
    Time deadline;
};

/// @brief A request of this daemon that has no response yet.
struct OutstandingTake {
    TakeRequest take;
    std::string vm;
    kernel::Address to;
    unsigned attempts { 1 };
};

/// @brief A peer that share can be requested from.
struct SharePeer {
    std::string vm;
    kernel::Address address;
};

/// @brief A daemon's holdings and the lease that they depend on.
struct Ledger {
    using PeerKey = std::pair<group::UpstreamId, std::string>;

    ShareOptions options;
    Process self;
    EpochConfiguration epoch; ///< Epoch number 0 means that no epoch was joined.
    bool frozen { false }; ///< No share is transferred between MoveRequest and OpenRequest.
    Epoch frozenForEpoch { 0 };
    bool registered { false }; ///< The coordinator or a majority of the grantors has recorded this holder.
    Time leaseEnd;
    Time confirmedAt; ///< Start of the latest exchange that confirmed the epoch as current.
    std::map<std::string, Time> grantTimes; ///< Time at which the last granted renewal was sent, by grantor.
    std::map<group::UpstreamId, Holding> holdings;
    std::vector<DeferredTake> deferred;
    std::map<std::uint64_t, OutstandingTake> outstandingTakes;
    std::deque<std::pair<std::pair<Process, std::uint64_t>, std::uint32_t>> answeredTakes;
    std::map<PeerKey, Time> backoffUntil;
    std::map<PeerKey, std::uint32_t> heldByPeer; ///< As last reported by each peer.
    std::map<group::UpstreamId, unsigned> consecutiveRefusals; ///< Refusals by peers since one last transferred share.
    std::vector<SharePeer> peers;
    std::size_t nextPeer { 0 };
    std::uint64_t nextTakeId { 1 };
    std::uint64_t nextRequestId { 1 };
    std::map<std::uint64_t, std::uint64_t> takeIdsByRequest; ///< Maps the id of a SendRequest to the id of its TakeRequest.
    bool leaving { false };
};

/// @brief Returns whether the lease is valid.
[[nodiscard]] bool isLeaseValid(const Ledger& ledger, Time now) noexcept;

/// @brief Returns the number of connections that may currently be open to an upstream.
[[nodiscard]] std::uint32_t computeAllowance(const Ledger& ledger, const group::UpstreamId& id, Time now) noexcept;

/// @brief Returns the part of a limit that is allocated to daemons; the rest is reserved for probes.
[[nodiscard]] std::uint32_t usableLimit(const ShareOptions& options, std::uint32_t limit) noexcept;

/// @brief Joins a later epoch without any tokens, unless its coordinator may still migrate this holder.
void joinEpoch(Ledger& ledger, const EpochRecord& record, Time now);

/// @brief Records that a grantor granted a renewal.
void recordGrant(Ledger& ledger, const std::string& grantor, Time sentAt);

/// @brief Records that a read of the store begun at `startedAt` confirmed the epoch as current.
void recordStoreConfirmation(Ledger& ledger, Time startedAt);

/// @brief Freezes transfers and reports the tokens to a coordinator that migrates this holder.
[[nodiscard]] MoveResponse freezeForMove(Ledger& ledger, const MoveRequest& move, Time now, Actions& actions);

/// @brief Enters the epoch that a coordinator has migrated this holder to.
void enterEpoch(Ledger& ledger, const OpenRequest& open);

/// @brief Handles a peer's request for share. The reply follows immediately or is deferred.
void receiveTakeRequest(Ledger& ledger, std::uint64_t ticket, const TakeRequest& take, Time now, Actions& actions);

/// @brief Handles the response to a TakeRequest, or its failure, by the id of the SendRequest.
void receiveTakeResponse(Ledger& ledger, std::uint64_t requestId, const std::optional<TakeResponse>& response, Time now, Actions& actions);

/// @brief Updates the pool's use of an upstream's connections.
void reportUse(Ledger& ledger, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions);

/// @brief Rejects deferred requests that have timed out, or all of them if the lease has expired.
void expireDeferred(Ledger& ledger, Time now, Actions& actions);

/// @brief Requests share from peers for waiting statements.
void requestShare(Ledger& ledger, const group::UpstreamId& id, Time now, Actions& actions);

/// @brief Requests idle share from peers up to this daemon's fair share; called periodically.
void rebalance(Ledger& ledger, Time now, Actions& actions);

}

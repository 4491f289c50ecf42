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

/// @brief Times of leases and transfers.
struct ShareOptions {
    Duration leaseDuration { std::chrono::seconds(8) }; ///< From the sending of a renewal that a majority grants.
    Duration renewInterval { std::chrono::milliseconds(3000) };
    Duration renewTimeout { std::chrono::milliseconds(1000) };
    Duration expiryMargin { std::chrono::milliseconds(900) }; ///< Covers a drift of two clocks of 5 % over a lease, and some more.
    Duration deferralTimeout { std::chrono::milliseconds(700) }; ///< Longest wait of a request for share that is in use.
    Duration takeTimeout { std::chrono::milliseconds(1000) };
    Duration refusalBackoff { std::chrono::milliseconds(200) }; ///< A peer that gave nothing is not asked again for this long.
    std::uint32_t maximumTakeSize { 16 };
    std::size_t maximumTakesInFlight { 4 }; ///< For one upstream.
    unsigned maximumTakeAttempts { 3 };
    unsigned refusalsBeforePreemption { 4 }; ///< After so many peers had nothing idle, share in use is asked for.
    std::uint32_t probeReserve { 3 }; ///< Connections of each upstream that are left to the watchers' probes.
};

/// @brief What one daemon holds of one upstream's limit.
struct Holding {
    std::uint32_t tokens { 0 }; ///< Connections that it may have.
    std::uint32_t promised { 0 }; ///< Of these, promised to a peer as soon as they are closed.
    ShareUse use;
};

/// @brief A peer's request that waits until share is free.
struct DeferredTake {
    std::uint64_t ticket { 0 };
    TakeRequest take;
    std::uint32_t amount { 0 };
    Time deadline;
};

/// @brief A request of this daemon that has no answer yet.
struct OutstandingTake {
    TakeRequest take;
    std::string vm;
    kernel::Address to;
    unsigned attempts { 1 };
};

/// @brief A peer that may be asked for share.
struct SharePeer {
    std::string vm;
    kernel::Address address;
};

/// @brief What one daemon holds, and the lease under which it holds it.
struct Ledger {
    using PeerKey = std::pair<group::UpstreamId, std::string>;

    ShareOptions options;
    Process self;
    EpochConfiguration epoch; ///< Number 0: none.
    bool frozen { false }; ///< Between Move and Open no share is transferred.
    Epoch frozenForEpoch { 0 };
    bool registered { false }; ///< A dealer or a majority of grantors knows this holder by name.
    Time leaseEnd;
    Time confirmedAt; ///< Start of the newest exchange that proved the epoch to be current.
    std::map<std::string, Time> grantTimes; ///< By grantor, when its last granted renewal was sent.
    std::map<group::UpstreamId, Holding> holdings;
    std::vector<DeferredTake> deferred;
    std::map<std::uint64_t, OutstandingTake> outstandingTakes;
    std::deque<std::pair<std::pair<Process, std::uint64_t>, std::uint32_t>> answeredTakes;
    std::map<PeerKey, Time> backoffUntil;
    std::map<PeerKey, std::uint32_t> heldByPeer; ///< As each peer told last.
    std::map<group::UpstreamId, unsigned> consecutiveRefusals; ///< Since a peer last gave something.
    std::vector<SharePeer> peers;
    std::size_t nextPeer { 0 };
    std::uint64_t nextTakeId { 1 };
    std::uint64_t nextRequestId { 1 };
    std::map<std::uint64_t, std::uint64_t> takeIdsByRequest; ///< From the id of a Send to that of its take.
    bool leaving { false };
};

/// @brief Tells whether the lease holds.
[[nodiscard]] bool isLeaseValid(const Ledger& ledger, Time now) noexcept;

/// @brief Gives the connections that may be open to an upstream now.
[[nodiscard]] std::uint32_t computeAllowance(const Ledger& ledger, const group::UpstreamId& id, Time now) noexcept;

/// @brief Gives the part of a limit that is dealt; the rest is left to probes.
[[nodiscard]] std::uint32_t usableLimit(const ShareOptions& options, std::uint32_t limit) noexcept;

/// @brief Joins an epoch later than the own one, with nothing, unless its dealer may still take this holder over.
void joinEpoch(Ledger& ledger, const EpochRecord& record, Time now);

/// @brief Takes in that a grantor granted a renewal.
void recordGrant(Ledger& ledger, const std::string& grantor, Time sentAt);

/// @brief Takes in that the store named this epoch as current in a read begun at a time.
void recordStoreConfirmation(Ledger& ledger, Time startedAt);

/// @brief Answers a dealer that wants to take this holder over.
[[nodiscard]] MoveResponse freezeForMove(Ledger& ledger, const MoveRequest& move, Time now, Actions& actions);

/// @brief Enters the epoch into which a dealer has taken this holder over.
void enterEpoch(Ledger& ledger, const OpenRequest& open);

/// @brief Takes in a peer's request for share; its answer comes at once or later.
void receiveTakeRequest(Ledger& ledger, std::uint64_t ticket, const TakeRequest& take, Time now, Actions& actions);

/// @brief Takes in the answer to an own request, or its failure, by the id of the Send.
void receiveTakeResponse(Ledger& ledger, std::uint64_t requestId, const std::optional<TakeResponse>& response, Time now, Actions& actions);

/// @brief Takes in the pool's use of an upstream's connections.
void reportUse(Ledger& ledger, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions);

/// @brief Answers parked requests whose wait is over.
void expireDeferred(Ledger& ledger, Time now, Actions& actions);

/// @brief Asks peers for share: for waiting statements, and to even out what lies idle.
void requestShare(Ledger& ledger, const group::UpstreamId& id, Time now, Actions& actions);

/// @brief Asks peers so that each daemon has its fair part of what lies idle; call about once a second.
void rebalance(Ledger& ledger, Time now, Actions& actions);

}

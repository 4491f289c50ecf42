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
    Duration lease { std::chrono::seconds(8) }; ///< From the sending of a renewal that a majority grants.
    Duration renewInterval { std::chrono::milliseconds(3000) };
    Duration renewTimeout { std::chrono::milliseconds(1000) };
    Duration lapseMargin { std::chrono::milliseconds(900) }; ///< Covers a drift of two clocks of 5 % over a lease, and some more.
    Duration parkLimit { std::chrono::milliseconds(700) }; ///< Longest wait of a request for share that is in use.
    Duration takeTimeout { std::chrono::milliseconds(1000) };
    Duration refusedPause { std::chrono::milliseconds(200) }; ///< A peer that gave nothing is not asked again for this long.
    std::uint32_t largestTake { 16 };
    std::size_t takesInFlight { 4 }; ///< For one upstream.
    unsigned takeAttempts { 3 };
    unsigned refusalsBeforeYield { 4 }; ///< After so many peers had nothing idle, share in use is asked for.
    std::uint32_t probeReserve { 3 }; ///< Connections of each upstream that are left to the watchers' probes.
};

/// @brief What one daemon holds of one upstream's limit.
struct Holding {
    std::uint32_t tokens { 0 }; ///< Connections that it may have.
    std::uint32_t withheld { 0 }; ///< Of these, promised to a peer as soon as they are closed.
    ShareUse use;
};

/// @brief A peer's request that waits until share is free.
struct ParkedTake {
    std::uint64_t ticket { 0 };
    Take take;
    std::uint32_t amount { 0 };
    Time deadline;
};

/// @brief A request of this daemon that has no answer yet.
struct OutstandingTake {
    Take take;
    std::string vm;
    kernel::Address to;
    unsigned attempts { 1 };
};

/// @brief A peer that may be asked for share.
struct TakePeer {
    std::string vm;
    kernel::Address address;
};

/// @brief What one daemon holds, and the lease under which it holds it.
struct Ledger {
    using PeerKey = std::pair<group::UpstreamId, std::string>;

    ShareOptions options;
    Process self;
    EpochMembers epoch; ///< Number 0: none.
    bool frozen { false }; ///< Between Move and Open no share is transferred.
    Epoch frozenFor { 0 };
    bool registered { false }; ///< A dealer or a majority of grantors knows this holder by name.
    Time leaseEnd;
    Time proof; ///< Start of the newest exchange that proved the epoch to be current.
    std::map<std::string, Time> grants; ///< By grantor, when its last granted renewal was sent.
    std::map<group::UpstreamId, Holding> holdings;
    std::vector<ParkedTake> parked;
    std::map<std::uint64_t, OutstandingTake> outstanding;
    std::deque<std::pair<std::pair<Process, std::uint64_t>, std::uint32_t>> answered;
    std::map<PeerKey, Time> pausedUntil;
    std::map<PeerKey, std::uint32_t> heldByPeer; ///< As each peer told last.
    std::map<group::UpstreamId, unsigned> refusals; ///< Since a peer last gave something.
    std::vector<TakePeer> peers;
    std::size_t nextPeer { 0 };
    std::uint64_t nextTake { 1 };
    std::uint64_t nextSend { 1 };
    std::map<std::uint64_t, std::uint64_t> sends; ///< From the id of a Send to that of its take.
    bool leaving { false };
};

/// @brief Tells whether the lease holds.
[[nodiscard]] bool isLeaseValid(const Ledger& ledger, Time now) noexcept;

/// @brief Gives the connections that may be open to an upstream now.
[[nodiscard]] std::uint32_t computeAllowance(const Ledger& ledger, const group::UpstreamId& id, Time now) noexcept;

/// @brief Gives the part of a limit that is dealt; the rest is left to probes.
[[nodiscard]] std::uint32_t usablePart(const ShareOptions& options, std::uint32_t limit) noexcept;

/// @brief Joins an epoch later than the own one, with nothing, unless its dealer may still take this holder over.
void joinEpoch(Ledger& ledger, const EpochRecord& record, Time now);

/// @brief Takes in that a grantor granted a renewal.
void takeGrant(Ledger& ledger, const std::string& grantor, Time sentAt);

/// @brief Takes in that the store named this epoch as current in a read begun at a time.
void takeStoreProof(Ledger& ledger, Time startedAt);

/// @brief Answers a dealer that wants to take this holder over.
[[nodiscard]] Moved prepareMove(Ledger& ledger, const Move& move, Time now, Actions& actions);

/// @brief Enters the epoch into which a dealer has taken this holder over.
void enterEpoch(Ledger& ledger, const Open& open);

/// @brief Takes in a peer's request for share; its answer comes at once or later.
void receiveTake(Ledger& ledger, std::uint64_t ticket, const Take& take, Time now, Actions& actions);

/// @brief Takes in the answer to an own request, or its failure, by the id of the Send.
void receiveTaken(Ledger& ledger, std::uint64_t sendId, const std::optional<Taken>& taken, Time now, Actions& actions);

/// @brief Takes in the pool's use of an upstream's connections.
void reportUse(Ledger& ledger, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions);

/// @brief Answers parked requests whose wait is over.
void expireParked(Ledger& ledger, Time now, Actions& actions);

/// @brief Asks peers for share: for waiting statements, and to even out what lies idle.
void requestShare(Ledger& ledger, const group::UpstreamId& id, Time now, Actions& actions);

/// @brief Asks peers so that each daemon has its fair part of what lies idle; call about once a second.
void evenOut(Ledger& ledger, Time now, Actions& actions);

}

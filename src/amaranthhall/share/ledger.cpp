#include "amaranthhall/share/ledger.hpp"

#include <algorithm>
#include <functional>

namespace amaranthhall::share {

namespace {

    constexpr std::size_t maximumAnsweredTakes = 256;

    std::uint32_t saturatingSubtract(std::uint32_t left, std::uint32_t right) noexcept
    {
        return left > right ? left - right : 0;
    }

    /// Returns an equal part of the usable limit, or 0 if this daemon is leaving.
    std::uint32_t computeFairShare(const Ledger& ledger, const group::UpstreamId& id)
    {
        const auto limit = ledger.epoch.limits.find(id);
        if (limit == ledger.epoch.limits.end() || ledger.leaving)
            return 0;
        return usableLimit(ledger.options, limit->second) / static_cast<std::uint32_t>(ledger.peers.size() + 1);
    }

    std::uint32_t computeSpareTokens(const Holding& holding) noexcept
    {
        return saturatingSubtract(holding.tokens, holding.promised + holding.use.busy + holding.use.waiting);
    }

    /// Returns the number of tokens to transfer to a peer, possibly only after connections are closed.
    std::uint32_t computeTransfer(const Ledger& ledger, const Holding& holding, const TakeRequest& take)
    {
        const auto fairShare = computeFairShare(ledger, take.upstream);
        const auto spareTokens = computeSpareTokens(holding);
        const auto remaining = saturatingSubtract(holding.tokens, holding.promised);
        if (!take.urgent)
            return std::min({ take.requested, spareTokens, saturatingSubtract(remaining, fairShare) });
        if (spareTokens > 0)
            return std::min(take.requested, spareTokens);
        // Share in use is transferred only to a daemon below its fair share, or to one without any share.
        const auto mayPreempt = take.mayDefer && take.held < std::max(fairShare, 1U) && remaining > take.held && remaining > fairShare;
        return mayPreempt ? 1 : 0;
    }

    void replyToTake(Ledger& ledger, std::uint64_t ticket, const TakeRequest& take, std::uint32_t transferred, Actions& actions)
    {
        if (transferred > 0) {
            ledger.answeredTakes.emplace_back(std::pair(take.requester, take.id), transferred);
            if (ledger.answeredTakes.size() > maximumAnsweredTakes)
                ledger.answeredTakes.pop_front();
        }
        actions.emplace_back(SendReply { .ticket = ticket, .response = TakeResponse { .transferred = transferred, .held = ledger.holdings[take.upstream].tokens } });
    }

    /// Serves the deferred requests of an upstream, oldest first, as far as connections have been closed.
    void serveDeferred(Ledger& ledger, const group::UpstreamId& id, Actions& actions)
    {
        auto& holding = ledger.holdings[id];
        for (auto position = ledger.deferred.begin(); position != ledger.deferred.end();) {
            const auto available = saturatingSubtract(holding.tokens, holding.use.open);
            if (position->take.upstream != id || available == 0) {
                ++position;
                continue;
            }
            const auto transferred = std::min(available, position->amount);
            holding.tokens -= transferred;
            holding.promised -= position->amount;
            replyToTake(ledger, position->ticket, position->take, transferred, actions);
            position = ledger.deferred.erase(position);
        }
    }

    void rejectDeferred(Ledger& ledger, const std::function<bool(const DeferredTake&)>& shouldReject, Actions& actions)
    {
        for (auto position = ledger.deferred.begin(); position != ledger.deferred.end();) {
            if (!shouldReject(*position)) {
                ++position;
                continue;
            }
            ledger.holdings[position->take.upstream].promised -= position->amount;
            replyToTake(ledger, position->ticket, position->take, 0, actions);
            position = ledger.deferred.erase(position);
        }
    }

    void sendTake(Ledger& ledger, const OutstandingTake& outstanding, Actions& actions)
    {
        const auto id = ledger.nextRequestId++;
        ledger.takeIdsByRequest[id] = outstanding.take.id;
        actions.emplace_back(SendRequest { .id = id, .to = outstanding.to, .request = outstanding.take, .timeout = ledger.options.takeTimeout });
    }

    struct InFlight {
        std::size_t count { 0 };
        std::uint32_t requested { 0 };
    };

    InFlight countInFlight(const Ledger& ledger, const group::UpstreamId& id)
    {
        InFlight inFlight;
        for (const auto& [takeId, outstanding] : ledger.outstandingTakes) {
            if (outstanding.take.upstream != id)
                continue;
            ++inFlight.count;
            inFlight.requested += outstanding.take.requested;
        }
        return inFlight;
    }

    bool hasOutstandingTake(const Ledger& ledger, const group::UpstreamId& id, const std::string& vm)
    {
        return std::any_of(ledger.outstandingTakes.begin(), ledger.outstandingTakes.end(), [&](const auto& entry) { return entry.second.take.upstream == id && entry.second.vm == vm; });
    }

    /// Chooses the next peer in round-robin order that has no outstanding request and is not in backoff.
    const SharePeer* chooseNextPeer(Ledger& ledger, const group::UpstreamId& id, Time now)
    {
        for (std::size_t i = 0; i < ledger.peers.size(); ++i) {
            const auto& peer = ledger.peers[ledger.nextPeer++ % ledger.peers.size()];
            const auto backoff = ledger.backoffUntil.find({ id, peer.vm });
            if ((backoff == ledger.backoffUntil.end() || backoff->second <= now) && !hasOutstandingTake(ledger, id, peer.vm))
                return &peer;
        }
        return nullptr;
    }

    /// Chooses the peer with the most tokens, according to its last response.
    const SharePeer& chooseLargestHolder(const Ledger& ledger, const group::UpstreamId& id)
    {
        const auto held = [&](const SharePeer& peer) {
            const auto found = ledger.heldByPeer.find({ id, peer.vm });
            return found == ledger.heldByPeer.end() ? 0 : found->second;
        };
        return *std::max_element(ledger.peers.begin(), ledger.peers.end(), [&](const auto& left, const auto& right) { return held(left) < held(right); });
    }

    bool mayRequestPreemption(const Ledger& ledger, const group::UpstreamId& id, const Holding& holding)
    {
        const auto refusals = ledger.consecutiveRefusals.find(id);
        const auto required = std::min<std::size_t>(ledger.options.refusalsBeforePreemption, ledger.peers.size());
        if (ledger.peers.empty() || refusals == ledger.consecutiveRefusals.end() || refusals->second < required)
            return false;
        const auto isPreempting = std::any_of(ledger.outstandingTakes.begin(), ledger.outstandingTakes.end(), [&](const auto& entry) { return entry.second.take.upstream == id && entry.second.take.mayDefer; });
        return !isPreempting && holding.tokens < std::max(computeFairShare(ledger, id), 1U);
    }

    void applyTakeResponse(Ledger& ledger, const OutstandingTake& outstanding, const TakeResponse& response)
    {
        const auto& id = outstanding.take.upstream;
        ledger.heldByPeer[{ id, outstanding.vm }] = response.held;
        // While frozen, the tokens have already been reported to the coordinator. Tokens that arrive now are allocated again in the new epoch.
        if (!ledger.frozen && outstanding.take.epoch == ledger.epoch.epoch)
            ledger.holdings[id].tokens += response.transferred;
    }

    bool mayTransfer(const Ledger& ledger, Time now)
    {
        return !ledger.frozen && ledger.epoch.epoch != 0 && isLeaseValid(ledger, now);
    }

    enum class Urgency : std::uint8_t {
        Rebalance,
        Idle, ///< Requests idle share.
        Preempt, ///< Requests share in use.
    };

    void requestTransfer(Ledger& ledger, const group::UpstreamId& id, const SharePeer& peer, std::uint32_t requested, Urgency urgency, Actions& actions)
    {
        const auto takeId = ledger.nextTakeId++;
        OutstandingTake outstanding {
            .take = { .epoch = ledger.epoch.epoch, .id = takeId, .requester = ledger.self, .upstream = id, .requested = requested, .held = ledger.holdings[id].tokens, .urgent = urgency != Urgency::Rebalance, .mayDefer = urgency == Urgency::Preempt },
            .vm = peer.vm,
            .to = peer.address,
        };
        sendTake(ledger, outstanding, actions);
        ledger.outstandingTakes.emplace(takeId, std::move(outstanding));
    }

    void setEpoch(Ledger& ledger, const EpochConfiguration& epoch)
    {
        ledger.epoch = epoch;
        ledger.frozen = false;
        ledger.grantTimes.clear();
        ledger.confirmedAt = {};
        ledger.outstandingTakes.clear();
        ledger.takeIdsByRequest.clear();
        ledger.answeredTakes.clear();
        ledger.backoffUntil.clear();
        ledger.heldByPeer.clear();
        ledger.consecutiveRefusals.clear();
    }

}

bool isLeaseValid(const Ledger& ledger, Time now) noexcept
{
    return ledger.registered && now < ledger.leaseEnd;
}

std::uint32_t computeAllowance(const Ledger& ledger, const group::UpstreamId& id, Time now) noexcept
{
    const auto found = ledger.holdings.find(id);
    if (found == ledger.holdings.end() || !isLeaseValid(ledger, now))
        return 0;
    return saturatingSubtract(found->second.tokens, found->second.promised);
}

std::uint32_t usableLimit(const ShareOptions& options, std::uint32_t limit) noexcept
{
    // If the limit is too small for the reserve, one connection still remains for statements.
    return std::min(limit, std::max(1U, saturatingSubtract(limit, options.probeReserve)));
}

void joinEpoch(Ledger& ledger, const EpochRecord& record, Time now)
{
    const auto mayBeMigrated = isLeaseValid(ledger, now) && !record.settled;
    if (record.current.epoch <= ledger.epoch.epoch || mayBeMigrated)
        return;
    setEpoch(ledger, record.current);
    ledger.registered = false;
    for (auto& [id, holding] : ledger.holdings) {
        holding.tokens = 0;
        holding.promised = 0;
    }
    ledger.deferred.clear();
}

void recordGrant(Ledger& ledger, const std::string& grantor, Time sentAt)
{
    auto& lastGrant = ledger.grantTimes[grantor];
    lastGrant = std::max(lastGrant, sentAt);
    const auto majority = ledger.epoch.grantors.size() / 2 + 1;
    if (ledger.grantTimes.size() < majority)
        return;
    std::vector<Time> times;
    for (const auto& [vm, time] : ledger.grantTimes)
        times.push_back(time);
    std::sort(times.begin(), times.end(), std::greater<>());
    const auto confirmedAt = times[majority - 1];
    ledger.registered = true;
    ledger.confirmedAt = std::max(ledger.confirmedAt, confirmedAt);
    ledger.leaseEnd = std::max(ledger.leaseEnd, confirmedAt + ledger.options.leaseDuration);
}

void recordStoreConfirmation(Ledger& ledger, Time startedAt)
{
    // A coordinator terminates connections by the holder's name, so it could not revoke the share of a holder that no majority of the grantors has recorded.
    if (!ledger.registered)
        return;
    ledger.confirmedAt = std::max(ledger.confirmedAt, startedAt);
    ledger.leaseEnd = std::max(ledger.leaseEnd, startedAt + ledger.options.leaseDuration);
}

MoveResponse freezeForMove(Ledger& ledger, const MoveRequest& move, Time now, Actions& actions)
{
    const auto isExpectedRequest = move.holderStartTime == ledger.self.startTime && ledger.epoch.epoch != 0 && move.newEpoch > ledger.epoch.epoch;
    if (!isExpectedRequest || (ledger.frozen && move.newEpoch < ledger.frozenForEpoch) || !isLeaseValid(ledger, now))
        return {};
    ledger.frozen = true;
    ledger.frozenForEpoch = move.newEpoch;
    rejectDeferred(
        ledger, [](const auto&) { return true; }, actions);
    MoveResponse moveResponse { .leaseValid = true };
    for (const auto& [id, holding] : ledger.holdings)
        moveResponse.counts[id] = holding.tokens;
    return moveResponse;
}

void enterEpoch(Ledger& ledger, const OpenRequest& open)
{
    const auto epoch = open.record.current.epoch;
    if (!ledger.frozen || epoch != ledger.frozenForEpoch || open.holderStartTime != ledger.self.startTime)
        return;
    setEpoch(ledger, open.record.current);
    for (auto& [id, holding] : ledger.holdings) {
        const auto count = open.counts.find(id);
        holding.tokens = count == open.counts.end() ? 0 : std::min(holding.tokens, count->second);
    }
}

void receiveTakeRequest(Ledger& ledger, std::uint64_t ticket, const TakeRequest& take, Time now, Actions& actions)
{
    const auto duplicate = std::find_if(ledger.answeredTakes.begin(), ledger.answeredTakes.end(), [&](const auto& entry) { return entry.first == std::pair(take.requester, take.id); });
    if (take.epoch != ledger.epoch.epoch || !mayTransfer(ledger, now)) {
        actions.emplace_back(SendReply { .ticket = ticket, .response = TakeResponse {} });
        return;
    }
    if (duplicate != ledger.answeredTakes.end()) {
        actions.emplace_back(SendReply { .ticket = ticket, .response = TakeResponse { .transferred = duplicate->second } });
        return;
    }
    auto& holding = ledger.holdings[take.upstream];
    const auto amount = computeTransfer(ledger, holding, take);
    if (amount == 0) {
        replyToTake(ledger, ticket, take, 0, actions);
        return;
    }
    holding.promised += amount;
    ledger.deferred.push_back({ .ticket = ticket, .take = take, .amount = amount, .deadline = now + ledger.options.deferralTimeout });
    serveDeferred(ledger, take.upstream, actions);
}

void receiveTakeResponse(Ledger& ledger, std::uint64_t requestId, const std::optional<TakeResponse>& response, Time now, Actions& actions)
{
    const auto sentTake = ledger.takeIdsByRequest.find(requestId);
    if (sentTake == ledger.takeIdsByRequest.end())
        return;
    const auto found = ledger.outstandingTakes.find(sentTake->second);
    ledger.takeIdsByRequest.erase(sentTake);
    if (found == ledger.outstandingTakes.end())
        return;
    auto& outstanding = found->second;
    const auto id = outstanding.take.upstream;
    if (!response && outstanding.attempts < ledger.options.maximumTakeAttempts && mayTransfer(ledger, now)) {
        ++outstanding.attempts;
        sendTake(ledger, outstanding, actions);
        return;
    }
    if (response)
        applyTakeResponse(ledger, outstanding, *response);
    if (!response || response->transferred == 0) {
        ledger.backoffUntil[{ id, outstanding.vm }] = now + ledger.options.refusalBackoff;
        ++ledger.consecutiveRefusals[id];
    } else {
        ledger.consecutiveRefusals[id] = 0;
    }
    ledger.outstandingTakes.erase(found);
    requestShare(ledger, id, now, actions);
}

void reportUse(Ledger& ledger, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions)
{
    ledger.holdings[id].use = use;
    if (!ledger.frozen)
        serveDeferred(ledger, id, actions);
    requestShare(ledger, id, now, actions);
}

void expireDeferred(Ledger& ledger, Time now, Actions& actions)
{
    const auto isLeaseExpired = !isLeaseValid(ledger, now);
    rejectDeferred(
        ledger, [&](const auto& deferred) { return isLeaseExpired || deferred.deadline <= now; }, actions);
}

void requestShare(Ledger& ledger, const group::UpstreamId& id, Time now, Actions& actions)
{
    const auto& holding = ledger.holdings[id];
    if (holding.use.waiting == 0 || !mayTransfer(ledger, now))
        return;
    auto inFlight = countInFlight(ledger, id);
    const auto needed = holding.use.busy + holding.use.waiting;
    while (inFlight.count < ledger.options.maximumTakesInFlight) {
        const auto requested = std::min(saturatingSubtract(needed, saturatingSubtract(holding.tokens, holding.promised) + inFlight.requested), ledger.options.maximumTakeSize);
        const auto* peer = requested > 0 ? chooseNextPeer(ledger, id, now) : nullptr;
        if (!peer)
            break;
        requestTransfer(ledger, id, *peer, requested, Urgency::Idle, actions);
        ++inFlight.count;
        inFlight.requested += requested;
    }
    if (mayRequestPreemption(ledger, id, holding))
        requestTransfer(ledger, id, chooseLargestHolder(ledger, id), 1, Urgency::Preempt, actions);
}

void rebalance(Ledger& ledger, Time now, Actions& actions)
{
    if (!mayTransfer(ledger, now))
        return;
    for (const auto& [id, limit] : ledger.epoch.limits) {
        const auto fairShare = computeFairShare(ledger, id);
        const auto& holding = ledger.holdings[id];
        if (holding.tokens >= fairShare)
            continue;
        // A daemon without tokens asks several peers at once, as its statements would otherwise wait until it finds a peer with share.
        const auto maximum = holding.tokens == 0 ? ledger.options.maximumTakesInFlight : 1;
        for (auto inFlight = countInFlight(ledger, id).count; inFlight < maximum; ++inFlight) {
            const auto* peer = chooseNextPeer(ledger, id, now);
            if (!peer)
                break;
            requestTransfer(ledger, id, *peer, fairShare - holding.tokens, Urgency::Rebalance, actions);
        }
    }
}

}

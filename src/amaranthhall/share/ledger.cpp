#include "amaranthhall/share/ledger.hpp"

#include <algorithm>
#include <functional>

namespace amaranthhall::share {

namespace {

    constexpr std::size_t keptAnswers = 256;

    std::uint32_t subtract(std::uint32_t left, std::uint32_t right) noexcept
    {
        return left > right ? left - right : 0;
    }

    /// Gives what a daemon gets if all hold the same.
    std::uint32_t computeFairPart(const Ledger& ledger, const group::UpstreamId& id)
    {
        const auto limit = ledger.epoch.limits.find(id);
        if (limit == ledger.epoch.limits.end() || ledger.leaving)
            return 0;
        return usablePart(ledger.options, limit->second) / static_cast<std::uint32_t>(ledger.peers.size() + 1);
    }

    std::uint32_t computeSpare(const Holding& holding) noexcept
    {
        return subtract(holding.tokens, holding.withheld + holding.use.busy + holding.use.waiting);
    }

    /// Gives how much of its own share a holder would give to a peer, though perhaps only later.
    std::uint32_t computeGift(const Ledger& ledger, const Holding& holding, const Take& take)
    {
        const auto fair = computeFairPart(ledger, take.upstream);
        const auto spare = computeSpare(holding);
        const auto left = subtract(holding.tokens, holding.withheld);
        if (!take.urgent)
            return std::min({ take.want, spare, subtract(left, fair) });
        if (spare > 0)
            return std::min(take.want, spare);
        // Share in use is given up for a daemon that has less than its fair part, or none at all.
        const auto mayYield = take.mayWait && take.held < std::max(fair, 1U) && left > take.held && left > fair;
        return mayYield ? 1 : 0;
    }

    void answerTake(Ledger& ledger, std::uint64_t ticket, const Take& take, std::uint32_t given, Actions& actions)
    {
        if (given > 0) {
            ledger.answered.emplace_back(std::pair(take.by, take.id), given);
            if (ledger.answered.size() > keptAnswers)
                ledger.answered.pop_front();
        }
        actions.emplace_back(Reply { .ticket = ticket, .response = Taken { .given = given, .held = ledger.holdings[take.upstream].tokens } });
    }

    /// Answers parked requests of an upstream, the oldest first, as far as connections have been closed.
    void serveParked(Ledger& ledger, const group::UpstreamId& id, Actions& actions)
    {
        auto& holding = ledger.holdings[id];
        for (auto position = ledger.parked.begin(); position != ledger.parked.end();) {
            const auto room = subtract(holding.tokens, holding.use.open);
            if (position->take.upstream != id || room == 0) {
                ++position;
                continue;
            }
            const auto given = std::min(room, position->amount);
            holding.tokens -= given;
            holding.withheld -= position->amount;
            answerTake(ledger, position->ticket, position->take, given, actions);
            position = ledger.parked.erase(position);
        }
    }

    void endParked(Ledger& ledger, const std::function<bool(const ParkedTake&)>& ended, Actions& actions)
    {
        for (auto position = ledger.parked.begin(); position != ledger.parked.end();) {
            if (!ended(*position)) {
                ++position;
                continue;
            }
            ledger.holdings[position->take.upstream].withheld -= position->amount;
            answerTake(ledger, position->ticket, position->take, 0, actions);
            position = ledger.parked.erase(position);
        }
    }

    void send(Ledger& ledger, const OutstandingTake& outstanding, Actions& actions)
    {
        const auto id = ledger.nextSend++;
        ledger.sends[id] = outstanding.take.id;
        actions.emplace_back(Send { .id = id, .to = outstanding.to, .request = outstanding.take, .timeout = ledger.options.takeTimeout });
    }

    struct InFlight {
        std::size_t count { 0 };
        std::uint32_t wanted { 0 };
    };

    InFlight countInFlight(const Ledger& ledger, const group::UpstreamId& id)
    {
        InFlight inFlight;
        for (const auto& [number, outstanding] : ledger.outstanding) {
            if (outstanding.take.upstream != id)
                continue;
            ++inFlight.count;
            inFlight.wanted += outstanding.take.want;
        }
        return inFlight;
    }

    bool isAsked(const Ledger& ledger, const group::UpstreamId& id, const std::string& vm)
    {
        return std::any_of(ledger.outstanding.begin(), ledger.outstanding.end(), [&](const auto& entry) { return entry.second.take.upstream == id && entry.second.vm == vm; });
    }

    /// Chooses the next peer in turn that is neither asked nor has just refused.
    const TakePeer* choosePeer(Ledger& ledger, const group::UpstreamId& id, Time now)
    {
        for (std::size_t i = 0; i < ledger.peers.size(); ++i) {
            const auto& peer = ledger.peers[ledger.nextPeer++ % ledger.peers.size()];
            const auto paused = ledger.pausedUntil.find({ id, peer.vm });
            if ((paused == ledger.pausedUntil.end() || paused->second <= now) && !isAsked(ledger, id, peer.vm))
                return &peer;
        }
        return nullptr;
    }

    /// Chooses the peer that holds the most, as far as is known.
    const TakePeer& chooseRichest(const Ledger& ledger, const group::UpstreamId& id)
    {
        const auto held = [&](const TakePeer& peer) {
            const auto found = ledger.heldByPeer.find({ id, peer.vm });
            return found == ledger.heldByPeer.end() ? 0 : found->second;
        };
        return *std::max_element(ledger.peers.begin(), ledger.peers.end(), [&](const auto& left, const auto& right) { return held(left) < held(right); });
    }

    bool mayAskToYield(const Ledger& ledger, const group::UpstreamId& id, const Holding& holding)
    {
        const auto refusals = ledger.refusals.find(id);
        const auto enough = std::min<std::size_t>(ledger.options.refusalsBeforeYield, ledger.peers.size());
        if (ledger.peers.empty() || refusals == ledger.refusals.end() || refusals->second < enough)
            return false;
        const auto isAsking = std::any_of(ledger.outstanding.begin(), ledger.outstanding.end(), [&](const auto& entry) { return entry.second.take.upstream == id && entry.second.take.mayWait; });
        return !isAsking && holding.tokens < std::max(computeFairPart(ledger, id), 1U);
    }

    void takeIn(Ledger& ledger, const OutstandingTake& outstanding, const Taken& taken)
    {
        const auto& id = outstanding.take.upstream;
        ledger.heldByPeer[{ id, outstanding.vm }] = taken.held;
        // Between Move and Open the count has been told already; what comes now is dealt again in the new epoch.
        if (!ledger.frozen && outstanding.take.epoch == ledger.epoch.epoch)
            ledger.holdings[id].tokens += taken.given;
    }

    bool mayTransfer(const Ledger& ledger, Time now)
    {
        return !ledger.frozen && ledger.epoch.epoch != 0 && isLeaseValid(ledger, now);
    }

    enum class Urgency : std::uint8_t {
        EvenOut,
        Idle, ///< Asks for what is idle.
        Yield, ///< Asks for what is in use.
    };

    void ask(Ledger& ledger, const group::UpstreamId& id, const TakePeer& peer, std::uint32_t want, Urgency urgency, Actions& actions)
    {
        const auto number = ledger.nextTake++;
        OutstandingTake outstanding {
            .take = { .epoch = ledger.epoch.epoch, .id = number, .by = ledger.self, .upstream = id, .want = want, .held = ledger.holdings[id].tokens, .urgent = urgency != Urgency::EvenOut, .mayWait = urgency == Urgency::Yield },
            .vm = peer.vm,
            .to = peer.address,
        };
        send(ledger, outstanding, actions);
        ledger.outstanding.emplace(number, std::move(outstanding));
    }

    void setEpoch(Ledger& ledger, const EpochMembers& epoch)
    {
        ledger.epoch = epoch;
        ledger.frozen = false;
        ledger.grants.clear();
        ledger.proof = {};
        ledger.outstanding.clear();
        ledger.sends.clear();
        ledger.answered.clear();
        ledger.pausedUntil.clear();
        ledger.heldByPeer.clear();
        ledger.refusals.clear();
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
    return subtract(found->second.tokens, found->second.withheld);
}

std::uint32_t usablePart(const ShareOptions& options, std::uint32_t limit) noexcept
{
    // A limit too small for the reserve still leaves one connection for statements.
    return std::min(limit, std::max(1U, subtract(limit, options.probeReserve)));
}

void joinEpoch(Ledger& ledger, const EpochRecord& record, Time now)
{
    const auto mayBeTakenOver = isLeaseValid(ledger, now) && !record.settled;
    if (record.current.epoch <= ledger.epoch.epoch || mayBeTakenOver)
        return;
    setEpoch(ledger, record.current);
    ledger.registered = false;
    for (auto& [id, holding] : ledger.holdings) {
        holding.tokens = 0;
        holding.withheld = 0;
    }
    ledger.parked.clear();
}

void takeGrant(Ledger& ledger, const std::string& grantor, Time sentAt)
{
    auto& last = ledger.grants[grantor];
    last = std::max(last, sentAt);
    const auto majority = ledger.epoch.grantors.size() / 2 + 1;
    if (ledger.grants.size() < majority)
        return;
    std::vector<Time> times;
    for (const auto& [vm, time] : ledger.grants)
        times.push_back(time);
    std::sort(times.begin(), times.end(), std::greater<>());
    const auto proof = times[majority - 1];
    ledger.registered = true;
    ledger.proof = std::max(ledger.proof, proof);
    ledger.leaseEnd = std::max(ledger.leaseEnd, proof + ledger.options.lease);
}

void takeStoreProof(Ledger& ledger, Time startedAt)
{
    // A holder that no majority knows by name could not be cut off by name.
    if (!ledger.registered)
        return;
    ledger.proof = std::max(ledger.proof, startedAt);
    ledger.leaseEnd = std::max(ledger.leaseEnd, startedAt + ledger.options.lease);
}

Moved prepareMove(Ledger& ledger, const Move& move, Time now, Actions& actions)
{
    const auto isKnown = move.holderStarted == ledger.self.started && ledger.epoch.epoch != 0 && move.into > ledger.epoch.epoch;
    if (!isKnown || (ledger.frozen && move.into < ledger.frozenFor) || !isLeaseValid(ledger, now))
        return {};
    ledger.frozen = true;
    ledger.frozenFor = move.into;
    endParked(
        ledger, [](const auto&) { return true; }, actions);
    Moved moved { .held = true };
    for (const auto& [id, holding] : ledger.holdings)
        moved.counts[id] = holding.tokens;
    return moved;
}

void enterEpoch(Ledger& ledger, const Open& open)
{
    const auto epoch = open.record.current.epoch;
    if (!ledger.frozen || epoch != ledger.frozenFor || open.holderStarted != ledger.self.started)
        return;
    setEpoch(ledger, open.record.current);
    for (auto& [id, holding] : ledger.holdings) {
        const auto count = open.counts.find(id);
        holding.tokens = count == open.counts.end() ? 0 : std::min(holding.tokens, count->second);
    }
}

void receiveTake(Ledger& ledger, std::uint64_t ticket, const Take& take, Time now, Actions& actions)
{
    const auto repeated = std::find_if(ledger.answered.begin(), ledger.answered.end(), [&](const auto& entry) { return entry.first == std::pair(take.by, take.id); });
    if (take.epoch != ledger.epoch.epoch || !mayTransfer(ledger, now)) {
        actions.emplace_back(Reply { .ticket = ticket, .response = Taken {} });
        return;
    }
    if (repeated != ledger.answered.end()) {
        actions.emplace_back(Reply { .ticket = ticket, .response = Taken { .given = repeated->second } });
        return;
    }
    auto& holding = ledger.holdings[take.upstream];
    const auto amount = computeGift(ledger, holding, take);
    if (amount == 0) {
        answerTake(ledger, ticket, take, 0, actions);
        return;
    }
    holding.withheld += amount;
    ledger.parked.push_back({ .ticket = ticket, .take = take, .amount = amount, .deadline = now + ledger.options.parkLimit });
    serveParked(ledger, take.upstream, actions);
}

void receiveTaken(Ledger& ledger, std::uint64_t sendId, const std::optional<Taken>& taken, Time now, Actions& actions)
{
    const auto sent = ledger.sends.find(sendId);
    if (sent == ledger.sends.end())
        return;
    const auto found = ledger.outstanding.find(sent->second);
    ledger.sends.erase(sent);
    if (found == ledger.outstanding.end())
        return;
    auto& outstanding = found->second;
    const auto id = outstanding.take.upstream;
    if (!taken && outstanding.attempts < ledger.options.takeAttempts && mayTransfer(ledger, now)) {
        ++outstanding.attempts;
        send(ledger, outstanding, actions);
        return;
    }
    if (taken)
        takeIn(ledger, outstanding, *taken);
    if (!taken || taken->given == 0) {
        ledger.pausedUntil[{ id, outstanding.vm }] = now + ledger.options.refusedPause;
        ++ledger.refusals[id];
    } else {
        ledger.refusals[id] = 0;
    }
    ledger.outstanding.erase(found);
    requestShare(ledger, id, now, actions);
}

void reportUse(Ledger& ledger, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions)
{
    ledger.holdings[id].use = use;
    if (!ledger.frozen)
        serveParked(ledger, id, actions);
    requestShare(ledger, id, now, actions);
}

void expireParked(Ledger& ledger, Time now, Actions& actions)
{
    const auto lapsed = !isLeaseValid(ledger, now);
    endParked(
        ledger, [&](const auto& parked) { return lapsed || parked.deadline <= now; }, actions);
}

void requestShare(Ledger& ledger, const group::UpstreamId& id, Time now, Actions& actions)
{
    const auto& holding = ledger.holdings[id];
    if (holding.use.waiting == 0 || !mayTransfer(ledger, now))
        return;
    auto inFlight = countInFlight(ledger, id);
    const auto needed = holding.use.busy + holding.use.waiting;
    while (inFlight.count < ledger.options.takesInFlight) {
        const auto want = std::min(subtract(needed, subtract(holding.tokens, holding.withheld) + inFlight.wanted), ledger.options.largestTake);
        const auto* peer = want > 0 ? choosePeer(ledger, id, now) : nullptr;
        if (!peer)
            break;
        ask(ledger, id, *peer, want, Urgency::Idle, actions);
        ++inFlight.count;
        inFlight.wanted += want;
    }
    if (mayAskToYield(ledger, id, holding))
        ask(ledger, id, chooseRichest(ledger, id), 1, Urgency::Yield, actions);
}

void evenOut(Ledger& ledger, Time now, Actions& actions)
{
    if (!mayTransfer(ledger, now))
        return;
    for (const auto& [id, limit] : ledger.epoch.limits) {
        const auto fair = computeFairPart(ledger, id);
        const auto& holding = ledger.holdings[id];
        if (holding.tokens >= fair)
            continue;
        // Without any share a statement would wait for the first peer that has some, so several are asked at once.
        const auto most = holding.tokens == 0 ? ledger.options.takesInFlight : 1;
        for (auto inFlight = countInFlight(ledger, id).count; inFlight < most; ++inFlight) {
            const auto* peer = choosePeer(ledger, id, now);
            if (!peer)
                break;
            ask(ledger, id, *peer, fair - holding.tokens, Urgency::EvenOut, actions);
        }
    }
}

}

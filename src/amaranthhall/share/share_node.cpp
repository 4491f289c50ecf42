#include "amaranthhall/share/share_node.hpp"

#include <algorithm>
#include <type_traits>

namespace amaranthhall::share {

namespace {

    using namespace std::chrono_literals;

    constexpr auto readInterval = 3s; // shorter than a lease, so that the row renews it while grantors are silent
    constexpr auto readIntervalPerMember = 10ms; // at most 100 reads a second by all daemons together
    constexpr auto evenInterval = 500ms;

    DealerView makeView(const ShareNode& node, Time now)
    {
        return { .members = node.members, .limits = node.limits, .now = now };
    }

    bool isNewer(const EpochRecord& record, const std::optional<EpochRecord>& known)
    {
        if (!known || record.current.epoch != known->current.epoch)
            return !known || record.current.epoch > known->current.epoch;
        return record.settled && !known->settled;
    }

    void learnRecord(ShareNode& node, const EpochRecord& record)
    {
        if (isNewer(record, node.grantor.record))
            node.grantor.record = record;
    }

    void joinNewest(ShareNode& node, Time now)
    {
        if (!node.grantor.record)
            return;
        const auto before = node.ledger.epoch.epoch;
        joinEpoch(node.ledger, *node.grantor.record, now);
        if (before != node.ledger.epoch.epoch)
            node.nextRenewal = now;
    }

    void renew(ShareNode& node, Time now, Actions& actions)
    {
        node.nextRenewal = now + node.ledger.options.renewInterval;
        node.lastRenewal = now;
        node.renewals.clear();
        for (const auto& grantor : node.ledger.epoch.grantors) {
            const auto id = node.ledger.nextSend++;
            node.renewals[id] = { .grantor = grantor.vm, .epoch = node.ledger.epoch.epoch, .sentAt = now };
            actions.emplace_back(Send { .id = id, .to = grantor.address, .request = Renew { .epoch = node.ledger.epoch.epoch, .holder = node.ledger.self, .grantorStarted = grantor.started }, .timeout = node.ledger.options.renewTimeout });
        }
    }

    bool isRenewalDue(const ShareNode& node, Time now)
    {
        if (node.ledger.epoch.epoch == 0 || node.ledger.frozen)
            return false;
        const auto isProofAwaited = node.dealer.phase == DealPhase::Release && node.lastRenewal < node.dealer.releasedAt;
        return now >= node.nextRenewal || isProofAwaited;
    }

    void learnFromPeer(ShareNode& node, Random& random, Actions& actions)
    {
        if (node.ledger.peers.empty())
            return;
        const auto chosen = std::uniform_int_distribution<std::size_t>(0, node.ledger.peers.size() - 1)(random);
        const auto id = node.ledger.nextSend++;
        node.learns = { id };
        actions.emplace_back(Send { .id = id, .to = node.ledger.peers[chosen].address, .request = Learn {}, .timeout = node.ledger.options.renewTimeout });
    }

    void read(ShareNode& node, Time now, Random& random, Actions& actions)
    {
        const Duration interval = std::max<Duration>(readInterval, readIntervalPerMember * node.members.size());
        node.nextRead = now + interval * std::uniform_int_distribution<int>(80, 120)(random) / 100;
        actions.emplace_back(ReadRecord {});
        if (!isLeaseValid(node.ledger, now))
            learnFromPeer(node, random, actions);
    }

    void receiveRenewed(ShareNode& node, const SentRenewal& renewal, const Renewed& renewed, Time now)
    {
        if (renewed.newer)
            learnRecord(node, *renewed.newer);
        if (renewed.granted && renewal.epoch == node.ledger.epoch.epoch && !node.ledger.frozen)
            takeGrant(node.ledger, renewal.grantor, renewal.sentAt);
        joinNewest(node, now);
    }

}

ShareNode makeShareNode(const Process& self, const ShareOptions& options)
{
    ShareNode node;
    node.ledger.self = self;
    node.ledger.options = options;
    node.grantor.self = self;
    node.dealer.self = self;
    node.dealer.options = options;
    return node;
}

void tickNode(ShareNode& node, Time now, Random& random, Actions& actions)
{
    expireParked(node.ledger, now, actions);
    joinNewest(node, now);
    if (isRenewalDue(node, now))
        renew(node, now, actions);
    if (now >= node.nextRead)
        read(node, now, random, actions);
    if (now >= node.nextEven) {
        node.nextEven = now + evenInterval;
        evenOut(node.ledger, now, actions);
    }
    for (const auto& [id, holding] : node.ledger.holdings)
        requestShare(node.ledger, id, now, actions);
    const auto view = makeView(node, now);
    if (isDealingDue(node.dealer, view))
        beginDealing(node.dealer, view, node.ledger.nextSend, actions);
    const auto phase = node.dealer.phase;
    continueDealing(node.dealer, view, node.ledger, actions);
    if (phase != node.dealer.phase && node.dealer.stored)
        learnRecord(node, *node.dealer.stored);
}

void receiveRequest(ShareNode& node, std::uint64_t ticket, const Request& request, Time now, Actions& actions)
{
    std::visit(
        [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, Learn>)
                actions.emplace_back(Reply { ticket, Learned { .self = node.ledger.self, .record = node.grantor.record } });
            else if constexpr (std::is_same_v<Body, Renew>)
                actions.emplace_back(Reply { ticket, renewLease(node.grantor, body) });
            else if constexpr (std::is_same_v<Body, Close>)
                actions.emplace_back(Reply { ticket, closeEpochs(node.grantor, body) });
            else if constexpr (std::is_same_v<Body, Move>)
                actions.emplace_back(Reply { ticket, prepareMove(node.ledger, body, now, actions) });
            else if constexpr (std::is_same_v<Body, Open>) {
                learnRecord(node, body.record);
                enterEpoch(node.ledger, body);
                node.nextRenewal = now;
                actions.emplace_back(Reply { ticket, Opened {} });
            } else
                receiveTake(node.ledger, ticket, body, now, actions);
        },
        request);
}

void receiveResponse(ShareNode& node, std::uint64_t id, const std::optional<Response>& response, Time now, Actions& actions)
{
    const auto view = makeView(node, now);
    if (receiveDealerAnswer(node.dealer, id, response, view, node.ledger.nextSend, actions)) {
        continueDealing(node.dealer, view, node.ledger, actions);
        return;
    }
    if (node.learns.erase(id) != 0) {
        const auto* learned = response ? std::get_if<Learned>(&*response) : nullptr;
        if (learned && learned->record)
            learnRecord(node, *learned->record);
        joinNewest(node, now);
        return;
    }
    const auto renewal = node.renewals.find(id);
    if (renewal != node.renewals.end()) {
        const auto sent = renewal->second;
        node.renewals.erase(renewal);
        if (const auto* renewed = response ? std::get_if<Renewed>(&*response) : nullptr)
            receiveRenewed(node, sent, *renewed, now);
        return;
    }
    const auto* taken = response ? std::get_if<Taken>(&*response) : nullptr;
    receiveTaken(node.ledger, id, taken ? std::optional(*taken) : std::nullopt, now, actions);
}

void receiveRow(ShareNode& node, std::uint64_t version, const std::optional<EpochRecord>& record, Time startedAt, Time now)
{
    receiveRecord(node.dealer, version, record);
    if (!record)
        return;
    learnRecord(node, *record);
    if (record->current.epoch == node.ledger.epoch.epoch && !node.ledger.frozen)
        takeStoreProof(node.ledger, startedAt);
    joinNewest(node, now);
}

void receiveVms(ShareNode& node, std::set<std::string> vms)
{
    node.dealer.listedVms = std::move(vms);
}

void receiveMembers(ShareNode& node, std::span<const membership::Member> members)
{
    node.members.assign(members.begin(), members.end());
    node.ledger.peers.clear();
    for (const auto& member : members) {
        if (member.id == node.ledger.self.vm)
            node.ledger.leaving = member.state == membership::MemberState::Leaving;
        else if (member.state != membership::MemberState::Suspected)
            node.ledger.peers.push_back({ .vm = member.id, .address = member.peer });
    }
}

void receiveUse(ShareNode& node, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions)
{
    reportUse(node.ledger, id, use, now, actions);
}

}

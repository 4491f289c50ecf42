#include "amaranthhall/share/share_node.hpp"

#include <algorithm>
#include <type_traits>

namespace amaranthhall::share {

namespace {

    using namespace std::chrono_literals;

    constexpr auto readInterval = 3s; // shorter than a lease, so that reads of the row renew it while grantors do not respond
    constexpr auto readIntervalPerMember = 10ms; // limits the whole fleet to 100 reads per second
    constexpr auto rebalanceInterval = 500ms;

    CoordinatorView makeView(const ShareNode& node, Time now)
    {
        return { .members = node.members, .limits = node.limits, .now = now };
    }

    bool isNewer(const EpochRecord& record, const std::optional<EpochRecord>& known)
    {
        if (!known || record.current.epoch != known->current.epoch)
            return !known || record.current.epoch > known->current.epoch;
        return record.settled && !known->settled;
    }

    void updateNewestRecord(ShareNode& node, const EpochRecord& record)
    {
        if (isNewer(record, node.grantor.newestRecord))
            node.grantor.newestRecord = record;
    }

    void joinNewestEpoch(ShareNode& node, Time now)
    {
        if (!node.grantor.newestRecord)
            return;
        const auto previousEpoch = node.ledger.epoch.epoch;
        joinEpoch(node.ledger, *node.grantor.newestRecord, now);
        if (previousEpoch != node.ledger.epoch.epoch)
            node.nextRenewal = now;
    }

    void sendRenewals(ShareNode& node, Time now, Actions& actions)
    {
        node.nextRenewal = now + node.ledger.options.renewInterval;
        node.lastRenewal = now;
        node.renewals.clear();
        for (const auto& grantor : node.ledger.epoch.grantors) {
            const auto id = node.ledger.nextRequestId++;
            node.renewals[id] = { .grantor = grantor.vm, .epoch = node.ledger.epoch.epoch, .sentAt = now };
            actions.emplace_back(SendRequest { .id = id, .to = grantor.address, .request = RenewRequest { .epoch = node.ledger.epoch.epoch, .holder = node.ledger.self, .grantorStartTime = grantor.startTime }, .timeout = node.ledger.options.renewTimeout });
        }
    }

    bool isRenewalDue(const ShareNode& node, Time now)
    {
        if (node.ledger.epoch.epoch == 0 || node.ledger.frozen)
            return false;
        const auto isConfirmationAwaited = node.coordinator.phase == ReallocationPhase::Release && node.lastRenewal < node.coordinator.releaseStartedAt;
        return now >= node.nextRenewal || isConfirmationAwaited;
    }

    void queryRandomPeer(ShareNode& node, Random& random, Actions& actions)
    {
        if (node.ledger.peers.empty())
            return;
        const auto peerIndex = std::uniform_int_distribution<std::size_t>(0, node.ledger.peers.size() - 1)(random);
        const auto id = node.ledger.nextRequestId++;
        node.learnRequestIds = { id };
        actions.emplace_back(SendRequest { .id = id, .to = node.ledger.peers[peerIndex].address, .request = LearnRequest {}, .timeout = node.ledger.options.renewTimeout });
    }

    void requestRecord(ShareNode& node, Time now, Random& random, Actions& actions)
    {
        const Duration interval = std::max<Duration>(readInterval, readIntervalPerMember * node.members.size());
        node.nextRead = now + interval * std::uniform_int_distribution<int>(80, 120)(random) / 100;
        actions.emplace_back(ReadRecord {});
        if (!isLeaseValid(node.ledger, now))
            queryRandomPeer(node, random, actions);
    }

    void receiveRenewResponse(ShareNode& node, const SentRenewal& renewal, const RenewResponse& renewResponse, Time now)
    {
        if (renewResponse.newerRecord)
            updateNewestRecord(node, *renewResponse.newerRecord);
        if (renewResponse.granted && renewal.epoch == node.ledger.epoch.epoch && !node.ledger.frozen)
            recordGrant(node.ledger, renewal.grantor, renewal.sentAt);
        joinNewestEpoch(node, now);
    }

}

ShareNode makeShareNode(const Process& self, const ShareOptions& options)
{
    ShareNode node;
    node.ledger.self = self;
    node.ledger.options = options;
    node.grantor.self = self;
    node.coordinator.self = self;
    node.coordinator.options = options;
    return node;
}

void tickNode(ShareNode& node, Time now, Random& random, Actions& actions)
{
    expireDeferred(node.ledger, now, actions);
    joinNewestEpoch(node, now);
    if (isRenewalDue(node, now))
        sendRenewals(node, now, actions);
    if (now >= node.nextRead)
        requestRecord(node, now, random, actions);
    if (now >= node.nextRebalance) {
        node.nextRebalance = now + rebalanceInterval;
        rebalance(node.ledger, now, actions);
    }
    for (const auto& [id, holding] : node.ledger.holdings)
        requestShare(node.ledger, id, now, actions);
    const auto view = makeView(node, now);
    if (isReallocationDue(node.coordinator, view))
        beginReallocation(node.coordinator, view, node.ledger.nextRequestId, actions);
    const auto phase = node.coordinator.phase;
    continueReallocation(node.coordinator, view, node.ledger, actions);
    if (phase != node.coordinator.phase && node.coordinator.storedRecord)
        updateNewestRecord(node, *node.coordinator.storedRecord);
}

void receiveRequest(ShareNode& node, std::uint64_t ticket, const Request& request, Time now, Actions& actions)
{
    std::visit(
        [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, LearnRequest>)
                actions.emplace_back(SendReply { ticket, LearnResponse { .self = node.ledger.self, .record = node.grantor.newestRecord } });
            else if constexpr (std::is_same_v<Body, RenewRequest>)
                actions.emplace_back(SendReply { ticket, renewLease(node.grantor, body) });
            else if constexpr (std::is_same_v<Body, CloseRequest>)
                actions.emplace_back(SendReply { ticket, closeEpochs(node.grantor, body) });
            else if constexpr (std::is_same_v<Body, MoveRequest>)
                actions.emplace_back(SendReply { ticket, freezeForMove(node.ledger, body, now, actions) });
            else if constexpr (std::is_same_v<Body, OpenRequest>) {
                updateNewestRecord(node, body.record);
                enterEpoch(node.ledger, body);
                node.nextRenewal = now;
                actions.emplace_back(SendReply { ticket, OpenResponse {} });
            } else
                receiveTakeRequest(node.ledger, ticket, body, now, actions);
        },
        request);
}

void receiveResponse(ShareNode& node, std::uint64_t id, const std::optional<Response>& response, Time now, Actions& actions)
{
    const auto view = makeView(node, now);
    if (receiveCoordinatorResponse(node.coordinator, id, response, view, node.ledger.nextRequestId, actions)) {
        continueReallocation(node.coordinator, view, node.ledger, actions);
        return;
    }
    if (node.learnRequestIds.erase(id) != 0) {
        const auto* learnResponse = response ? std::get_if<LearnResponse>(&*response) : nullptr;
        if (learnResponse && learnResponse->record)
            updateNewestRecord(node, *learnResponse->record);
        joinNewestEpoch(node, now);
        return;
    }
    const auto renewal = node.renewals.find(id);
    if (renewal != node.renewals.end()) {
        const auto sent = renewal->second;
        node.renewals.erase(renewal);
        if (const auto* renewResponse = response ? std::get_if<RenewResponse>(&*response) : nullptr)
            receiveRenewResponse(node, sent, *renewResponse, now);
        return;
    }
    const auto* takeResponse = response ? std::get_if<TakeResponse>(&*response) : nullptr;
    receiveTakeResponse(node.ledger, id, takeResponse ? std::optional(*takeResponse) : std::nullopt, now, actions);
}

void receiveRow(ShareNode& node, std::uint64_t version, const std::optional<EpochRecord>& record, Time startedAt, Time now)
{
    receiveRecord(node.coordinator, version, record);
    if (!record)
        return;
    updateNewestRecord(node, *record);
    if (record->current.epoch == node.ledger.epoch.epoch && !node.ledger.frozen)
        recordStoreConfirmation(node.ledger, startedAt);
    joinNewestEpoch(node, now);
}

void receiveVms(ShareNode& node, std::set<std::string> vms)
{
    node.coordinator.listedVms = std::move(vms);
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

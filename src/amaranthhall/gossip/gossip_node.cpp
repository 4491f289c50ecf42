#include "amaranthhall/gossip/gossip_node.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration gossipInterval = 200ms; // reports reach 2,300 daemons in five rounds, about one second
    constexpr Duration discoveryInterval = 40ms;
    constexpr std::size_t fanOut = 5;
    constexpr std::size_t largeFleetFanOut = 3;
    constexpr Duration audienceInterval = 400ms; // shorter than the time for which evidence of a leader counts as recent
    constexpr unsigned roundsPerHeartbeat = 2; // an audience receives a digest in every second of its rounds even if nothing has changed
    constexpr unsigned sendersPerRound = 4; // senders that report on a service to a daemon in the same round
    constexpr std::size_t minimumSendersForPause = 7; // with as many, a home hears from two of them in each round although those of other zones send half as often
    constexpr std::size_t minimumActivityAges = 16; // per datagram
    constexpr std::size_t mediumFleetActivityAges = 8; // four datagrams in five go to the own zone, so a daemon hears of each peer several times a second
    constexpr std::size_t maximumActivityAges = 64; // per datagram; each takes about 8 bytes
    constexpr std::size_t peersPerActivityAge = 4; // one in four peers is reported per datagram, so that activity of each peer is received about four times a second
    constexpr std::size_t maximumPlainPeers = 10'000;
    constexpr std::size_t maximumPeersInReply = 30; // addresses per reply

}

GossipNode::GossipNode(kernel::Loop& usedLoop, Options usedOptions, Callbacks usedCallbacks, telemetry::ZoneTraffic& usedTraffic)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , callbacks(std::move(usedCallbacks))
    , traffic(usedTraffic)
    , random(this->options.seed)
    , socket(usedLoop, this->options.profile.address, [this](auto bytes) { this->receive(bytes); })
    , timer(usedLoop.every(gossipInterval, [this] { this->sendRound(this->registry.size() > PeerRegistry::largeFleetSize ? largeFleetFanOut : fanOut); }))
    , audienceTimer(usedLoop.every(audienceInterval, [this] { this->sendToAudiences(false); }))
{
}

Digest GossipNode::makeDigest()
{
    Digest digest { .vm = this->options.vm, .profile = this->options.profile };
    this->callbacks.fill(digest);
    return digest;
}

/// Adds the activity ages of other daemons, unless the fleet is so small that each of them sends enough datagrams directly.
void GossipNode::addActivityAges(Digest& digest)
{
    if (this->registry.size() <= PeerRegistry::zonedFleetSize)
        return;
    const bool isLarge = this->registry.size() > PeerRegistry::largeFleetSize;
    const auto count = std::clamp(this->registry.size() / peersPerActivityAge, isLarge ? minimumActivityAges : mediumFleetActivityAges, maximumActivityAges);
    for (const auto& [shortId, age] : this->registry.sampleActivityAges(count, this->loop.now(), this->random))
        digest.activityAges.push_back({ .shortId = shortId, .age = std::chrono::ceil<std::chrono::milliseconds>(age) });
}

void GossipNode::send(std::span<const kernel::Address> targets, const Digest& digest)
{
    std::map<WireFormat, std::string> encoded;
    for (const auto& target : targets) {
        if (target == this->options.profile.address)
            continue;
        const auto format = this->formatOf(target);
        auto& bytes = encoded[format];
        if (bytes.empty())
            bytes = encodeDigest(digest, format);
        this->traffic.bytesOfHost(telemetry::TrafficKind::Gossip, target.host).sent += bytes.size();
        this->socket.send(target, bytes);
    }
}

/// Remembers which daemons are of a build that reads another format; a VM may be replaced by one of a later build.
void GossipNode::noteFormat(const Digest& digest)
{
    if (digest.format != WireFormat::PlainVersions)
        this->plainPeers.erase(digest.profile.address);
    else if (this->plainPeers.size() < maximumPlainPeers)
        this->plainPeers.insert(digest.profile.address);
}

void GossipNode::sendRound(std::size_t count)
{
    this->registry.removeInactive(this->loop.now());
    auto targets = this->registry.samplePeers(count, this->options.profile.zone, this->random);
    auto digest = this->makeDigest();
    if (targets.sameZone.empty() && targets.otherZones.empty()) {
        targets.sameZone = this->options.seeds;
        digest.requestsPeers = true;
    }
    this->excludeAudienceLeaders(digest);
    // In a medium-sized fleet each zone hears directly from every daemon several times a second, so ages do not have to cross.
    const bool isLarge = this->registry.size() > PeerRegistry::largeFleetSize;
    if (!isLarge)
        this->send(targets.otherZones, digest);
    this->addActivityAges(digest);
    this->send(targets.sameZone, digest);
    if (isLarge)
        this->send(targets.otherZones, digest);
}

/// Removes leader reports that are sent to their audiences separately; other daemons cannot use them.
void GossipNode::excludeAudienceLeaders(Digest& digest) const
{
    for (const auto& audience : this->callbacks.audiences())
        std::erase_if(digest.leaders, [&](const auto& report) { return std::binary_search(audience.services.begin(), audience.services.end(), report.service); });
}

void GossipNode::startDiscovery()
{
    const auto requestPeers = [this] {
        auto digest = this->makeDigest();
        digest.requestsPeers = true;
        this->send(this->options.seeds, digest);
    };
    requestPeers();
    this->discoveryTimer = this->loop.every(discoveryInterval, requestPeers);
}

/// Sends each audience the reports of its services only. Urgent digests are sent to all audiences, others when they are due.
void GossipNode::sendToAudiences(bool isUrgent)
{
    if (this->callbacks.audiences().empty())
        return;
    ++this->audienceRound;
    const auto digest = this->makeDigest();
    std::vector<kernel::Address> targets;
    std::vector<const Audience*> sentAudiences;
    for (const auto& audience : this->callbacks.audiences()) {
        const auto filtered = filterServices(digest, audience.services);
        if (!isUrgent && !this->isDue(audience, filtered))
            continue;
        targets.clear();
        for (const auto& peer : audience.peers) {
            if (const auto address = this->registry.addressOf(peer))
                targets.push_back(*address);
        }
        this->send(targets, filtered);
        sentAudiences.push_back(&audience);
    }
    for (const auto* audience : sentAudiences)
        this->recordSent(filterServices(digest, audience->services));
}

unsigned GossipNode::roundsPerSend(const Audience& audience) noexcept
{
    const auto rounds = 1 + static_cast<unsigned>(audience.senders - 1) / sendersPerRound;
    return audience.isOtherZone && audience.senders >= minimumSendersForPause ? rounds * 2 : rounds;
}

bool GossipNode::isDue(const Audience& audience, const Digest& filtered) const
{
    const auto rounds = roundsPerSend(audience);
    if (this->audienceRound % rounds != 0)
        return false;
    return this->audienceRound % (rounds * roundsPerHeartbeat) == 0 || this->hasUnsentReports(filtered);
}

bool GossipNode::hasUnsentReports(const Digest& digest) const
{
    const auto isFresh = [this](const LeaderReport& report) {
        const auto found = this->lastSentEvidence.find(report.service);
        return found == this->lastSentEvidence.end() || found->second < report.at;
    };
    return !digest.suspicions.empty() || !digest.orders.empty() || std::any_of(digest.leaders.begin(), digest.leaders.end(), isFresh);
}

void GossipNode::recordSent(const Digest& digest)
{
    for (const auto& report : digest.leaders)
        this->lastSentEvidence[report.service] = report.at;
}

void GossipNode::sendUrgently()
{
    if (this->urgentTimer)
        return;
    this->urgentTimer = this->loop.after(Duration::zero(), [this] {
        this->urgentTimer.reset();
        this->sendRound(urgentFanOut);
        this->sendToAudiences(true);
    });
}

void GossipNode::receive(std::string_view bytes)
{
    if (this->callbacks.otherDatagram(bytes))
        return;
    const auto digest = decodeDigest(bytes);
    if (!digest) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "gossip.malformed", { { "bytes", bytes.size() } });
        return;
    }
    if (digest->vm == this->options.vm)
        return;
    const auto now = this->loop.now();
    this->noteFormat(*digest);
    this->traffic.noteHost(digest->profile.address.host, digest->profile.zone);
    this->registry.noteActivity(digest->vm, digest->profile, now);
    for (const auto& entry : digest->activityAges)
        this->registry.noteIndirectActivity(entry.shortId, now - entry.age);
    if (digest->requestsPeers) {
        auto answer = this->makeDigest();
        this->addActivityAges(answer);
        auto sampled = this->registry.samplePeers(maximumPeersInReply, digest->profile.zone, this->random);
        answer.peers = std::move(sampled.sameZone);
        answer.peers.insert(answer.peers.end(), sampled.otherZones.begin(), sampled.otherZones.end());
        this->send({ &digest->profile.address, 1 }, answer);
    }
    if (!digest->peers.empty())
        this->send(digest->peers, this->makeDigest());
    this->callbacks.received(*digest);
}

}

#include "amaranthhall/gossip/gossip_node.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration interval = 200ms; // news reach 2,300 daemons in five rounds, about a second
    constexpr Duration seekInterval = 40ms;
    constexpr std::size_t fanOut = 5;
    constexpr std::size_t largeFanOut = 3;
    constexpr Duration audienceInterval = 400ms; // within the time for which evidence of a leader counts as recent
    constexpr unsigned heartbeatRounds = 2; // an audience is told every second of its rounds, also without news
    constexpr unsigned tellersOfARound = 4; // so many of those who tell a daemon of a service do so in each round
    constexpr std::size_t urgentFanOut = 40;
    constexpr std::size_t fewestAges = 16; // in one datagram
    constexpr std::size_t mostAges = 64; // about 8 bytes each
    constexpr std::size_t agesPart = 4; // one in so many peers is told, so that a peer is heard of about four times a second
    constexpr std::size_t mostPeersTold = 30; // addresses in one answer

}

GossipNode::GossipNode(kernel::Loop& usedLoop, Options usedOptions, Callbacks usedCallbacks)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , callbacks(std::move(usedCallbacks))
    , random(this->options.seed)
    , socket(usedLoop, this->options.profile.address, [this](auto bytes) { this->receive(bytes); })
    , timer(usedLoop.every(interval, [this] { this->tell(this->book.size() > PeerBook::largeSize ? largeFanOut : fanOut); }))
    , audienceTimer(usedLoop.every(audienceInterval, [this] { this->tellAudiences(false); }))
{
}

Digest GossipNode::makeDigest()
{
    Digest digest { .vm = this->options.vm, .profile = this->options.profile };
    this->callbacks.fill(digest);
    return digest;
}

/// Adds how long ago other daemons were heard of, where too few datagrams come from each of them.
void GossipNode::addAges(Digest& digest)
{
    if (this->book.size() <= PeerBook::largeSize)
        return;
    const auto count = std::clamp(this->book.size() / agesPart, fewestAges, mostAges);
    for (const auto& [vm, age] : this->book.drawAges(count, this->loop.now(), this->random))
        digest.ages.push_back({ .vm = vm, .age = std::chrono::ceil<std::chrono::milliseconds>(age) });
}

void GossipNode::send(std::span<const kernel::Address> targets, const Digest& digest)
{
    if (targets.empty())
        return;
    const auto bytes = encodeDigest(digest);
    for (const auto& target : targets) {
        if (target != this->options.profile.address)
            this->socket.send(target, bytes);
    }
}

void GossipNode::tell(std::size_t count)
{
    this->book.forgetSilent(this->loop.now());
    auto targets = this->book.draw(count, this->options.profile.zone, this->random);
    auto digest = this->makeDigest();
    if (targets.empty()) {
        targets = this->options.seeds;
        digest.wantsPeers = true;
    }
    this->addAges(digest);
    this->leaveOutAudiences(digest);
    this->send(targets, digest);
}

/// Leaves out evidence of leaders that is told to those who can use it anyway.
void GossipNode::leaveOutAudiences(Digest& digest) const
{
    for (const auto& audience : this->callbacks.audiences())
        std::erase_if(digest.leaders, [&](const auto& news) { return std::binary_search(audience.services.begin(), audience.services.end(), news.service); });
}

void GossipNode::seek()
{
    const auto ask = [this] {
        auto digest = this->makeDigest();
        digest.wantsPeers = true;
        this->send(this->options.seeds, digest);
    };
    ask();
    this->seekTimer = this->loop.every(seekInterval, ask);
}

/// Tells the other daemons that hold links to the same services of these services, and of these only.
void GossipNode::tellAudiences(bool isUrgent)
{
    if (this->callbacks.audiences().empty())
        return;
    ++this->audienceRound;
    const auto digest = this->makeDigest();
    std::vector<kernel::Address> targets;
    std::vector<const Audience*> told;
    for (const auto& audience : this->callbacks.audiences()) {
        const auto restricted = restrictTo(digest, audience.services);
        if (!isUrgent && !this->isDue(audience, restricted))
            continue;
        targets.clear();
        for (const auto& peer : audience.peers) {
            if (const auto address = this->book.addressOf(peer))
                targets.push_back(*address);
        }
        this->send(targets, restricted);
        told.push_back(&audience);
    }
    for (const auto* audience : told)
        this->noteTold(restrictTo(digest, audience->services));
}

unsigned GossipNode::roundsBetween(const Audience& audience) noexcept
{
    return 1 + static_cast<unsigned>(audience.tellers - 1) / tellersOfARound;
}

bool GossipNode::isDue(const Audience& audience, const Digest& restricted) const
{
    const auto rounds = roundsBetween(audience);
    if (this->audienceRound % rounds != 0)
        return false;
    return this->audienceRound % (rounds * heartbeatRounds) == 0 || this->isNews(restricted);
}

bool GossipNode::isNews(const Digest& digest) const
{
    const auto isFresh = [this](const LeaderNews& news) {
        const auto found = this->toldAt.find(news.service);
        return found == this->toldAt.end() || found->second < news.at;
    };
    return !digest.suspicions.empty() || !digest.orders.empty() || std::any_of(digest.leaders.begin(), digest.leaders.end(), isFresh);
}

void GossipNode::noteTold(const Digest& digest)
{
    for (const auto& news : digest.leaders)
        this->toldAt[news.service] = news.at;
}

void GossipNode::tellUrgently()
{
    if (this->urgentTimer)
        return;
    this->urgentTimer = this->loop.after(Duration::zero(), [this] {
        this->urgentTimer.reset();
        this->tell(urgentFanOut);
        this->tellAudiences(true);
    });
}

void GossipNode::receive(std::string_view bytes)
{
    const auto digest = decodeDigest(bytes);
    if (!digest) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "gossip.malformed", { { "bytes", bytes.size() } });
        return;
    }
    if (digest->vm == this->options.vm)
        return;
    const auto now = this->loop.now();
    this->book.noteHeard(digest->vm, digest->profile, now);
    for (const auto& news : digest->ages)
        this->book.noteHeardOf(news.vm, now - news.age);
    if (digest->wantsPeers) {
        auto answer = this->makeDigest();
        this->addAges(answer);
        answer.peers = this->book.draw(mostPeersTold, digest->profile.zone, this->random);
        this->socket.send(digest->profile.address, encodeDigest(answer));
    }
    for (const auto& address : digest->peers) {
        if (address == this->options.profile.address)
            continue;
        const auto hello = this->makeDigest();
        this->socket.send(address, encodeDigest(hello));
    }
    this->callbacks.received(*digest);
}

}

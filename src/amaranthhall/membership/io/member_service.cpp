#include "amaranthhall/membership/io/member_service.hpp"

#include "amaranthhall/membership/holders.hpp"
#include "amaranthhall/membership/member_json.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <array>

namespace amaranthhall::membership {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view probeMethod = "members.probe";
    constexpr std::string_view relayMethod = "members.relay";
    constexpr std::string_view changesField = "c";
    constexpr std::string_view digestField = "d";
    constexpr std::string_view targetField = "t";
    constexpr std::string_view listRole = "poll/vms";
    constexpr std::size_t listReaders = 3; // daemons that read the platform's list for all
    constexpr auto probeTimeout = 250ms;
    constexpr auto relayTimeout = 600ms; // longer than the helper's own probe
    constexpr auto listInterval = 1000ms; // longer misses the bound of 5 s for leaving VMs
    constexpr auto listFallback = 30s; // every daemon reads the list this often, in case the readers are cut off

    std::uint64_t readWallClock()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    std::optional<std::uint64_t> readDigest(const peer::Json& message)
    {
        const auto found = message.find(digestField);
        if (found == message.end() || !found->is_number_unsigned())
            return std::nullopt;
        return found->get<std::uint64_t>();
    }

    std::vector<Member> readChanges(const peer::Json& message)
    {
        const auto found = message.find(changesField);
        return found == message.end() ? std::vector<Member> {} : decodeMembers(*found);
    }

    ListedVm toListed(const platform::VmEntry& entry)
    {
        return { .member = { .id = entry.id, .region = entry.region, .zone = entry.zone, .peer = entry.peer, .admin = entry.admin }, .leaving = entry.leaving };
    }

}

/// A probe by helpers: the target is suspected once each of them has failed.
struct MemberService::IndirectProbe {
    Member target;
    std::size_t open { 0 };
    bool answered { false };
};

MemberService::MemberService(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, MemberOptions usedOptions)
    : loop(usedLoop)
    , registry(usedRegistry)
    , options(std::move(usedOptions))
    , random(std::random_device {}())
    , running(std::make_shared<bool>(false))
{
    this->detector.options = this->options.detector;
    this->detector.self = { .id = this->options.vm.id, .incarnation = readWallClock(), .region = this->options.vm.region, .zone = this->options.vm.zone, .admin = this->options.admin };
    this->listed = listMembers(this->detector);
}

void MemberService::start()
{
    this->peers = &this->registry.find<peer::PeerNetwork>("peers");
    this->platform = &this->registry.find<platform::Platform>("platform");
    this->metrics = &this->registry.find<telemetry::Metrics>("metrics");
    this->detector.self.peer = this->peers->listenAddress();
    this->detector.lastTick = this->loop.now();
    *this->running = true;
    this->peers->serve(std::string(probeMethod), [this](const auto& parameters, const auto& reply) { reply(this->answerProbe(parameters)); });
    this->peers->serve(std::string(relayMethod), [this](const auto& parameters, const auto& reply) { this->relay(parameters, reply); });
    this->probeTimer = this->loop.every(this->options.detector.probeInterval, [this] { this->probe(); });
    this->publish();
    this->readList();
    this->scheduleList();
}

void MemberService::drain(std::function<void()> done)
{
    leave(this->detector);
    this->publish();
    // The next probe tells one peer, and each of these tells others.
    this->probe();
    done();
}

void MemberService::stop()
{
    *this->running = false;
    this->probeTimer.reset();
    this->listTimer.reset();
}

peer::Json MemberService::writeGossip(const Gossip& gossip) const
{
    return { { changesField, encodeMembers(gossip.changes) }, { digestField, gossip.digest } };
}

void MemberService::readGossip(const peer::Json& message)
{
    merge(this->detector, readChanges(message), this->loop.now());
    this->publish();
}

peer::Json MemberService::answerProbe(const peer::Json& parameters)
{
    this->readGossip(parameters);
    const auto changes = readChanges(parameters);
    const auto sender = changes.empty() ? std::string() : changes.front().id;
    return this->writeGossip(collectGossip(this->detector, sender, readDigest(parameters)));
}

void MemberService::probe()
{
    expire(this->detector, this->loop.now());
    this->publish();
    const auto target = chooseProbe(this->detector, this->loop.now(), this->random);
    if (!target)
        return;
    const auto gossip = this->writeGossip(collectGossip(this->detector, target->id, std::nullopt));
    this->peers->call(target->peer, probeMethod, gossip, probeTimeout, [this, alive = this->running, target = *target](const peer::PeerResult& result) {
        if (!*alive)
            return;
        if (result)
            this->readGossip(*result);
        else if (target.state != MemberState::Dead)
            this->probeIndirectly(target);
    });
}

void MemberService::probeIndirectly(const Member& target)
{
    const auto helpers = chooseHelpers(this->detector, target.id, this->random);
    auto indirect = std::make_shared<IndirectProbe>(IndirectProbe { .target = target, .open = helpers.size() });
    if (helpers.empty()) {
        indirect->open = 1;
        this->endIndirectProbe(indirect, false);
    }
    for (const auto& helper : helpers) {
        this->peers->call(helper.peer, relayMethod, { { targetField, kernel::formatAddress(target.peer) } }, relayTimeout, [this, alive = this->running, indirect](const peer::PeerResult& result) {
            if (*alive)
                this->endIndirectProbe(indirect, result.has_value());
        });
    }
}

void MemberService::endIndirectProbe(const std::shared_ptr<IndirectProbe>& indirect, bool answered)
{
    indirect->answered = indirect->answered || answered;
    if (--indirect->open > 0 || indirect->answered)
        return;
    const auto found = this->detector.entries.find(indirect->target.id);
    if (found == this->detector.entries.end() || found->second.member.incarnation != indirect->target.incarnation)
        return;
    suspect(this->detector, indirect->target.id, this->loop.now());
    telemetry::logEvent(telemetry::LogLevel::Info, "member.suspected", { { "vm", indirect->target.id } });
    this->publish();
}

void MemberService::relay(const peer::Json& parameters, const peer::PeerNetwork::Reply& reply)
{
    const auto field = parameters.find(targetField);
    const auto target = field != parameters.end() && field->is_string() ? kernel::parseAddress(field->get<std::string>()) : std::nullopt;
    if (!target) {
        reply(tl::unexpected(peer::PeerError { .message = "no target" }));
        return;
    }
    const auto gossip = this->writeGossip(collectGossip(this->detector, {}, std::nullopt));
    this->peers->call(*target, probeMethod, gossip, probeTimeout, [this, alive = this->running, reply](const peer::PeerResult& result) {
        if (result && *alive)
            this->readGossip(*result);
        if (result)
            reply(peer::Json::object());
        else
            reply(tl::unexpected(peer::PeerError { .message = "the target is silent" }));
    });
}

void MemberService::scheduleList()
{
    const auto jitter = std::uniform_int_distribution<int>(80, 120)(this->random);
    this->listTimer = this->loop.after(listInterval * jitter / 100, [this] {
        if (this->mayList())
            this->readList();
        this->scheduleList();
    });
}

bool MemberService::mayList() const
{
    if (this->loop.now() - this->lastList >= listFallback)
        return true;
    const auto readers = chooseHolders(this->listed, listRole, listReaders);
    return readers.size() < listReaders || std::any_of(readers.begin(), readers.end(), [this](const auto* reader) { return reader->id == this->self().id; });
}

void MemberService::readList()
{
    this->lastList = this->loop.now();
    this->platform->listVms([this, alive = this->running](const platform::PlatformResult<std::vector<platform::VmEntry>>& result) {
        if (!*alive || !result)
            return;
        std::vector<ListedVm> vms;
        for (const auto& entry : *result) {
            if (entry.id == this->self().id)
                this->peers->addOwnAddress(entry.peer);
            vms.push_back(toListed(entry));
        }
        mergeList(this->detector, vms, this->loop.now());
        this->publish();
    });
}

void MemberService::publish()
{
    if (this->published == this->detector.changes)
        return;
    this->published = this->detector.changes;
    this->listed = listMembers(this->detector);
    std::array<int, 4> counts {};
    for (const auto& member : this->listed)
        ++counts.at(static_cast<std::size_t>(member.state));
    for (std::size_t i = 0; i < counts.size(); ++i)
        this->metrics->gauge("amaranthhall_members", "Daemons as this one knows them", { { "state", nameState(static_cast<MemberState>(i)) } }).Set(counts.at(i));
    this->observers.notify();
}

}

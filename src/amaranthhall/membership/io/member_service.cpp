#include "amaranthhall/membership/io/member_service.hpp"

#include "amaranthhall/membership/member_json.hpp"
#include "amaranthhall/membership/role_holders.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <array>

namespace amaranthhall::membership {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view probeMethod = "members.probe";
    constexpr std::string_view relayMethod = "members.relay";
    constexpr std::string_view updatesField = "c";
    constexpr std::string_view digestField = "d";
    constexpr std::string_view targetField = "t";
    constexpr std::string_view vmListReaderRole = "poll/vms";
    constexpr std::size_t vmListReaderCount = 3; // daemons that poll the platform's list on behalf of all
    constexpr auto probeTimeout = 250ms;
    constexpr auto relayTimeout = 600ms; // exceeds the probeTimeout of the indirect prober
    constexpr auto vmListInterval = 1000ms; // a longer interval misses the limit of 5 s for detecting leaving VMs
    constexpr auto vmListFallbackInterval = 30s; // every daemon polls at this interval, in case the readers are partitioned

    std::uint64_t wallClockMilliseconds()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    std::optional<std::uint64_t> decodeDigest(const peer::Json& message)
    {
        const auto found = message.find(digestField);
        if (found == message.end() || !found->is_number_unsigned())
            return std::nullopt;
        return found->get<std::uint64_t>();
    }

    std::vector<Member> decodeUpdates(const peer::Json& message)
    {
        const auto found = message.find(updatesField);
        return found == message.end() ? std::vector<Member> {} : decodeMembers(*found);
    }

    ListedVm toListedVm(const platform::VmEntry& entry)
    {
        return { .member = { .id = entry.id, .region = entry.region, .zone = entry.zone, .peer = entry.peer, .admin = entry.admin }, .leaving = entry.leaving };
    }

}

/// An indirect probe: the target is suspected once the probes of all indirect probers have failed.
struct MemberService::IndirectProbe {
    Member target;
    std::size_t outstanding { 0 };
    bool hasAnswered { false };
};

MemberService::MemberService(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, MemberOptions usedOptions)
    : loop(usedLoop)
    , registry(usedRegistry)
    , options(std::move(usedOptions))
    , random(std::random_device {}())
    , running(std::make_shared<bool>(false))
{
    this->detector.options = this->options.detector;
    this->detector.self = { .id = this->options.vm.id, .incarnation = wallClockMilliseconds(), .region = this->options.vm.region, .zone = this->options.vm.zone, .admin = this->options.admin };
    this->knownMembers = listMembers(this->detector);
}

void MemberService::start()
{
    this->peers = &this->registry.find<peer::PeerNetwork>("peers");
    this->platform = &this->registry.find<platform::Platform>("platform");
    this->metrics = &this->registry.find<telemetry::Metrics>("metrics");
    this->detector.self.peer = this->peers->listenAddress();
    this->detector.lastTick = this->loop.now();
    *this->running = true;
    this->peers->serve(std::string(probeMethod), [this](const auto& parameters, const auto& reply) { reply(this->handleProbe(parameters)); });
    this->peers->serve(std::string(relayMethod), [this](const auto& parameters, const auto& reply) { this->relayProbe(parameters, reply); });
    this->probeTimer = this->loop.every(this->options.detector.probeInterval, [this] { this->probe(); });
    this->publishChanges();
    this->readVmList();
    this->scheduleVmListRead();
}

void MemberService::drain(std::function<void()> done)
{
    leave(this->detector);
    this->publishChanges();
    // Gossip spreads the leaving state: this probe carries it to one peer, which forwards it.
    this->probe();
    done();
}

void MemberService::stop()
{
    *this->running = false;
    this->probeTimer.reset();
    this->vmListTimer.reset();
}

peer::Json MemberService::encodeGossip(const Gossip& gossip) const
{
    return { { updatesField, encodeMembers(gossip.updates) }, { digestField, gossip.digest } };
}

void MemberService::mergeGossip(const peer::Json& message)
{
    merge(this->detector, decodeUpdates(message), this->loop.now());
    this->publishChanges();
}

peer::Json MemberService::handleProbe(const peer::Json& parameters)
{
    this->mergeGossip(parameters);
    const auto updates = decodeUpdates(parameters);
    const auto sender = updates.empty() ? std::string() : updates.front().id;
    return this->encodeGossip(collectGossip(this->detector, sender, decodeDigest(parameters)));
}

void MemberService::probe()
{
    expire(this->detector, this->loop.now());
    this->publishChanges();
    const auto target = chooseProbe(this->detector, this->loop.now(), this->random);
    if (!target)
        return;
    const auto gossip = this->encodeGossip(collectGossip(this->detector, target->id, std::nullopt));
    this->peers->call(target->peer, probeMethod, gossip, probeTimeout, [this, alive = this->running, target = *target](const peer::PeerResult& result) {
        if (!*alive)
            return;
        if (result)
            this->mergeGossip(*result);
        else if (target.state != MemberState::Dead)
            this->probeIndirectly(target);
    });
}

void MemberService::probeIndirectly(const Member& target)
{
    const auto probers = chooseIndirectProbers(this->detector, target.id, this->random);
    auto indirect = std::make_shared<IndirectProbe>(IndirectProbe { .target = target, .outstanding = probers.size() });
    if (probers.empty()) {
        indirect->outstanding = 1;
        this->finishIndirectProbe(indirect, false);
    }
    for (const auto& prober : probers) {
        this->peers->call(prober.peer, relayMethod, { { targetField, kernel::formatAddress(target.peer) } }, relayTimeout, [this, alive = this->running, indirect](const peer::PeerResult& result) {
            if (*alive)
                this->finishIndirectProbe(indirect, result.has_value());
        });
    }
}

void MemberService::finishIndirectProbe(const std::shared_ptr<IndirectProbe>& indirect, bool hasAnswered)
{
    indirect->hasAnswered = indirect->hasAnswered || hasAnswered;
    if (--indirect->outstanding > 0 || indirect->hasAnswered)
        return;
    const auto found = this->detector.entries.find(indirect->target.id);
    if (found == this->detector.entries.end() || found->second.member.incarnation != indirect->target.incarnation)
        return;
    suspect(this->detector, indirect->target.id, this->loop.now());
    telemetry::logEvent(telemetry::LogLevel::Info, "member.suspected", { { "vm", indirect->target.id } });
    this->publishChanges();
}

void MemberService::relayProbe(const peer::Json& parameters, const peer::PeerNetwork::Reply& reply)
{
    const auto field = parameters.find(targetField);
    const auto target = field != parameters.end() && field->is_string() ? kernel::parseAddress(field->get<std::string>()) : std::nullopt;
    if (!target) {
        reply(tl::unexpected(peer::PeerError { .message = "no target" }));
        return;
    }
    const auto gossip = this->encodeGossip(collectGossip(this->detector, {}, std::nullopt));
    this->peers->call(*target, probeMethod, gossip, probeTimeout, [this, alive = this->running, reply](const peer::PeerResult& result) {
        if (result && *alive)
            this->mergeGossip(*result);
        if (result)
            reply(peer::Json::object());
        else
            reply(tl::unexpected(peer::PeerError { .message = "the target is silent" }));
    });
}

void MemberService::scheduleVmListRead()
{
    const auto jitter = std::uniform_int_distribution<int>(80, 120)(this->random);
    this->vmListTimer = this->loop.after(vmListInterval * jitter / 100, [this] {
        if (this->shouldReadVmList())
            this->readVmList();
        this->scheduleVmListRead();
    });
}

bool MemberService::shouldReadVmList() const
{
    if (this->loop.now() - this->lastVmListRead >= vmListFallbackInterval)
        return true;
    const auto readers = chooseRoleHolders(this->knownMembers, vmListReaderRole, vmListReaderCount);
    return readers.size() < vmListReaderCount || std::any_of(readers.begin(), readers.end(), [this](const auto* reader) { return reader->id == this->self().id; });
}

void MemberService::readVmList()
{
    this->lastVmListRead = this->loop.now();
    this->platform->listVms([this, alive = this->running](const platform::PlatformResult<std::vector<platform::VmEntry>>& result) {
        if (!*alive || !result)
            return;
        std::vector<ListedVm> vms;
        for (const auto& entry : *result) {
            if (entry.id == this->self().id)
                this->peers->addOwnAddress(entry.peer);
            vms.push_back(toListedVm(entry));
        }
        mergeVmList(this->detector, vms, this->loop.now());
        this->publishChanges();
    });
}

void MemberService::publishChanges()
{
    if (this->publishedEpoch == this->detector.changeCount)
        return;
    this->publishedEpoch = this->detector.changeCount;
    this->knownMembers = listMembers(this->detector);
    std::array<int, 4> counts {};
    for (const auto& member : this->knownMembers)
        ++counts.at(static_cast<std::size_t>(member.state));
    for (std::size_t i = 0; i < counts.size(); ++i)
        this->metrics->gauge("amaranthhall_members", "Daemons as this one knows them", { { "state", stateName(static_cast<MemberState>(i)) } }).Set(counts.at(i));
    this->observers.notify();
}

}

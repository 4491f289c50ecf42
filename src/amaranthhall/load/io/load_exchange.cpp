#include "amaranthhall/load/io/load_exchange.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::load {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration logInterval = 10s; // of one upstream

    std::uint32_t millisecondsOf(Time now)
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count());
    }

}

LoadExchange::LoadExchange(Parts usedParts, Options usedOptions, telemetry::Metrics& metrics)
    : parts(usedParts)
    , options(std::move(usedOptions))
    , sentReports(metrics.counter("amaranthhall_load_reports_total", "Datagrams about the load of upstreams", { { "direction", "sent" } }))
    , sentBytes(metrics.counter("amaranthhall_load_report_bytes_total", "Bytes of the datagrams about the load of upstreams that were sent"))
    , receivedReports(metrics.counter("amaranthhall_load_reports_total", "Datagrams about the load of upstreams", { { "direction", "received" } }))
    , outdatedReports(metrics.counter("amaranthhall_load_reports_outdated_total", "Datagrams about the load of upstreams that came after a later one, or too late to count"))
    , lagRefusals(metrics.counter("amaranthhall_upstream_refusals_total", "Statements that upstreams refused", { { "code", "lagging" } }))
    , replicaProbes(metrics.counter("amaranthhall_replica_probes_total", "Lagging replicas that were asked for their position"))
    , overloadRefusals(metrics.counter("amaranthhall_upstream_refusals_total", "Statements that upstreams refused", { { "code", "busy" } }))
    , timer(usedParts.loop.every(ReportPolicy::roundInterval, [this] { this->sendRound(); }))
{
}

void LoadExchange::sendRound()
{
    const bool isFarRound = ++this->round % ReportPolicy::roundsPerFarReport == 0;
    EntriesByPeer entries;
    this->upstreamsByKey.clear();
    for (const auto& service : this->parts.homes.localServices())
        this->collect(service, isFarRound, entries);
    std::erase_if(this->reported, [this](const auto& item) { return !this->parts.dispatcher.pool(item.first); });
    for (auto& [vm, list] : entries) {
        const auto peer = this->parts.peers.all().find(vm);
        if (peer == this->parts.peers.all().end() || peer->second.profile.relayVersion < gossip::loadReportVersion)
            continue;
        const LoadReport report { .sender = hashing::shortId(this->options.vm), .sentAt = millisecondsOf(this->parts.loop.now()), .entries = std::move(list) };
        const auto bytes = encodeReport(report);
        this->options.send(peer->second.profile.address, bytes);
        this->sentReports.Increment();
        this->sentBytes.Increment(static_cast<double>(bytes.size()));
    }
    this->updateMetrics();
}

/// Adds the reports about the upstreams of a service to those for its other homes: for homes in the own zone in each round, for others in some.
void LoadExchange::collect(const std::string& service, bool isFarRound, EntriesByPeer& entries)
{
    const auto& homes = this->parts.homes.homes(service);
    const auto addFor = [&](bool isNear, const ReportEntry& entry) {
        for (const auto& home : homes) {
            const auto peer = this->parts.peers.all().find(home);
            if (peer != this->parts.peers.all().end() && (peer->second.profile.zone == this->options.zone) == isNear)
                entries[home].push_back(entry);
        }
    };
    this->parts.dispatcher.visitLoads(service, [&](const engine::Dispatcher::LocalLoad& local) {
        auto& state = this->reported[local.entry.id];
        const auto key = upstreamKey(local.entry.id, local.entry.startedAt);
        this->upstreamsByKey[key] = local.entry.id;
        this->overloadRefusals.Increment(local.load.rejected);
        this->logIfContended(local, state);
        const auto due = state.policy.next({ .slots = local.entry.slots, .homes = homes.size(), .own = local.load, .hasPosition = local.position.has_value() }, isFarRound);
        if (due.near)
            addFor(true, { .upstream = key, .load = *due.near, .position = local.position });
        if (due.far)
            addFor(false, { .upstream = key, .load = *due.far, .position = local.position });
    });
}

void LoadExchange::logIfContended(const engine::Dispatcher::LocalLoad& local, Reported& state) const
{
    const auto others = this->parts.dispatcher.loadOfOthers(local.entry.id);
    const auto now = this->parts.loop.now();
    const auto own = local.load.running + local.load.waiting;
    if (!others || own + others->demand() <= sharedWindow(local.entry.slots) || now - state.loggedAt < logInterval)
        return;
    state.loggedAt = now;
    telemetry::logEvent(telemetry::LogLevel::Info, "load.contended",
        { { "upstream", local.entry.id }, { "own", own }, { "others_running", others->running }, { "others_waiting", others->waiting }, { "rejected_per_second", others->rejectedPerSecond }, { "reporters", others->reporters } });
}

void LoadExchange::updateMetrics()
{
    const auto counts = this->parts.dispatcher.takeReplicaCounts();
    this->lagRefusals.Increment(counts.lagRefusals);
    this->replicaProbes.Increment(counts.probes);
}

bool LoadExchange::receive(std::string_view bytes)
{
    const auto report = isReport(bytes) ? decodeReport(bytes) : std::nullopt;
    if (!report)
        return false;
    const auto* vm = this->findPeer(report->sender);
    if (!vm)
        return true;
    this->receivedReports.Increment();
    const auto now = this->parts.loop.now();
    const auto delay = this->delays[report->sender].note(report->sentAt, now);
    if (!delay || *delay >= FleetLoad::expiry) {
        this->outdatedReports.Increment();
        return true;
    }
    for (const auto& entry : report->entries)
        this->apply(*vm, entry, now - *delay);
    return true;
}

/// Reports about upstreams that this daemon does not use, or about an earlier start of one, are ignored.
void LoadExchange::apply(const std::string& vm, const ReportEntry& entry, Time at)
{
    const auto upstream = this->upstreamsByKey.find(entry.upstream);
    if (upstream != this->upstreamsByKey.end())
        this->parts.dispatcher.noteReport(vm, upstream->second, entry.load, entry.position, at);
}

const std::string* LoadExchange::findPeer(std::uint32_t shortId)
{
    if (std::exchange(this->peersVersion, this->parts.peers.membershipVersion()) != this->parts.peers.membershipVersion() || this->peersById.empty()) {
        this->peersById.clear();
        for (const auto& [vm, peer] : this->parts.peers.all())
            this->peersById[hashing::shortId(vm)] = vm;
        std::erase_if(this->delays, [this](const auto& item) { return !this->peersById.contains(item.first); });
    }
    const auto found = this->peersById.find(shortId);
    return found == this->peersById.end() ? nullptr : &found->second;
}

}

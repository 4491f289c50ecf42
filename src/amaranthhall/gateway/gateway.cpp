#include "amaranthhall/gateway/gateway.hpp"
#include "amaranthhall/kernel/random_seed.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

namespace amaranthhall::gateway {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr Duration tickInterval = 500ms;
    constexpr Duration minimumPollCheckInterval = 5ms;
    constexpr Duration maximumPollCheckInterval = 100ms;
    constexpr Duration configurationCheckTimeout = 1s;
    constexpr double maximumAgeFraction = 0.4; // of the time within which a change must be in force; the rest is for an unanswered poll and its repetition
    constexpr Duration fleetDiscoveryTimeout = 2s; // after this a daemon that has found no peers serves without them
    constexpr auto drainMargin = 1s; // a statement is queued and in transit before it reaches the upstream
    constexpr Duration drainPollInterval = 100ms;
    constexpr Duration idleTimeBeforeClose = 30ms; // a caller that has just received a reply may already have sent its next request
    constexpr std::size_t maximumFollowers = 4; // daemons that follow the store; the others get its rows from them
    constexpr Duration pauseAfterChange = 100ms; // batches changes: upstreams change in groups, for example on a failover
    constexpr Duration pauseAfterFleetChange = 1s; // a longer pause is enough, as starting daemons discover each other by UDP gossip
    constexpr std::string_view storeFollowerTask = "follow";
    constexpr double immediateListFraction = 0.25; // share of simultaneously starting daemons that read the store immediately; the others ask their peers first
    constexpr Duration peerRowsDelay = 150ms; // time for peers to pass on the rows that they have
    constexpr Duration peerRowsJitter = 100ms; // spreads the store reads of daemons that received no rows from their peers
    constexpr Duration maximumDiscoveryTime = 500ms; // then the frequent requests to the seeds end

    store::TableWatch::Options watchOptions(std::string table, Duration pause, Duration listDelay, Duration maximumAge)
    {
        return { .table = std::move(table), .partition = {}, .seed = kernel::randomSeed(), .pauseAfterChange = pause, .listDelay = listDelay, .follows = false, .polling = { .maximumAge = maximumAge } };
    }

    /// Returns the age of a copy at which a daemon asks the store itself, so that a change is in force within a limit.
    Duration maximumAgeOf(Duration limit)
    {
        return std::chrono::duration_cast<Duration>(limit * maximumAgeFraction);
    }

    budget::VmLimits readVmLimits(const GatewaySettings& settings)
    {
        constexpr double bytesPerMegabyte = 1U << 20U;
        budget::ConfiguredLimits configured;
        if (settings.memoryMegabytes > 0)
            configured.memory = static_cast<std::uint64_t>(settings.memoryMegabytes * bytesPerMegabyte);
        if (settings.descriptors > 0)
            configured.descriptors = static_cast<std::size_t>(settings.descriptors);
        return budget::readLimits(configured);
    }

    /// Chooses a random delay during which peers may supply configuration and upstreams before this daemon reads them from the store.
    /// This limits the load on the store when the whole fleet starts at the same time. The list of daemons is read without delay, because
    /// the store's clock is unknown until the store has responded.
    Duration chooseListDelay(const GatewaySettings& settings)
    {
        const bool isSeed = std::find(settings.seeds.begin(), settings.seeds.end(), settings.peers) != settings.seeds.end();
        Random random(kernel::randomSeed());
        if (isSeed || std::bernoulli_distribution(immediateListFraction)(random))
            return Duration::zero();
        const std::chrono::duration<double> jitter = peerRowsJitter;
        return peerRowsDelay + std::chrono::duration_cast<Duration>(jitter * std::uniform_real_distribution<double>(0, 1)(random));
    }

}

Gateway::Gateway(kernel::Loop& usedLoop, const GatewaySettings& usedSettings, PlatformAdapters usedPlatform)
    : loop(usedLoop)
    , settings(usedSettings)
    , platform(usedPlatform)
    , dispatcher(usedLoop, usedPlatform.links, this->catalog, this->dispatcherOptions())
    , guard(usedLoop, readVmLimits(usedSettings), this->metrics)
    , context { .loop = usedLoop, .catalog = this->catalog, .dispatcher = this->dispatcher, .log = this->requestLog, .budget = {}, .commitGuard = &this->commitGuard, .guard = &this->guard }
    , listDelay(chooseListDelay(usedSettings))
    , upstreamWatch(usedLoop, usedPlatform.store, watchOptions(usedPlatform.rows.upstreamTable(), pauseAfterChange, this->listDelay, maximumAgeOf(usedSettings.upstreamDrainLimit)), this->upstreamCallbacks())
    , configurationWatch(usedLoop, usedPlatform.store, watchOptions(usedPlatform.rows.configurationTable(), pauseAfterChange, this->listDelay, maximumAgeOf(usedSettings.configurationLimit)), this->configurationCallbacks())
    , fleetWatch(usedLoop, usedPlatform.store, watchOptions(std::string(fleetTable), pauseAfterFleetChange, Duration::zero(), this->fleetMaximumAge()), this->fleetCallbacks())
    , gossip(usedLoop, this->gossipOptions(), this->gossipCallbacks(), usedPlatform.traffic)
    , homes(usedLoop, this->catalog, this->gossip.peers(), { .vm = usedSettings.vm, .zone = usedSettings.zone, .cores = usedSettings.cores, .relayPort = usedSettings.relay.port, .traffic = &usedPlatform.traffic })
    , quotas(usedLoop, this->catalog, this->gossip.peers(), this->quotaOptions(), this->metrics)
    , loads({ .loop = usedLoop, .dispatcher = this->dispatcher, .peers = this->gossip.peers(), .homes = this->homes },
          { .vm = usedSettings.vm, .zone = usedSettings.zone, .send = [this](const auto& to, auto bytes) { this->gossip.sendDatagram(to, bytes); } }, this->metrics)
    , relays(usedLoop, usedSettings.relay, this->context)
    , rowExchange(
          usedLoop, usedSettings.peers, [this](const auto& table, auto after) { return this->rowsAfter(table, after); }, { .traffic = &usedPlatform.traffic, .limits = this->httpLimits("peers", this->guard.shares().peers) })
    , succession(this->successionParts(), this->successionOptions(), [this] { this->gossip.sendUrgently(); })
    , commitGuard(usedLoop, this->catalog, this->dispatcher, this->succession.pendingOrders())
    , metricsServer(usedLoop, { .listen = usedSettings.metrics, .limits = this->httpLimits("metrics", this->guard.shares().http) })
    , livePeers(this->metrics.gauge("amaranthhall_live_peers", "Other daemons heard of lately"))
    , knownUpstreams(this->metrics.gauge("amaranthhall_upstreams", "Upstreams that are registered"))
    , configurationVersion(this->metrics.gauge("amaranthhall_configuration_version", "Version of the configuration in force"))
    , storeEra(this->metrics.gauge("amaranthhall_store_era", "Times that the store came back from a copy"))
    , heldCommits(this->metrics.gauge("amaranthhall_held_commits", "Commits whose acknowledgement waits for upstreams that may be promoted"))
    , pendingOrders(this->metrics.gauge("amaranthhall_pending_orders", "Orders of promotion that may still be carried out, of services with synchronous replicas"))
    , configurationAge(this->copyAgeGauge("configuration"))
    , upstreamsAge(this->copyAgeGauge("upstreams"))
    , fleetAge(this->copyAgeGauge("daemons"))
    , relayedStreams(this->metrics.gauge("amaranthhall_relayed_streams", "Statements and transactions that run here for other daemons"))
    , ownZoneShare(this->metrics.gauge("amaranthhall_zone_own_share", "Lowest share of the reads of a service that this daemon sends to upstreams of its own zone"))
    , tickTimer(usedLoop.every(tickInterval, [this] { this->tick(); }))
{
}

/// Returns the limits of an HTTP port; the port's name must outlive the gateway.
http::ServerLimits Gateway::httpLimits(std::string_view port, std::size_t connections)
{
    return { .connections = connections, .refused = [this, port](auto reason) { this->guard.noteRefused(port, reason); } };
}

prometheus::Gauge& Gateway::copyAgeGauge(std::string_view rows)
{
    return this->metrics.gauge("amaranthhall_copy_age_seconds", "Time since this daemon's rows were known to be those of the store", { { "rows", rows } });
}

engine::Dispatcher::Options Gateway::dispatcherOptions()
{
    return {
        .zone = this->settings.zone,
        .upstreamDrainLimit = this->settings.upstreamDrainLimit - drainMargin,
        .sharers = [this](auto service) { return this->isFleetKnown() ? std::optional(this->homes.sharers(service)) : std::nullopt; },
        .traffic = &this->platform.traffic,
        .bytePrice = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(this->settings.bytePrice)),
        .metrics = &this->metrics,
    };
}

store::TableWatch::Callbacks Gateway::upstreamCallbacks()
{
    return {
        .changed = [this](const auto& row) { this->onUpstreamRow(row); },
        .batchApplied = [this] { this->onCatalogSettled(); },
        .reachabilityChanged = [](bool) {},
    };
}

store::TableWatch::Callbacks Gateway::configurationCallbacks()
{
    return {
        .changed = [this](const auto& row) { this->onConfigurationRow(row); },
        .batchApplied = [this] { this->onCatalogSettled(); },
        .reachabilityChanged = [](bool) {},
        .polled = [this] { this->gossip.sendWidely(); },
        .replacedByRestore = [this](store::Row&& previous) { this->keepLostConfiguration(std::move(previous)); },
    };
}

store::TableWatch::Callbacks Gateway::fleetCallbacks()
{
    return {
        .changed = [this](const auto& row) { this->onFleetRow(row); },
        .batchApplied = [this] { this->onFleetSettled(); },
        .reachabilityChanged = [](bool) {},
    };
}

gossip::VmProfile Gateway::profile() const
{
    return { .address = this->settings.peers, .zone = this->settings.zone, .cores = this->settings.cores };
}

gossip::GossipNode::Options Gateway::gossipOptions() const
{
    return {
        .vm = this->settings.vm,
        .profile = this->profile(),
        .seeds = this->settings.seeds,
        .seed = kernel::randomSeed(),
    };
}

gossip::GossipNode::Callbacks Gateway::gossipCallbacks()
{
    return {
        .fill = [this](auto& digest) { this->fillDigest(digest); },
        .received = [this](const auto& digest) { this->applyDigest(digest); },
        .otherDatagram = [this](auto bytes) { return this->loads.receive(bytes); },
        .audiences = [this]() -> const std::vector<gossip::GossipNode::Audience>& { return this->homes.audiences(); },
    };
}

succession::SuccessionService::Parts Gateway::successionParts()
{
    return {
        .loop = this->loop,
        .catalog = this->catalog,
        .dispatcher = this->dispatcher,
        .store = this->platform.store,
        .fleet = this->fleetWatch,
        .peers = this->gossip.peers(),
        .promoter = this->platform.promoter,
        .group = [this](const auto& service) -> const std::vector<std::string>& { return this->homes.homes(service); },
        .registered = [this]() -> const std::set<std::string>& { return this->registeredDaemons; },
        .served = [this]() -> const std::vector<std::string>& { return this->homes.localServices(); },
    };
}

succession::SuccessionService::Options Gateway::successionOptions() const
{
    return {
        .self = { .vm = this->settings.vm, .incarnation = kernel::randomSeed() },
        .zone = this->settings.zone,
        .table = std::string(fleetTable),
        .fenceCheck = this->settings.checksFences ? succession::FenceCheck::Present : succession::FenceCheck::Absent,
    };
}

quota::QuotaService::Options Gateway::quotaOptions() const
{
    return {
        .vm = this->settings.vm,
        .listen = this->settings.relay,
        .cores = this->settings.cores,
        .bound = { .window = this->settings.quotaWindow, .excess = this->settings.quotaExcess, .slack = this->settings.quotaSlack },
        .traffic = &this->platform.traffic,
    };
}

void Gateway::start()
{
    this->metricsServer.route("/metrics", [this](const http::Request&, const http::Reply& reply) {
        this->updateGauges();
        reply({ .headers = { { "Content-Type", "text/plain; version=0.0.4" } }, .body = this->metrics.serialize() });
    });
    this->context.relays = &this->homes;
    this->context.limiter = &this->quotas;
    this->startedAt = this->loop.now();
    logEvent(LogLevel::Info, "daemon.started", { { "vm", this->settings.vm }, { "zone", this->settings.zone } });
    this->configurationWatch.start();
    this->upstreamWatch.start();
    this->fleetWatch.start();
    this->pollStore();
    this->gossip.startDiscovery();
    this->discoveryTimer = this->loop.after(maximumDiscoveryTime, [this] { this->gossip.stopDiscovery(); });
}

/// Ends the frequent requests to the seeds once configuration, upstreams and daemons are known.
void Gateway::stopDiscoveryIfDone()
{
    if (this->configurationWatch.hasRows() && this->upstreamWatch.hasRows() && this->fleetWatch.hasRows())
        this->gossip.stopDiscovery();
}

bool Gateway::isReady() const noexcept
{
    return !this->isDraining && this->isConfigurationUsable() && !this->catalog.upstreams().empty() && this->isFleetKnown();
}

/// Returns whether there is a configuration that was once known to be the store's present one. A daemon that starts may get an old one from a peer; if it can't
/// be told how old it is, it uses it after the timeout.
bool Gateway::isConfigurationUsable() const noexcept
{
    const bool isWithinTimeout = this->loop.now() - this->startedAt < configurationCheckTimeout;
    return this->catalog.configuration() && (this->wasConfigurationFresh || !isWithinTimeout);
}

/// Returns whether the other daemons are known, from the store or from a peer, or the discovery timeout has passed. Before that, this
/// daemon could open more links than its share.
bool Gateway::isFleetKnown() const noexcept
{
    const bool isWithinTimeout = this->loop.now() - this->startedAt < fleetDiscoveryTimeout;
    return this->fleetWatch.hasRows() || !isWithinTimeout;
}

void Gateway::updateGauges()
{
    this->guard.updateGauges();
    const auto configuration = this->catalog.configuration();
    this->livePeers.Set(static_cast<double>(this->gossip.peers().liveNames(this->loop.now()).size()));
    this->knownUpstreams.Set(static_cast<double>(this->catalog.upstreams().size()));
    this->configurationVersion.Set(configuration ? static_cast<double>(configuration->version) : 0);
    this->heldCommits.Set(static_cast<double>(this->commitGuard.heldCount()));
    this->pendingOrders.Set(static_cast<double>(this->succession.pendingOrders().count()));
    this->relayedStreams.Set(static_cast<double>(this->relays.streamCount()));
    this->ownZoneShare.Set(this->dispatcher.lowestOwnZoneShare());
    this->platform.traffic.publish(this->metrics, this->settings.zone);
    for (const auto& [watch, gauge] : { std::pair(&this->configurationWatch, &this->configurationAge), { &this->upstreamWatch, &this->upstreamsAge }, { &this->fleetWatch, &this->fleetAge } })
        gauge->Set(watch->age() ? std::chrono::duration<double>(*watch->age()).count() : std::numeric_limits<double>::infinity());
}

/// Returns since when the rows of upstreams have been those of the store; std::nullopt while this is not known. A daemon that does not reach the store itself learns
/// of a removal only through a peer that has read it.
std::optional<Time> Gateway::storeReadSince() const
{
    const auto age = this->upstreamWatch.age();
    const bool isCurrent = age && *age <= maximumAgeOf(this->settings.upstreamDrainLimit);
    if (!this->upstreamWatch.follows() || isCurrent)
        return this->upstreamWatch.reachableSince().value_or(this->startedAt);
    return this->upstreamWatch.reachableSince();
}

void Gateway::tick()
{
    const auto expired = this->catalog.expire(this->loop.now(), this->storeReadSince());
    for (const auto& id : expired)
        logEvent(LogLevel::Info, "upstream.gone", { { "upstream", id } });
    const bool homesChanged = this->homes.refresh();
    const bool fleetKnownChanged = this->isFleetKnown() != std::exchange(this->wasFleetKnown, this->isFleetKnown());
    if (homesChanged || fleetKnownChanged || !expired.empty())
        this->dispatcher.onCatalogChanged();
    const auto live = this->gossip.peers().liveNames(this->loop.now());
    this->followerRank = gossip::rendezvousRank(storeFollowerTask, this->settings.vm, live);
    const bool follows = this->followerRank < maximumFollowers;
    if (follows != this->configurationWatch.follows())
        logEvent(LogLevel::Info, follows ? "store.following" : "store.not_following", { { "rank", this->followerRank }, { "live_peers", live.size() } });
    for (auto* watch : { &this->configurationWatch, &this->upstreamWatch, &this->fleetWatch }) {
        watch->setFollowing(follows);
        watch->updateEra(this->platform.store.era());
    }
    this->storeEra.Set(this->platform.store.era());
}

/// Asks the store itself where this daemon's copies have grown too old.
void Gateway::pollStore()
{
    auto untilNext = maximumPollCheckInterval;
    for (auto* watch : { &this->configurationWatch, &this->upstreamWatch, &this->fleetWatch })
        untilNext = std::min(untilNext, watch->pollIfDue(this->followerRank));
    this->pollTimer = this->loop.after(std::max(untilNext, minimumPollCheckInterval), [this] { this->pollStore(); });
    const auto age = this->configurationWatch.age();
    if (age && *age <= maximumAgeOf(this->settings.configurationLimit))
        this->wasConfigurationFresh = true;
}

void Gateway::drain(engine::CallerServer& callers, std::function<void()> done)
{
    if (std::exchange(this->isDraining, true))
        return;
    logEvent(LogLevel::Info, "daemon.draining", { { "sessions", callers.sessions() } });
    this->onDrained = std::move(done);
    this->drainingSince = this->loop.now();
    this->unregisterDaemon();
    this->quotas.stop();
    this->drainTimer = this->loop.every(drainPollInterval, [this, &callers] { this->continueDrain(callers); });
}

void Gateway::continueDrain(engine::CallerServer& callers)
{
    const auto decision = decideDrain({
        .elapsed = this->loop.now() - this->drainingSince,
        .limit = this->settings.drainLimit,
        .sessions = callers.sessions(),
        .relayedStreams = this->relays.streamCount(),
    });
    this->logDrain(decision, callers.sessions());
    if (decision.abortsTransactions) {
        callers.abortTransactions();
        this->relays.abortTransactions();
    }
    if (decision.closesSessions) {
        callers.closeAfterReplies();
        callers.closeIdle(idleTimeBeforeClose);
    }
    if (decision.abandonsRequests) {
        callers.abandonRequests();
        this->relays.abandonRequests();
    }
    if (decision.isOver)
        this->onDrained();
}

/// Logs each new step of the stop once.
void Gateway::logDrain(const DrainDecision& decision, std::size_t sessions)
{
    const auto isNew = [](bool& wasTaken, bool isTaken) { return isTaken && !std::exchange(wasTaken, true); };
    const auto log = [&](std::string_view step) {
        logEvent(LogLevel::Info, "daemon.drain_step", { { "step", step }, { "sessions", sessions }, { "relayed_streams", this->relays.streamCount() } });
    };
    if (isNew(this->drainSteps.closesSessions, decision.closesSessions))
        log("close_sessions");
    if (isNew(this->drainSteps.abortsTransactions, decision.abortsTransactions))
        log("abort_transactions");
    if (isNew(this->drainSteps.abandonsRequests, decision.abandonsRequests))
        log("abandon_requests");
}

}

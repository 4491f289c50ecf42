// Rows of the store and datagrams of other daemons: what the gateway learns from them, and what it tells.

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/gateway/gateway.hpp"
#include "amaranthhall/kernel/random_seed.hpp"
#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::gateway {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr freshness::Micros maximumLeaderReportAge = 4'000'000; // µs; older evidence of a leader is not gossiped
    constexpr Duration reregistrationGrace = 2500ms; // time for upstreams to register again after the store was restored from a backup
    constexpr std::string_view daemonPrefix = "daemon/";
    constexpr Duration fleetMaximumAgeWithoutOrders = 10s; // daemons also hear of each other directly
    constexpr Duration leaseMaximumAge = succession::orderKnowledgeLifetime * 4 / 5; // leaves time for an answer

    /// Returns the age of a copy for logs, in ms; -1 if it is unknown.
    std::int64_t ageMilliseconds(const store::TableWatch& watch)
    {
        const auto age = watch.age();
        return age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1;
    }

}

std::vector<store::Row> Gateway::rowsAfter(const std::string& table, store::Version after)
{
    if (table == configurationInForce)
        return this->lostConfiguration ? std::vector { *this->lostConfiguration } : std::vector<store::Row>();
    auto* watch = this->findWatch(table);
    return watch ? watch->rowsAfter(after) : std::vector<store::Row>();
}

store::TableWatch* Gateway::findWatch(const std::string& table) noexcept
{
    if (table == fleetTable)
        return &this->fleetWatch;
    if (table == this->platform.rows.upstreamTable())
        return &this->upstreamWatch;
    return table == this->platform.rows.configurationTable() ? &this->configurationWatch : nullptr;
}

void Gateway::markUpstreamMissing(const store::Row& row)
{
    // Upstreams write their entries again after the store was restored from a backup.
    const auto grace = this->upstreamWatch.isApplyingNewEra() ? reregistrationGrace : Duration::zero();
    this->catalog.markMissing(row.key.key, row.version, this->loop.now() + grace);
}

void Gateway::onUpstreamRow(const store::Row& row)
{
    if (row.isRemoved) {
        logEvent(LogLevel::Info, "upstream.missing", { { "upstream", row.key.key }, { "version", store::formatVersion(row.version) } });
        this->markUpstreamMissing(row);
        return;
    }
    auto entry = this->platform.rows.readUpstream(row.key.key, row.value);
    if (!entry) {
        logEvent(LogLevel::Warning, "upstream.entry_skipped", { { "upstream", row.key.key }, { "version", store::formatVersion(row.version) }, { "problem", entry.error() } });
        // An entry of another writer names no upstream, also if it replaces one that did. If it was a mistake, the upstream writes its own again within the grace period.
        this->markUpstreamMissing(row);
        return;
    }
    logEvent(LogLevel::Info, "upstream.entry", { { "upstream", entry->id }, { "service", entry->service }, { "primary", entry->role == catalog::Role::Primary }, { "draining", entry->draining }, { "version", store::formatVersion(row.version) } });
    // An entry that changed longer ago than this was confirmed while this daemon was cut off from store and peers.
    const Duration maximumCopyAge = this->settings.upstreamDrainLimit / 2;
    const auto copyAge = std::min(this->upstreamWatch.age().value_or(Duration::zero()), maximumCopyAge);
    this->catalog.put(*std::move(entry), row.version, this->loop.now(), copyAge);
}

void Gateway::onConfigurationRow(const store::Row& row)
{
    if (row.key.key == this->platform.rows.configurationKey() && !row.isRemoved)
        this->applyConfiguration(row);
}

/// Keeps a row that a restored copy of the store replaced. After several restores the first one is that of the configuration in force.
void Gateway::keepLostConfiguration(store::Row&& row)
{
    if (!this->lostConfiguration && row.key.key == this->platform.rows.configurationKey() && !row.isRemoved)
        this->lostConfiguration = std::move(row);
}

/// Returns the age of its rows of daemons and leases at which every daemon reads them from the store.
Duration Gateway::fleetMaximumAge() const
{
    const auto configuration = this->catalog.configuration();
    const auto isSynchronous = [](const auto& entry) { return entry.second.synchronousReplicas > 0; };
    const bool mustKnowOrders = configuration && std::any_of(configuration->services.begin(), configuration->services.end(), isSynchronous);
    return mustKnowOrders ? leaseMaximumAge : fleetMaximumAgeWithoutOrders;
}

/// Puts a configuration into force if it is newer; returns whether it is.
bool Gateway::applyConfiguration(const store::Row& row)
{
    auto configuration = this->platform.rows.readConfiguration(row.value);
    if (!configuration) {
        logEvent(LogLevel::Error, "configuration.skipped", { { "version", store::formatVersion(row.version) }, { "problem", configuration.error() } });
        return false;
    }
    const auto version = configuration->version;
    const auto isNewer = this->catalog.apply(*std::move(configuration));
    logEvent(LogLevel::Info, isNewer ? "configuration.applied" : "configuration.older_dropped", { { "configuration", version }, { "version", store::formatVersion(row.version) }, { "source", this->rowSource }, { "copy_age_ms", ageMilliseconds(this->configurationWatch) } });
    this->gossip.sendUrgently();
    const bool isWrittenAgain = this->lostConfiguration && version >= this->catalog.configuration()->version && row.version.era > this->lostConfiguration->version.era;
    if (isWrittenAgain)
        this->lostConfiguration.reset();
    if (isNewer) {
        this->fleetWatch.setMaximumAge(this->fleetMaximumAge());
        this->configurationApplied();
    }
    return isNewer;
}

/// Gets a newer configuration from a peer that has it from before the store was restored from a copy; the operators have not written it again yet.
void Gateway::fetchConfigurationInForce(const gossip::Digest& digest)
{
    const auto& current = this->catalog.configuration();
    const auto era = this->configurationWatch.newestCompleteRow().era;
    const bool isLostInStore = current && digest.configurationVersion > current->version && era > 0 && digest.copies.configuration.newestRow <= this->configurationWatch.newestCompleteRow();
    const std::string table(configurationInForce);
    auto& fetches = this->pendingFetches[table];
    if (!isLostInStore || !fetches.mayStart(digest.vm, this->loop.now()))
        return;
    fetches.start(digest.vm, this->loop.now());
    this->rowExchange.fetch(digest.profile.address, table, {}, [this, table, peer = digest.vm](const auto& rows) {
        this->pendingFetches[table].finish(peer);
        if (!rows || rows->empty())
            return;
        this->rowSource = peer;
        if (this->applyConfiguration(rows->front()))
            this->lostConfiguration = rows->front();
        this->rowSource = storeSource;
        this->onCatalogSettled();
    });
}

void Gateway::onFleetRow(const store::Row& row)
{
    if (!row.key.key.starts_with(daemonPrefix))
        return;
    const auto vm = std::string_view(row.key.key).substr(daemonPrefix.size());
    if (vm == this->settings.vm)
        return;
    if (row.isRemoved)
        this->registeredDaemons.erase(std::string(vm));
    else
        this->registeredDaemons.emplace(vm);
    const auto profile = gossip::decodeProfile(row.value);
    // A daemon that is missing from the restored backup may still be running; it registers again.
    const bool isMissingAfterRestore = row.isRemoved && this->fleetWatch.isApplyingNewEra() && this->gossip.peers().isLive(vm, this->loop.now());
    if (isMissingAfterRestore)
        logEvent(LogLevel::Info, "peer.lost_by_copy", { { "vm", vm } });
    else if (row.isRemoved)
        this->gossip.peers().remove(vm);
    else if (profile)
        this->gossip.peers().add(vm, *profile, this->loop.now());
    else
        logEvent(LogLevel::Warning, "peer.entry_skipped", { { "vm", vm }, { "version", store::formatVersion(row.version) } });
}

void Gateway::onCatalogSettled()
{
    this->stopDiscoveryIfDone();
    if (this->upstreamWatch.isComplete())
        this->catalog.noteComplete(this->loop.now());
    this->dispatcher.onCatalogChanged();
}

void Gateway::onFleetSettled()
{
    this->stopDiscoveryIfDone();
    this->ensureRegistered();
    this->homes.refresh();
    this->dispatcher.onCatalogChanged();
}

/// Registers this daemon unless the store already holds its row, as after a restart.
void Gateway::ensureRegistered()
{
    if (this->isDraining || this->isRegistering)
        return;
    const auto& rows = this->fleetWatch.rows();
    const auto found = rows.find(this->registrationKey().key);
    const bool isMissing = found == rows.end() && this->registeredVersion == store::Version {};
    const bool isOutdated = found != rows.end() && (found->second.isRemoved || found->second.value != gossip::encodeProfile(this->profile()));
    if (isMissing || (isOutdated && found->second.version > this->registeredVersion))
        this->registerDaemon();
}

store::RowKey Gateway::registrationKey() const
{
    return { .table = std::string(fleetTable), .partition = {}, .key = std::string(daemonPrefix) + this->settings.vm };
}

void Gateway::registerDaemon()
{
    this->isRegistering = true;
    store::Row row { .key = this->registrationKey(), .value = gossip::encodeProfile(this->profile()) };
    this->platform.store.commit({ .puts = { std::move(row) } }, [this](store::StoreResult<store::Version> result) {
        if (result) {
            this->isRegistering = false;
            this->registeredVersion = *result;
            return;
        }
        constexpr retry::BackoffOptions backoff { .first = 200ms, .limit = 2000ms };
        Random random(kernel::randomSeed());
        logEvent(LogLevel::Warning, "daemon.not_registered", { { "error", store::nameOf(result.error()) } });
        this->registrationRetry = this->loop.after(backoff.first + retry::jitteredDelay(backoff, this->registrationFailures++, random), [this] { this->registerDaemon(); });
    });
}

void Gateway::unregisterDaemon()
{
    this->registrationRetry.reset();
    this->platform.store.commit({ .removals = { this->registrationKey() } }, [](store::StoreResult<store::Version> result) {
        if (!result)
            logEvent(LogLevel::Warning, "daemon.not_unregistered", { { "error", store::nameOf(result.error()) } });
    });
}

void Gateway::fillDigest(gossip::Digest& digest)
{
    digest.copies = { .configuration = this->configurationWatch.copyState(), .upstreams = this->upstreamWatch.copyState(), .fleet = this->fleetWatch.copyState() };
    if (const auto& configuration = this->catalog.configuration())
        digest.configurationVersion = configuration->version;
    const auto& clock = this->platform.store.clock();
    const auto now = freshness::bootNow();
    for (const auto& service : this->homes.localServices()) {
        const auto sample = this->dispatcher.samples(service).newest();
        const auto& proof = this->dispatcher.proof(service);
        if (!sample || !proof || now - sample->at > maximumLeaderReportAge)
            continue;
        if (const auto at = clock.earliestStoreTime(sample->at))
            digest.leaders.push_back({ .service = service, .upstream = proof->upstream, .term = proof->term, .point = sample->point, .at = *at, .hasRecentAnswer = this->dispatcher.hasRecentLeaderReply(service, this->loop.now()) });
    }
    this->succession.fill(digest, clock);
}

void Gateway::applyDigest(const gossip::Digest& digest)
{
    const auto& clock = this->platform.store.clock();
    const auto now = freshness::bootNow();
    for (const auto& report : digest.leaders) {
        const auto at = clock.earliestLocalTime(report.at, now);
        if (!at || now - *at > maximumLeaderReportAge)
            continue;
        const auto age = std::chrono::microseconds(std::max<freshness::Micros>(0, now - *at));
        // Daemons report only leaders that they know to have caught up.
        this->dispatcher.confirmLeader(report.service, { .upstream = report.upstream, .term = report.term, .lastEntryTerm = report.point.term });
        if (report.hasRecentAnswer)
            this->homes.noteLeaderReachability(report.service, digest.vm, engine::LeaderReachability::Reachable);
        this->dispatcher.noteProof(report.service, { .upstream = report.upstream, .point = report.point, .at = this->loop.now() - age }, *at);
    }
    this->succession.mergeDigest(digest, clock);
    this->fetchConfigurationInForce(digest);
    this->fetchNewerRows(this->configurationWatch, this->platform.rows.configurationTable(), digest.copies.configuration, digest);
    this->fetchNewerRows(this->upstreamWatch, this->platform.rows.upstreamTable(), digest.copies.upstreams, digest);
    this->fetchNewerRows(this->fleetWatch, std::string(fleetTable), digest.copies.fleet, digest);
}

/// Takes over what a peer knows of a table: until when a copy without its newer rows is complete, or else these rows. They come from the peer, unless
/// this daemon's own feed is about to deliver them.
void Gateway::fetchNewerRows(store::TableWatch& watch, const std::string& table, const store::CopyState& copy, const gossip::Digest& digest)
{
    if (copy.newestRow <= watch.newestCompleteRow()) {
        watch.noteVerifiedByPeer(copy);
        return;
    }
    watch.noteNewerVersion(copy.newestRow);
    auto& fetches = this->pendingFetches[table];
    if (watch.isFeedExpectedToDeliver(copy.newestRow) || !fetches.mayStart(digest.vm, this->loop.now()))
        return;
    fetches.start(digest.vm, this->loop.now());
    this->rowExchange.fetch(digest.profile.address, table, watch.newestCompleteRow(), [this, &watch, table, copy, peer = digest.vm, requestedAt = this->loop.now()](const auto& rows) {
        this->pendingFetches[table].finish(peer);
        const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.now() - requestedAt);
        if (!rows) {
            logEvent(LogLevel::Info, "peer.rows_not_fetched", { { "table", table }, { "peer", peer }, { "taken_ms", taken.count() } });
            this->readFromStore(watch);
            return;
        }
        logEvent(LogLevel::Info, "peer.rows_fetched", { { "table", table }, { "rows", rows->size() }, { "peer", peer }, { "taken_ms", taken.count() } });
        this->rowSource = peer;
        watch.mergeCopy(*rows, copy);
        this->rowSource = storeSource;
    });
}

void Gateway::readFromStore(store::TableWatch& watch)
{
    if (watch.isComplete())
        watch.poll();
    else
        watch.refresh();
}

}

#pragma once

#include "amaranthhall/budget/io/budget_guard.hpp"
#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/catalog/row_reader.hpp"
#include "amaranthhall/engine/caller_server.hpp"
#include "amaranthhall/engine/commit_guard.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/engine/session.hpp"
#include "amaranthhall/gateway/drain_decision.hpp"
#include "amaranthhall/gateway/gateway_settings.hpp"
#include "amaranthhall/gossip/gossip_node.hpp"
#include "amaranthhall/gossip/pending_fetches.hpp"
#include "amaranthhall/gossip/row_exchange.hpp"
#include "amaranthhall/load/io/load_exchange.hpp"
#include "amaranthhall/quota/io/quota_service.hpp"
#include "amaranthhall/relay/home_router.hpp"
#include "amaranthhall/relay/relay_server.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/succession_service.hpp"
#include "amaranthhall/telemetry/metrics.hpp"
#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::gateway {

/// @brief The interfaces through which the gateway uses the platform.
struct PlatformAdapters {
    store::Store& store;
    engine::LinkFactory& links;
    succession::Promoter& promoter;
    const catalog::RowReader& rows;
    telemetry::ZoneTraffic& traffic; ///< Counts the bytes to each zone, those of the links included.
};

/// @brief The gateway daemon without its caller protocol: holds the catalog and routes statements to upstreams.
class Gateway {
public:
    Gateway(kernel::Loop& loop, const GatewaySettings& settings, PlatformAdapters platform);

    /// @brief Starts the metrics endpoint, the watches of the store and the discovery of peers.
    void start();

    /// @brief Returns the context that all sessions share.
    [[nodiscard]] engine::SessionContext& sessionContext() noexcept { return this->context; }

    /// @brief Returns the limits of the readiness port.
    [[nodiscard]] http::ServerLimits readinessLimits() { return this->httpLimits("ready", this->guard.shares().http); }

    /// @brief Sets the function that is called after another configuration has come into force.
    void onConfigurationApplied(std::function<void()> callback) { this->configurationApplied = std::move(callback); }

    /// @brief Returns whether callers can be served.
    [[nodiscard]] bool isReady() const noexcept;

    /**
     * @brief Stops accepting work: reports not ready, unregisters this daemon and closes sessions between two requests.
     *
     * Transactions are aborted after half of the drain limit. `done` is called once no session is left or the limit is almost reached;
     * requests that are then still in progress are answered before.
     */
    void drain(engine::CallerServer& callers, std::function<void()> done);

private:
    static constexpr std::string_view fleetTable = "amaranthhall"; ///< Table of the store with the rows of daemons and leases.
    static constexpr std::string_view storeSource = "store";
    static constexpr std::string_view configurationInForce = "configuration in force"; ///< Name under which daemons hand on a configuration that the store has lost.

    [[nodiscard]] http::ServerLimits httpLimits(std::string_view port, std::size_t connections);
    [[nodiscard]] prometheus::Gauge& copyAgeGauge(std::string_view rows);
    [[nodiscard]] engine::Dispatcher::Options dispatcherOptions();
    [[nodiscard]] store::TableWatch::Callbacks upstreamCallbacks();
    [[nodiscard]] store::TableWatch::Callbacks configurationCallbacks();
    [[nodiscard]] store::TableWatch::Callbacks fleetCallbacks();
    [[nodiscard]] Duration fleetMaximumAge() const;
    [[nodiscard]] gossip::VmProfile profile() const;
    [[nodiscard]] gossip::GossipNode::Options gossipOptions() const;
    [[nodiscard]] gossip::GossipNode::Callbacks gossipCallbacks();
    [[nodiscard]] succession::SuccessionService::Parts successionParts();
    [[nodiscard]] succession::SuccessionService::Options successionOptions() const;
    [[nodiscard]] quota::QuotaService::Options quotaOptions() const;
    [[nodiscard]] std::vector<store::Row> rowsAfter(const std::string& table, store::Version after);
    void onUpstreamRow(const store::Row& row);
    void markUpstreamMissing(const store::Row& row);
    void onConfigurationRow(const store::Row& row);
    bool applyConfiguration(const store::Row& row);
    void keepLostConfiguration(store::Row&& row);
    void fetchConfigurationInForce(const gossip::Digest& digest);
    void onFleetRow(const store::Row& row);
    void onCatalogSettled();
    void onFleetSettled();
    void stopDiscoveryIfDone();
    [[nodiscard]] bool isFleetKnown() const noexcept;
    [[nodiscard]] bool isConfigurationUsable() const noexcept;
    void fillDigest(gossip::Digest& digest);
    void applyDigest(const gossip::Digest& digest);
    void fetchNewerRows(store::TableWatch& watch, const std::string& table, const store::CopyState& copy, const gossip::Digest& digest);
    static void readFromStore(store::TableWatch& watch);
    void pollStore();
    void ensureRegistered();
    void registerDaemon();
    [[nodiscard]] store::RowKey registrationKey() const;
    void unregisterDaemon();
    [[nodiscard]] std::optional<Time> storeReadSince() const;
    void updateGauges();
    void tick();
    void continueDrain(engine::CallerServer& callers);
    void logDrain(const DrainDecision& decision, std::size_t sessions);
    [[nodiscard]] store::TableWatch* findWatch(const std::string& table) noexcept;

    kernel::Loop& loop;
    GatewaySettings settings;
    PlatformAdapters platform;
    catalog::Catalog catalog;
    telemetry::Metrics metrics;
    engine::Dispatcher dispatcher;
    engine::RequestLog requestLog { this->metrics };
    budget::BudgetGuard guard;
    engine::SessionContext context;
    std::set<std::string> registeredDaemons; ///< Other daemons that have a row in the store.
    Duration listDelay; ///< Time at startup during which peers may supply the store's rows.
    store::TableWatch upstreamWatch;
    store::TableWatch configurationWatch;
    store::TableWatch fleetWatch;
    gossip::GossipNode gossip;
    relay::HomeRouter homes;
    quota::QuotaService quotas;
    load::LoadExchange loads;
    relay::RelayServer relays;
    gossip::RowExchange rowExchange;
    succession::SuccessionService succession;
    engine::CommitGuard commitGuard;
    std::map<std::string, gossip::PendingFetches> pendingFetches; ///< By table.
    std::size_t followerRank { std::numeric_limits<std::size_t>::max() }; ///< Position among the live daemons in the order in which they ask the store; updated by tick().
    std::string rowSource { storeSource }; ///< Where the rows that are being applied come from: a peer's VM or `storeSource`; for logs.
    http::Server metricsServer;
    prometheus::Gauge& livePeers;
    prometheus::Gauge& knownUpstreams;
    prometheus::Gauge& configurationVersion;
    prometheus::Gauge& storeEra;
    prometheus::Gauge& heldCommits;
    prometheus::Gauge& pendingOrders;
    prometheus::Gauge& configurationAge;
    prometheus::Gauge& upstreamsAge;
    prometheus::Gauge& fleetAge;
    prometheus::Gauge& relayedStreams;
    prometheus::Gauge& ownZoneShare;
    kernel::Registration tickTimer;
    kernel::Registration pollTimer;
    kernel::Registration discoveryTimer;
    kernel::Registration registrationRetry;
    kernel::Registration drainTimer;
    unsigned registrationFailures { 0 };
    bool isRegistering { false }; ///< A registration is in progress or waits for its next attempt.
    store::Version registeredVersion; ///< Version of the row that this process registered.
    Time startedAt;
    bool wasFleetKnown { false }; ///< Value of isFleetKnown() at the last tick.
    std::optional<store::Row> lostConfiguration; ///< Row of the configuration in force, if the store was restored from a copy that has an older one.
    bool wasConfigurationFresh { false }; ///< Whether the configuration was once known to be the store's present one.
    Time drainingSince;
    bool isDraining { false };
    DrainDecision drainSteps; ///< Steps of the drain that have begun.
    std::function<void()> onDrained;
    std::function<void()> configurationApplied { [] {} };
};

}

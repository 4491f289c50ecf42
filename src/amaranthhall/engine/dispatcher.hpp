#pragma once

#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/admission/service_times.hpp"
#include "amaranthhall/admission/wait_queue.hpp"
#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/acquired_link.hpp"
#include "amaranthhall/engine/upstream_pool.hpp"
#include "amaranthhall/engine/waiting_report.hpp"
#include "amaranthhall/freshness/replica_lag.hpp"
#include "amaranthhall/freshness/sample_window.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/random_seed.hpp"
#include "amaranthhall/leadership/leader_record.hpp"
#include "amaranthhall/load/fleet_load.hpp"
#include "amaranthhall/load/load_report.hpp"
#include "amaranthhall/placement/connection_share.hpp"
#include "amaranthhall/placement/placement.hpp"
#include "amaranthhall/placement/zone_shares.hpp"
#include "amaranthhall/placement/zones.hpp"
#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amaranthhall::engine {

/// @brief What a statement requires of the link it runs on.
struct LinkRequirements {
    std::string requestId;
    std::string service;
    std::string organisation; ///< For which the statement runs; empty for none.
    bool acceptsAnyLink { false }; ///< Links of all organisations may be used.
    bool needsLeader { false };
    std::optional<group::LogPoint> after; ///< Position that the upstream's log must have reached.
    std::string requiredUpstream; ///< Id of the only acceptable upstream; empty for any.
    std::vector<std::string> tried; ///< Upstreams on which an earlier attempt failed.
    Time target; ///< When the reply is due.
    Time deadline;
    unsigned priority { 0 };
    admission::StatementClass kind;
    bool beginsTransaction { false }; ///< The link is held until the caller ends the transaction.
    bool mayRelay { false }; ///< The statement may be relayed to another daemon if this one does not reach the leader.
    const SessionSettings* settings { nullptr };
};

/// @brief Why no link was acquired.
struct Refusal {
    std::string_view reason; ///< Message for the caller and the log.
    bool isLeaderUnreachable { false }; ///< This daemon does not reach the leader; other daemons may reach it.
};

/// @brief Assigns links to statements and queues statements that wait for one.
class Dispatcher {
    struct Service;

public:
    using AcquireCallback = std::function<void(tl::expected<AcquiredLink, Refusal>)>;

    /// @brief A position in the queue; destroying it cancels the request.
    class Ticket {
    public:
        Ticket() noexcept = default;
        Ticket(Dispatcher& dispatcher, Service& service, std::uint64_t ticketId) noexcept
            : dispatcher(&dispatcher)
            , service(&service)
            , ticketId(ticketId)
        {
        }
        Ticket(Ticket&& other) noexcept
            : dispatcher(std::exchange(other.dispatcher, nullptr))
            , service(other.service)
            , ticketId(other.ticketId)
        {
        }
        Ticket& operator=(Ticket&& other) noexcept;
        Ticket(const Ticket&) = delete;
        Ticket& operator=(const Ticket&) = delete;
        ~Ticket() { this->reset(); }

        void reset() noexcept;

    private:
        Dispatcher* dispatcher { nullptr };
        Service* service { nullptr };
        std::uint64_t ticketId { 0 };
    };

    /// @brief Dispatcher settings.
    struct Options {
        std::string zone; ///< Availability zone of this daemon.
        Duration upstreamDrainLimit { std::chrono::seconds(6) }; ///< How long a draining upstream still receives statements.
        std::function<std::optional<std::size_t>(std::string_view service)> sharers; ///< Number of daemons that share the connections of a service; 0 if this one keeps none, nullopt if not yet known.
        const telemetry::ZoneTraffic* traffic { nullptr }; ///< Round-trip times to the zones and bytes of statements; may be null.
        Duration bytePrice {}; ///< Latency that a statement may gain for each kilobyte that does not leave the zone.
        telemetry::Metrics* metrics { nullptr }; ///< Receives the metrics of waiting statements; nullptr for none.
    };

    Dispatcher(kernel::Loop& loop, LinkFactory& factory, catalog::Catalog& catalog, Options options);

    /// @brief Updates pools and queues after a change of the catalog.
    void onCatalogChanged();

    /**
     * @brief Requests a link.
     * @param callback Called once, after acquire() has returned, unless the ticket is destroyed first.
     */
    [[nodiscard]] Ticket acquire(LinkRequirements requirements, AcquireCallback callback);

    /// @brief Records that an upstream proved to be the leader to this or another daemon, and the position of its log at that time.
    void noteProof(std::string_view service, leadership::LeaderProof proof, freshness::Micros at);

    /// @brief Records that this daemon itself has received a reply from a leader.
    void noteLeaderReply(std::string_view service, Time now) { this->serviceOf(service).lastLeaderReplyAt = now; }

    /// @brief Returns whether this daemon itself has recently received a reply from a service's leader.
    [[nodiscard]] bool hasRecentLeaderReply(std::string_view service, Time now);

    /**
     * @brief Returns whether reads at a leader are known to include everything acknowledged before its term.
     * @param lastEntryTerm Term of the last entry in its log.
     */
    [[nodiscard]] bool isConfirmed(std::string_view service, std::string_view upstream, group::Term lastEntryTerm);

    /// @brief Records confirmation from another daemon that a leader has caught up in its term.
    void confirmLeader(std::string_view service, const leadership::ConfirmedTerm& confirmation);

    /// @brief Records that a term of a service has begun, whichever upstream leads it.
    void noteTerm(std::string_view service, group::Term term) { this->serviceOf(service).leadership.noteTerm(term); }

    /// @brief Returns the newest term of a service that is known to have begun; 0 if none.
    [[nodiscard]] group::Term newestTerm(std::string_view service) { return this->serviceOf(service).leadership.newestTerm(); }

    /**
     * @brief Records that an upstream ordered to become leader reports that it leads; its registration may not show this yet.
     * @param version Store version known when the promotion was ordered.
     */
    void noteClaim(std::string_view service, std::string_view upstream, store::Version version);

    /// @brief Records that an upstream refused a statement because it is not the leader.
    void noteNotLeader(std::string_view service, std::string_view upstream, Time askedAt);

    /// @brief Records how long a statement took at an upstream; ignored if the upstream is congested, as the time then includes queueing.
    void noteWork(std::string_view service, const admission::StatementClass& kind, Duration elapsed, const AcquiredLink& link);

    /// @brief Returns the log position samples of a service.
    [[nodiscard]] const freshness::SampleWindow& samples(std::string_view service);

    /// @brief Returns whether a service's leader does not reply to this daemon, or is at its connection limit, while other daemons reach it.
    [[nodiscard]] bool isLeaderUnreachable(std::string_view service);

    /// @brief Returns the upstream that most probably leads a service; nullopt if none is known.
    [[nodiscard]] std::optional<std::string> leader(std::string_view service);

    /// @brief This daemon's figures of one upstream, for reports to the other homes of its service.
    struct LocalLoad {
        const catalog::UpstreamEntry& entry;
        load::UpstreamLoad load;
        std::optional<load::ReportedPosition> position; ///< Of a replica that lags, from its latest reply to this daemon.
    };

    /// @brief Calls `visit` for each upstream of a service that this daemon has links to; the counts of rejected statements start anew.
    void visitLoads(std::string_view service, const std::function<void(const LocalLoad&)>& visit);

    /// @brief Records what another home reports about an upstream, as of `at`.
    void noteReport(std::string_view vm, std::string_view upstream, const load::UpstreamLoad& load, const std::optional<load::ReportedPosition>& position, Time at);

    /// @brief Counts of refused reads and of probes of replicas.
    struct ReplicaCounts {
        std::uint32_t lagRefusals { 0 };
        std::uint32_t probes { 0 };
    };

    /// @brief Returns the counts since the last call.
    [[nodiscard]] ReplicaCounts takeReplicaCounts() noexcept { return std::exchange(this->replicaCounts, {}); }

    /// @brief Returns the load that other daemons put on an upstream; std::nullopt if none has reported lately.
    [[nodiscard]] std::optional<load::LoadEstimate> loadOfOthers(std::string_view upstream) const { return this->fleetLoad.estimate(upstream, this->loop.now()); }

    /// @brief Returns the pool of links to an upstream; nullptr if the upstream is unknown.
    [[nodiscard]] std::shared_ptr<UpstreamPool> pool(std::string_view upstream) const;

    /// @brief Returns the newest proof of a service's leader.
    [[nodiscard]] const std::optional<leadership::LeaderProof>& proof(std::string_view service);

    /// @brief Returns the lowest share of the reads of a service that are sent to upstreams of the own zone; 1 if there are none.
    [[nodiscard]] double lowestOwnZoneShare() const noexcept;

    /// @brief Queries the status of an upstream; `done` is called once, unless the ticket is destroyed first.
    [[nodiscard]] Ticket queryStatus(const std::string& service, const std::string& upstream, Time deadline, std::function<void(std::optional<UpstreamStatus>)> done);

private:
    struct Waiter {
        std::uint64_t ticketId { 0 };
        LinkRequirements requirements;
        AcquireCallback callback;
        std::string_view refusal; ///< Set if admission rejected it on arrival; it is not in the queue then.
    };

    /// What became of a statement at the head of the queue.
    enum class Served : std::uint8_t {
        Completed, ///< It has left the queue.
        Opening, ///< A link is being opened for its flow; another statement of the flow may need one as well.
        FlowBlocked, ///< Statements that need the same links can't be served now.
        LaneBlocked, ///< No statement of the lane can be served now.
    };

    struct PromotionClaim {
        std::string upstream;
        store::Version version;
        Time seenAt;
    };

    /// How the reads of a service are divided among the zones.
    struct ZoneBalance {
        placement::ZoneShares shares; ///< Empty if all upstreams are in one zone.
        std::map<std::string, double, std::less<>> running; ///< Average number of this daemon's statements by upstream id.
        double typicalUse { 0 }; ///< Long-term average use of the own zone's capacity.
        Time observedAt;
        Time decidedAt;
        std::optional<Time> loggedAt;
        bool wasLeaving { false }; ///< As last logged: a part of the reads is sent to other zones.
    };

    struct Service {
        std::string name;
        ZoneBalance zones;
        std::vector<std::shared_ptr<UpstreamPool>> pools; ///< Ordered by upstream id.
        std::unordered_map<std::uint64_t, Waiter> waiters; ///< By ticket id.
        admission::WaitQueue queue; ///< Serving order of the waiters, by ticket id.
        std::vector<std::uint64_t> refused; ///< Tickets that admission rejected and whose callbacks are due.
        leadership::LeaderRecord leadership;
        std::optional<PromotionClaim> claim; ///< Latest claim of an upstream that was ordered to become leader.
        freshness::SampleWindow samples;
        std::map<std::string, freshness::ReplicaLag, std::less<>> lags; ///< Keyed by upstream id.
        admission::ServiceTimes work;
        std::optional<Time> lastUsedAt; ///< When a statement last asked for a link.
        std::optional<Time> leaderlessSince; ///< Set while no leader is usable.
        std::optional<Time> lastLeaderReplyAt; ///< When this daemon last received a reply from a leader.
        std::map<std::string, Time, std::less<>> openingRequests; ///< By organisation: when a statement of it could last have opened a link.
        Time replicaTimerDue; ///< When replicaTimer fires.
        kernel::Registration replicaTimer; ///< Until a lagging replica is expected to hold the position that a waiting read needs.
        Ticket leaderCheck; ///< Set while a status query checks whether the leader has caught up.
        kernel::Registration leaderCheckTimer;
        unsigned leaderCheckAttempts { 0 }; ///< Status queries since the leader was last confirmed.
        bool isLeaderCheckPending { false };
        bool isProcessingScheduled { false };
    };

    [[nodiscard]] Service& serviceOf(std::string_view name);
    void rebuildServicePools();
    void cancel(Service& service, std::uint64_t ticketId) noexcept;
    void scheduleQueueProcessing(Service& service);
    void processQueue(Service& service);
    void refuse(Service& service, std::uint64_t ticketId, std::string_view reason);
    [[nodiscard]] Served serve(Service& service, Waiter& waiter);
    [[nodiscard]] Served serveWhileOpening(Service& service, Waiter& waiter);
    [[nodiscard]] bool mustCheckLeader(Service& service);
    [[nodiscard]] placement::Choice chooseFor(Service& service, const LinkRequirements& requirements, std::span<const placement::Candidate> candidates);
    [[nodiscard]] placement::Choice chooseForRead(Service& service, const LinkRequirements& requirements, std::span<const placement::Candidate> candidates);
    [[nodiscard]] load::UpstreamLoad currentLoad(const Service& service, UpstreamPool& pool, bool isLeader) const;
    [[nodiscard]] std::uint32_t sharedLimit(const Service& service, UpstreamPool& pool, const std::optional<load::LoadEstimate>& others, bool isLeader) const;
    [[nodiscard]] static std::optional<Duration> replicaHoldsIn(Service& service, const std::string& replica, const group::LogPoint& wanted, std::optional<freshness::Micros> reachedAt);
    [[nodiscard]] static std::string replicasBehind(Service& service, const LinkRequirements& requirements);
    void processQueueAfter(Service& service, Duration delay);
    void probeReplica(Service& service, const std::string& replica);
    [[nodiscard]] bool needsAnotherOpening(Service& service, std::string_view organisation);
    [[nodiscard]] bool hasScarceConnections(const UpstreamPool& pool) const;
    void applyConnectionLimits(const LinkRequirements& requirements, const UpstreamPool& pool, placement::Candidate& candidate) const;
    [[nodiscard]] Served countAsWaiting(Service& service, const Waiter& waiter, std::span<const placement::Candidate> candidates);
    [[nodiscard]] Served grantOrOpen(Service& service, Waiter& waiter, UpstreamPool& pool, placement::Choice::Step step);
    [[nodiscard]] bool isDrained(std::string_view upstream) const;
    void completeWaiter(Service& service, std::uint64_t ticketId, tl::expected<AcquiredLink, Refusal> result);
    static void removeWaiter(Service& service, std::uint64_t ticketId) noexcept;
    [[nodiscard]] std::vector<placement::Candidate> candidatesFor(Service& service, const LinkRequirements& requirements);
    [[nodiscard]] Duration crossingCost(std::string_view zone) const;
    void preferZone(Service& service, const LinkRequirements& requirements, std::span<placement::Candidate> candidates);
    void observeRunning(Service& service);
    void updateZoneShares(Service& service);
    void logZoneShares(Service& service);
    [[nodiscard]] std::vector<placement::UpstreamFigures> figuresOf(const Service& service) const;
    [[nodiscard]] std::optional<std::string> leaderOf(const Service& service) const;
    [[nodiscard]] placement::ConnectionShare shareOf(const catalog::UpstreamEntry& entry) const;
    void maintainWarmLinks(const Service& service, UpstreamPool& pool);
    [[nodiscard]] bool needsLinks(std::string_view service);
    [[nodiscard]] bool isLeaderPartitioned(Service& service);
    [[nodiscard]] bool mayWaitForLeader(Service& service);
    [[nodiscard]] bool isLeaderUnreachable(Service& service);
    [[nodiscard]] Duration latencyFor(const Service& service, const LinkRequirements& requirements) const;
    void checkLeader(Service& service, const std::string& upstream);
    void onLeaderStatus(Service& service, const std::string& upstream, const std::optional<UpstreamStatus>& status);
    [[nodiscard]] std::shared_ptr<UpstreamPool> makePool(const catalog::UpstreamEntry& entry);
    void noteRefusal(const Service& service, const LinkRequirements& requirements, QueueRefusal refusal, Duration retryAfter);
    void reportWaiting();
    void tick();

    kernel::Loop& loop;
    LinkFactory& factory;
    catalog::Catalog& catalog;
    Options options;
    std::uint64_t lastTicketId { 0 };
    std::map<std::string, std::shared_ptr<UpstreamPool>, std::less<>> pools; ///< Keyed by upstream id.
    std::map<std::string, Service, std::less<>> services; ///< Entries are never removed, so references to them stay valid.
    std::optional<WaitingReport> report; ///< Unset without metrics.
    load::FleetLoad fleetLoad; ///< Load that the other homes of the services report.
    ReplicaCounts replicaCounts;
    Random random { kernel::randomSeed() };
    Time startedAt;
    kernel::Registration restartReserveTimer;
    kernel::Registration ticker;
};

}

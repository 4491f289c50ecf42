#pragma once

#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/admission/service_times.hpp"
#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/loan.hpp"
#include "amaranthhall/engine/upstream_pool.hpp"
#include "amaranthhall/freshness/replica_lag.hpp"
#include "amaranthhall/freshness/sample_window.hpp"
#include "amaranthhall/leadership/leader_record.hpp"
#include "amaranthhall/placement/connection_share.hpp"
#include "amaranthhall/placement/placement.hpp"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace amaranthhall::engine {

/// @brief What a statement needs of a link.
struct Want {
    std::string requestId;
    std::string service;
    bool needsLeader { false };
    std::optional<group::LogPoint> after; ///< Position that the upstream's log must hold.
    std::string only; ///< The one upstream that will do; empty for any.
    std::vector<std::string> tried; ///< Upstreams where an earlier attempt failed.
    Time target; ///< When it is to be answered; the queue is kept short enough for it.
    Time deadline;
    unsigned priority { 0 };
    admission::StatementClass kind;
    bool mayDetour { false }; ///< Another daemon may run it if this one does not reach the leader.
    const SessionSettings* settings { nullptr };
};

/// @brief Why no link is lent.
struct Refusal {
    std::string_view reason; ///< For the caller and the log.
    bool isLocal { false }; ///< This daemon does not reach the leader; others may.
};

/// @brief Lends links, and queues statements that wait for one.
class Dispatcher {
    struct Service;

public:
    using Granted = std::function<void(tl::expected<Loan, Refusal>)>;

    /// @brief A place in the queue; destroying it leaves the queue.
    class Ticket {
    public:
        Ticket() noexcept = default;
        Ticket(Dispatcher& dispatcher, Service& service, std::uint64_t number) noexcept
            : dispatcher(&dispatcher)
            , service(&service)
            , number(number)
        {
        }
        Ticket(Ticket&& other) noexcept
            : dispatcher(std::exchange(other.dispatcher, nullptr))
            , service(other.service)
            , number(other.number)
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
        std::uint64_t number { 0 };
    };

    /// @brief How a dispatcher is built.
    struct Options {
        std::string zone; ///< Of this daemon.
        Duration upstreamDrainLimit { std::chrono::seconds(6) }; ///< A draining upstream gets statements for so long.
        std::function<std::optional<std::size_t>(std::string_view service)> sharers; ///< Daemons that share the connections of a service, 0 if this one keeps none; nothing while that is not known.
    };

    Dispatcher(kernel::Loop& loop, LinkFactory& factory, catalog::Catalog& catalog, Options options);

    /// @brief Takes in that the catalog has changed.
    void onCatalogChanged();

    /**
     * @brief Asks for a link.
     * @param granted Called once, later than acquire() returns, unless the ticket is destroyed before.
     */
    [[nodiscard]] Ticket acquire(Want want, Granted granted);

    /// @brief Takes in that an upstream led when this daemon or another one asked it, and where its log stood.
    void noteProof(std::string_view service, leadership::LeaderProof proof, freshness::Micros at);

    /// @brief Takes in that this daemon itself has had an answer of a leader.
    void noteReached(std::string_view service, Time now) { this->serviceOf(service).reachedAt = now; }

    /// @brief Tells whether this daemon itself has lately had an answer of a service's leader.
    [[nodiscard]] bool hasReached(std::string_view service, Time now);

    /**
     * @brief Tells whether a leader is known to show all that was acknowledged before its term.
     * @param lastEntry Term of the last entry of its log.
     */
    [[nodiscard]] bool isConfirmed(std::string_view service, std::string_view upstream, group::Term lastEntry);

    /// @brief Takes in that another daemon knows a leader to have caught up in its term.
    void confirmLeader(std::string_view service, const leadership::ConfirmedTerm& confirmation);

    /// @brief Takes in that a term of a service has begun, whoever leads in it.
    void noteTerm(std::string_view service, group::Term term) { this->serviceOf(service).leadership.noteTerm(term); }

    /// @brief Gives the newest term of a service that is known to have begun; 0 if none is.
    [[nodiscard]] group::Term newestTerm(std::string_view service) { return this->serviceOf(service).leadership.newestTerm(); }

    /**
     * @brief Takes in that an upstream which was ordered to lead says that it does, while its registration may not have changed yet.
     * @param version Version of the store that was known when it was ordered.
     */
    void noteClaim(std::string_view service, std::string_view upstream, store::Version version);

    /// @brief Takes in that an upstream refused as one that does not lead.
    void noteNotLeader(std::string_view service, std::string_view upstream, Time askedAt);

    /// @brief Takes in how long a statement took at an upstream; what it took in a queue there is no measure of its work.
    void noteWork(std::string_view service, const admission::StatementClass& kind, Duration taken, const Loan& loan);

    /// @brief Gives the samples of a service.
    [[nodiscard]] const freshness::SampleWindow& samples(std::string_view service);

    /// @brief Tells whether a service's leader does not answer here, or has no room for a connection, while other daemons reach it.
    [[nodiscard]] bool isLeaderOutOfReach(std::string_view service);

    /// @brief Gives the upstream that most probably leads a service; nothing if none is known.
    [[nodiscard]] std::optional<std::string> leader(std::string_view service);

    /// @brief Gives what this daemon has seen of an upstream; nullptr if it is not known.
    [[nodiscard]] std::shared_ptr<UpstreamPool> pool(std::string_view upstream) const;

    /// @brief Gives the last evidence of a service's leader.
    [[nodiscard]] const std::optional<leadership::LeaderProof>& proof(std::string_view service);

    /// @brief Asks an upstream for its status; `done` is called once, unless the ticket is destroyed before.
    [[nodiscard]] Ticket askStatus(const std::string& service, const std::string& upstream, Time deadline, std::function<void(std::optional<UpstreamStatus>)> done);

private:
    struct Waiter {
        std::uint64_t number { 0 };
        Want want;
        Granted granted;
        std::string_view refusal; ///< Set if it was refused on arrival.
        bool isCounted { false }; ///< It had to wait, and its lane counts it.
    };

    struct OrderedClaim {
        std::string upstream;
        store::Version version;
        Time seenAt;
    };

    struct Service {
        std::string name;
        std::vector<std::shared_ptr<UpstreamPool>> pools; ///< In order of their upstreams' ids.
        std::list<Waiter> waiters; ///< The next one to be served first.
        leadership::LeaderRecord leadership;
        std::optional<OrderedClaim> claim; ///< Of an upstream that was ordered to lead.
        freshness::SampleWindow samples;
        std::map<std::string, freshness::ReplicaLag, std::less<>> lags; ///< By upstream.
        std::array<admission::QueueState, 2> lanes; ///< Of statements for any upstream, and for the leader.
        admission::ServiceTimes work;
        std::optional<Time> usedAt; ///< When a statement last asked for a link.
        std::optional<Time> leaderlessSince; ///< Set while no leader can be used.
        std::optional<Time> reachedAt; ///< Last answer of a leader to this daemon.
        Ticket leaderCheck; ///< Set while the leader is asked whether it has caught up.
        kernel::Registration leaderCheckTimer;
        unsigned leaderChecks { 0 }; ///< Questions to the leader since it was last confirmed.
        bool isChecking { false };
        bool isPumping { false };
    };

    [[nodiscard]] Service& serviceOf(std::string_view name);
    void groupPools();
    void cancel(Service& service, std::uint64_t number) noexcept;
    void schedulePump(Service& service);
    void pump(Service& service);
    void serve(Service& service, Waiter& waiter);
    [[nodiscard]] bool mustCheckLeader(Service& service);
    [[nodiscard]] placement::Choice chooseFor(Service& service, const Want& want, std::span<const placement::Candidate> candidates);
    static void count(Service& service, Waiter& waiter);
    void use(Service& service, Waiter& waiter, UpstreamPool& pool, placement::Choice::Step step);
    [[nodiscard]] bool isDrained(std::string_view upstream) const;
    void finish(Service& service, std::uint64_t number, tl::expected<Loan, Refusal> result);
    void leave(Service& service, std::list<Waiter>::iterator waiter) noexcept;
    [[nodiscard]] std::vector<placement::Candidate> candidatesFor(Service& service, const Want& want);
    [[nodiscard]] std::optional<std::string> leaderOf(const Service& service) const;
    [[nodiscard]] placement::ConnectionShare shareOf(const catalog::UpstreamEntry& entry) const;
    void keepWarm(const Service& service, UpstreamPool& pool);
    [[nodiscard]] bool holdsLinks(std::string_view service);
    [[nodiscard]] bool isLeaderCutOff(Service& service);
    [[nodiscard]] bool mayWaitForLeader(Service& service);
    [[nodiscard]] bool isOutOfReach(Service& service);
    [[nodiscard]] Duration latencyFor(const Service& service, const Want& want) const;
    void checkLeader(Service& service, const std::string& upstream);
    void onLeaderStatus(Service& service, const std::string& upstream, const std::optional<UpstreamStatus>& status);
    [[nodiscard]] std::shared_ptr<UpstreamPool> makePool(const catalog::UpstreamEntry& entry);
    void tick();

    kernel::Loop& loop;
    LinkFactory& factory;
    catalog::Catalog& catalog;
    Options options;
    std::uint64_t lastNumber { 0 };
    std::map<std::string, std::shared_ptr<UpstreamPool>, std::less<>> pools; ///< By upstream.
    std::map<std::string, Service, std::less<>> services; ///< None is ever dropped.
    kernel::Registration ticker;
};

}

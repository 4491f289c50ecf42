#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/candidate_selection.hpp"
#include "amaranthhall/succession/failover_lease.hpp"
#include "amaranthhall/succession/failover_policy.hpp"
#include "amaranthhall/succession/lease_keeper.hpp"
#include "amaranthhall/succession/order_tracker.hpp"
#include "amaranthhall/succession/promoter.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthhall::succession {

/**
 * @brief Promotes a replica when the primary of a service fails or drains.
 *
 * For each service one daemon is in charge: the holder of the failover lease, a row of the store. The fencing token of
 * its promotion requests is derived from the version of that row. If the holder does not act, another daemon takes the lease over by a
 * conditional write.
 */
class SuccessionService {
public:
    /// @brief Components used by the service.
    struct Parts {
        kernel::Loop& loop;
        catalog::Catalog& catalog;
        engine::Dispatcher& dispatcher;
        store::Store& store;
        store::TableWatch& fleet; ///< Table that contains the lease rows.
        gossip::PeerRegistry& peers;
        Promoter& promoter;
        std::function<const std::vector<std::string>&(const std::string& service)> group; ///< Daemons with connections to a service, including this one.
        std::function<const std::set<std::string>&()> registered; ///< Names of all other daemons that are registered in the store, heard of or not.
        std::function<const std::vector<std::string>&()> served; ///< Sorted names of the services to which this daemon has connections.
    };

    /// @brief Identity and location of this daemon.
    struct Options {
        DaemonIdentity self;
        std::string zone;
        std::string table; ///< Name of the table that contains the lease rows.
        FenceCheck fenceCheck { FenceCheck::Present };
    };

    /// @param requestGossip Called when there is new information to send to peers without delay.
    SuccessionService(Parts parts, Options options, std::function<void()> requestGossip);

    /// @brief Returns the pending orders of services with synchronous replicas.
    [[nodiscard]] OrderTracker& pendingOrders() noexcept { return this->orders; }

    /// @brief Adds this daemon's suspicions and the recent promotion requests to a digest.
    void fill(gossip::Digest& digest, const freshness::StoreClock& clock);

    /// @brief Merges suspicions and promotion requests from another daemon's digest.
    void mergeDigest(const gossip::Digest& digest, const freshness::StoreClock& clock);

private:
    enum class Stage : std::uint8_t {
        Monitoring, ///< No operation is in progress.
        AcquiringLease, ///< A conditional write of the lease row is in progress.
        QueryingCandidates, ///< Candidates are queried for their log positions.
        Preparing, ///< The candidate of a service with synchronous replicas is announced, and catches up.
        Promoting, ///< A promotion request is in progress.
    };

    /// Latest accepted or reported promotion request.
    struct KnownPromotion {
        std::string candidate;
        store::Version leaseVersion; ///< Version from which its fencing token is derived.
        Time at;
        bool isOwn { false }; ///< This daemon sent it.
        bool isLeading { false }; ///< The candidate reported that it leads.
        group::Term term { 0 }; ///< Term in which it leads; 0 while it does not.
    };

    /// What happens between the choice of a candidate and its promotion, for a service with synchronous replicas.
    struct Preparation {
        std::string candidate;
        store::Version leaseVersion;
        Time startedAt;
        std::set<std::string> confirmedBy; ///< Daemons that have told that they know of the order, and hold back commits that its candidate lacks.
        std::optional<group::LogPoint> required; ///< Position that the candidate must reach; known once the daemons hold back commits.
        bool givesUpReplicas { false }; ///< As decided when the candidate was chosen.
    };

    /// Failover state of one service.
    struct ServiceState {
        Stage stage { Stage::Monitoring };
        std::optional<Suspicion> suspicion;
        std::string observedPrimary; ///< Leader at the latest check.
        FailoverCause cause { FailoverCause::None };
        Time causeSince;
        std::optional<KnownPromotion> promotion;
        engine::Dispatcher::Ticket candidateQuery; ///< Set while the requested candidate is queried whether it leads.
        Time candidateQueriedAt;
        std::vector<PromotionCandidate> candidates; ///< That answered.
        std::size_t queriedCandidates { 0 }; ///< Number of those that were asked.
        std::optional<engine::UpstreamStatus> primaryStatus; ///< Answer of the primary, which is asked for services with synchronous replicas.
        std::optional<Time> unselectedSince; ///< Since when no candidate of a service with synchronous replicas could be chosen.
        std::optional<Preparation> preparation;
        std::vector<engine::Dispatcher::Ticket> statusQueries;
        std::map<std::string, Time> refusedCandidates; ///< Time of the platform's refusal by candidate.
        std::uint64_t lastRenewal { 0 }; ///< Number of the renewal of the lease that is awaited, if any.
        unsigned failedOrders { 0 }; ///< Consecutive requests that got no answer or were not accepted; the lease is then left to expire.
        std::optional<Time> unsettledSince; ///< Since when the primary serves while an older order may replace it.
        bool needsNewToken { false }; ///< The platform refused a request with the current fencing token.
        unsigned failedSelections { 0 }; ///< Number of consecutive selections without an eligible candidate.
        std::optional<Time> supersededSince; ///< Start of the period in which only upstreams that missed the last term have answered.
        bool isRowBeingWritten { false }; ///< An update of the lease row is in progress.
        Time nextRowWriteAt;
        Time retryAt; ///< No action is taken before this time.
        kernel::Registration queryTimer;
    };

    /// Suspicion reported by a peer.
    struct PeerSuspicion {
        std::string upstream;
        Time heardAt;
    };

    [[nodiscard]] std::vector<std::string> livePeersOf(const std::string& service) const;
    void tick();
    void rewriteLease(const std::string& service, ServiceState& state);
    void acquireLease(const std::string& service, std::function<void(const store::Version& leaseVersion)> onAcquired);
    void checkPrimary(const std::string& service, ServiceState& state);
    [[nodiscard]] FailoverInput collectInput(const std::string& service, const std::string& leader, ServiceState& state) const;
    [[nodiscard]] bool shouldAct(const std::string& service, const ServiceState& state, Time causeSince) const;
    [[nodiscard]] bool isHeldByOther(const std::string& service, const ServiceState& state) const;
    [[nodiscard]] std::string holderName(const std::string& service) const;
    void queryRequestedCandidate(const std::string& service, ServiceState& state);
    void onCandidateStatus(const std::string& service, const std::optional<engine::UpstreamStatus>& status);
    [[nodiscard]] group::Term newestTerm(const std::string& service) const;
    void updateRow(const std::string& service, ServiceState& state);
    [[nodiscard]] std::vector<PromotionCandidate> eligibleCandidates(const std::string& service, ServiceState& state);
    void onNoCandidate(const std::string& service, ServiceState& state) const;
    void takeOver(const std::string& service);
    void renewLease(const std::string& service, const store::Version& leaseVersion, std::function<void(const store::Version&)> onHeld);
    void queryCandidates(const std::string& service, store::Version leaseVersion);
    void queryPositions(const std::string& service, std::function<void()> onAnswered);
    [[nodiscard]] bool hasSynchronousReplicas(const std::string& service) const;
    [[nodiscard]] SelectionInput selectionInput(const std::string& service, const ServiceState& state, std::span<const PromotionCandidate> answered) const;
    void selectSynchronousCandidate(const std::string& service);
    void prepare(const std::string& service, Preparation preparation);
    void announce(const std::string& service, KnownPromotion promotion);
    void withdrawAnnouncement(const std::string& service);
    void recordOrder(const std::string& service, const Selection& selection);
    void voidOlderOrders(const std::string& service, ServiceState& state);
    void orderPrimaryAgain(const std::string& service);
    void mergePendingOrders(const gossip::Digest& digest);
    [[nodiscard]] std::set<std::string> possibleHomes(const std::string& service) const;
    void awaitConfirmations(const std::string& service);
    void determineRequiredPoint(const std::string& service);
    void awaitCandidate(const std::string& service);
    void orderPrepared(const std::string& service);
    void cancelPreparation(const std::string& service, std::string_view reason);
    void sendOrder(const std::string& service, const std::string& candidate, const store::Version& leaseVersion);
    void requestPromotion(const std::string& service, store::Version leaseVersion);
    void onPromotionResult(const std::string& service, const PromotionRequest& request, const store::Version& leaseVersion, PromotionOutcome outcome);
    void onOrderFailed(const std::string& service);
    void addFallbackCandidates(const std::string& service, ServiceState& state) const;

    Parts parts;
    Options options;
    std::function<void()> requestGossip;
    LeaseKeeper leases;
    OrderTracker orders;
    std::map<std::string, ServiceState> serviceStates;
    std::map<std::pair<std::string, std::string>, PeerSuspicion> peerSuspicions; ///< By service and VM.
    Time lastTickAt;
    Time resumedAt;
    kernel::Registration tickTimer;
};

}

#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_book.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/failover_lease.hpp"
#include "amaranthhall/succession/failover_policy.hpp"
#include "amaranthhall/succession/promoter.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::succession {

/**
 * @brief Replaces primaries that are down or leave.
 *
 * For each service one daemon holds the duty: it is named by a row of the store, and the row's version is the fence
 * of its orders. Another daemon takes the duty over by a conditional write when the holder does not act.
 *
 * When the store came back from a copy, the row may be an old one or be gone. A holder holds a duty in the era only in which it wrote the row: it writes it
 * again, and gets a new fence. Others leave a duty that they saw held alone for as long as after its taking.
 */
class SuccessionService {
public:
    /// @brief What the service works with.
    struct Parts {
        kernel::Loop& loop;
        catalog::Catalog& catalog;
        engine::Dispatcher& dispatcher;
        store::Store& store;
        store::TableWatch& fleet; ///< Table with the rows of the duties.
        gossip::PeerBook& peers;
        Promoter& promoter;
        std::function<const std::vector<std::string>&(const std::string& service)> group; ///< Daemons, this one among them, that have links to a service.
        std::function<const std::vector<std::string>&()> served; ///< Services to which this daemon has links, in order.
    };

    /// @brief How a service is built.
    struct Options {
        DaemonIdentity self;
        std::string zone;
        std::string table; ///< Of the rows of the duties.
    };

    SuccessionService(Parts parts, Options options, std::function<void()> requestGossip);

    /// @brief Puts own suspicions and known orders into a digest.
    void fill(gossip::Digest& digest, const freshness::StoreClock& clock) const;

    /// @brief Takes in what another daemon tells.
    void mergeDigest(const gossip::Digest& digest, const freshness::StoreClock& clock);

private:
    enum class Stage : std::uint8_t {
        Monitoring,
        AcquiringLease, ///< A conditional write is under way.
        QueryingCandidates, ///< Replicas are asked for their positions.
        Promoting, ///< An order is under way.
    };

    struct KnownPromotion {
        std::string candidate;
        store::Version leaseVersion;
        Time at;
        bool isOwn { false }; ///< This daemon gave it.
        bool isLeading { false }; ///< The candidate says that it leads.
        group::Term term { 0 }; ///< In which it leads; 0 while it does not.
    };

    struct ServiceState {
        Holder holder { Holder::None }; ///< Of the era before, while a new one is taken up.
        Stage stage { Stage::Monitoring };
        std::optional<Suspicion> suspicion;
        std::string observedPrimary;
        FailoverCause cause { FailoverCause::None };
        Time causeSince;
        std::optional<KnownPromotion> promotion;
        engine::Dispatcher::Ticket candidateQuery; ///< Set while the ordered candidate is asked whether it leads.
        Time candidateQueriedAt;
        std::vector<PromotionCandidate> candidates;
        std::vector<engine::Dispatcher::Ticket> statusQueries;
        std::map<std::string, Time> refusedCandidates; ///< Candidates that the platform refused, and when.
        bool needsNewToken { false }; ///< The fence held was refused.
        unsigned failedSelections { 0 }; ///< Times in a row that no upstream could be ordered.
        std::optional<Time> supersededSince; ///< Since when only upstreams that missed the last term have answered.
        group::Term termBeingWritten { 0 }; ///< Term that is being written into the duty's row.
        Time nextTermWriteAt;
        Time retryAt;
        kernel::Registration queryTimer;
    };

    struct PeerSuspicion {
        std::string upstream;
        Time heardAt;
    };

    [[nodiscard]] std::vector<std::string> livePeersOf(const std::string& service) const;
    void tick();
    void updateEra(Time now);
    void updateHolder(const std::string& service, ServiceState& state) const;
    void rewriteLease(const std::string& service, ServiceState& state);
    void writeLease(const std::string& service, std::function<void(const store::Version& leaseVersion)> onWritten);
    void checkPrimary(const std::string& service, ServiceState& state);
    [[nodiscard]] FailoverInput collectInput(const std::string& service, const std::string& leader, ServiceState& state) const;
    [[nodiscard]] bool shouldAct(const std::string& service, const ServiceState& state) const;
    [[nodiscard]] std::optional<store::Version> heldLeaseVersion(const std::string& service) const;
    [[nodiscard]] bool isHeldByOther(const std::string& service, const ServiceState& state) const;
    [[nodiscard]] std::string holderName(const std::string& service) const;
    void queryRequestedCandidate(const std::string& service, ServiceState& state);
    void onCandidateStatus(const std::string& service, const std::optional<engine::UpstreamStatus>& status);
    [[nodiscard]] group::Term newestTerm(const std::string& service) const;
    void writeTerm(const std::string& service, ServiceState& state);
    [[nodiscard]] std::vector<PromotionCandidate> eligibleCandidates(const std::string& service, ServiceState& state);
    void onNoCandidate(const std::string& service, ServiceState& state) const;
    void takeOver(const std::string& service);
    void queryCandidates(const std::string& service, store::Version leaseVersion);
    void requestPromotion(const std::string& service, store::Version leaseVersion);
    void onPromotionResult(const std::string& service, const PromotionRequest& request, const store::Version& leaseVersion, PromotionOutcome outcome);
    void addFallbackCandidates(const std::string& service, ServiceState& state) const;

    Parts parts;
    Options options;
    std::function<void()> requestGossip;
    std::map<std::string, ServiceState> serviceStates;
    std::map<std::pair<std::string, std::string>, PeerSuspicion> peerSuspicions; ///< By service and VM.
    Time lastTickAt;
    Time resumedAt;
    store::Era currentEra { 0 };
    EraChange eraChange;
    kernel::Registration tickTimer;
};

}

#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/duty.hpp"
#include "amaranthhall/succession/judgement.hpp"
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
        gossip::PeerRegistry& peers;
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

    SuccessionService(Parts parts, Options options, std::function<void()> newsToTell);

    /// @brief Puts own suspicions and known orders into a digest.
    void fill(gossip::Digest& digest, const freshness::StoreClock& clock) const;

    /// @brief Takes in what another daemon tells.
    void take(const gossip::Digest& digest, const freshness::StoreClock& clock);

private:
    enum class Stage : std::uint8_t {
        Watching,
        TakingOver, ///< A conditional write is under way.
        Asking, ///< Replicas are asked for their positions.
        Ordering, ///< An order is under way.
    };

    struct KnownOrder {
        std::string candidate;
        store::Version fence;
        Time at;
        bool isOwn { false }; ///< This daemon gave it.
        bool isLeading { false }; ///< The candidate says that it leads.
        group::Term term { 0 }; ///< In which it leads; 0 while it does not.
    };

    struct Duty {
        Holder holder { Holder::None }; ///< Of the era before, while a new one is taken up.
        Stage stage { Stage::Watching };
        std::optional<Suspicion> suspicion;
        std::string suspect;
        Cause cause { Cause::None };
        Time causeSince;
        std::optional<KnownOrder> order;
        engine::Dispatcher::Ticket heirQuestion; ///< Set while the ordered candidate is asked whether it leads.
        Time heirAskedAt;
        std::vector<Heir> heirs;
        std::vector<engine::Dispatcher::Ticket> questions;
        std::map<std::string, Time> refusedHeirs; ///< Candidates that the platform refused, and when.
        bool needsFence { false }; ///< The fence held was refused.
        unsigned fruitlessAsks { 0 }; ///< Times in a row that no upstream could be ordered.
        std::optional<Time> supersededSince; ///< Since when only upstreams that missed the last term have answered.
        group::Term recording { 0 }; ///< Term that is being written into the duty's row.
        Time recordAgainAt;
        Time pauseUntil;
        kernel::Registration timer;
    };

    struct PeerSuspicion {
        std::string upstream;
        Time heardAt;
    };

    [[nodiscard]] std::vector<std::string> liveOthers(const std::string& service) const;
    void tick();
    void watchEra(Time now);
    void noteHolder(const std::string& service, Duty& duty) const;
    void holdAgain(const std::string& service, Duty& duty);
    void writeHolder(const std::string& service, std::function<void(const store::Version& fence)> written);
    void watch(const std::string& service, Duty& duty);
    [[nodiscard]] Situation situationOf(const std::string& service, const std::string& leader, Duty& duty) const;
    [[nodiscard]] bool isTimeToAct(const std::string& service, const Duty& duty) const;
    [[nodiscard]] std::optional<store::Version> heldFence(const std::string& service) const;
    [[nodiscard]] bool isHeldByAnother(const std::string& service, const Duty& duty) const;
    [[nodiscard]] std::string holderName(const std::string& service) const;
    void askOrderedHeir(const std::string& service, Duty& duty);
    void onHeirStatus(const std::string& service, const std::optional<engine::UpstreamStatus>& status);
    [[nodiscard]] group::Term newestTerm(const std::string& service) const;
    void recordTerm(const std::string& service, Duty& duty);
    [[nodiscard]] std::vector<Heir> eligibleHeirs(const std::string& service, Duty& duty);
    void onNoHeir(const std::string& service, Duty& duty) const;
    void takeOver(const std::string& service);
    void askHeirs(const std::string& service, store::Version fence);
    void order(const std::string& service, store::Version fence);
    void onOrdered(const std::string& service, const PromotionOrder& sent, const store::Version& fence, OrderOutcome outcome);
    void addFallbackHeirs(const std::string& service, Duty& duty) const;

    Parts parts;
    Options options;
    std::function<void()> newsToTell;
    std::map<std::string, Duty> duties;
    std::map<std::pair<std::string, std::string>, PeerSuspicion> peerSuspicions; ///< By service and VM.
    Time tickedAt;
    Time wokenAt;
    store::Era knownEra { 0 };
    EraNews eraNews;
    kernel::Registration ticker;
};

}

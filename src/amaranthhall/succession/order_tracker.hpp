#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/promotion_candidates.hpp"
#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/lease_keeper.hpp"
#include "amaranthhall/succession/pending_orders.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::succession {

/**
 * @brief Time after which what a daemon knows of pending orders is too old to go by.
 *
 * A daemon that records an order waits for this time unless all others have told that they know of it. Meanwhile those that it does not reach, or that do not
 * reach it, find that their knowledge is too old, and wait for all upstreams of the service.
 */
inline constexpr Duration orderKnowledgeLifetime = std::chrono::seconds(1);

/// @brief Knows the pending orders of all services, from the rows of their leases, from what other daemons tell and from the answers to this daemon's orders.
class OrderTracker final : public engine::PromotionCandidateSource {
public:
    /// @brief Components used by the tracker.
    struct Parts {
        kernel::Loop& loop;
        const catalog::Catalog& catalog;
        store::Store& store;
        store::TableWatch& fleet; ///< Table that contains the rows of leases.
        const LeaseKeeper& leases;
        std::function<const std::set<std::string>&()> registered; ///< Names of all other daemons that are registered in the store; any of them may hold a lease.
    };

    OrderTracker(Parts parts, FenceCheck check);

    /// @brief Takes over the pending orders in a lease's row if they are newer than the known ones; returns the newest known.
    const PendingOrders& refresh(const std::string& service);

    /// @brief Returns the pending orders with another one, for the row that records it.
    [[nodiscard]] std::vector<PendingOrder> with(const std::string& service, const std::string& candidate);

    /// @brief Records that the platform has accepted an order of this daemon.
    void accept(const std::string& service, const store::Version& fence);

    /// @brief Records that an order of this daemon was not sent or was refused.
    void withdraw(const std::string& service, const store::Version& fence);

    /// @brief Removes the orders by which no takeover can be under way any more.
    void settle(const std::string& service);

    /// @brief Returns whether a pending order may still be carried out that an order under a newer fence would make void.
    [[nodiscard]] bool needsNewerOrder(const std::string& service);

    /**
     * @copydoc engine::PromotionCandidateSource::candidatesOf
     *
     * What this daemon knows of the orders may be too old, as when it has just started or is cut off. Any upstream of the service may be promoted then.
     */
    [[nodiscard]] engine::PromotionCandidates candidatesOf(const std::string& service) override;

    /// @brief Returns the number of pending orders of all services.
    [[nodiscard]] std::size_t count() const noexcept;

    /// @brief Adds the pending orders to a digest, and for a time those of services that have none any more.
    void fill(gossip::Digest& digest);

    /// @brief Takes over what another daemon knows; returns whether any of it is newer than what this one knew.
    bool merge(const gossip::Digest& digest);

private:
    struct KnownOrders {
        PendingOrders pending;
        Time changedAt; ///< When this daemon learned of the version, or that an order is not pending any more.
    };

    bool note(const std::string& service, const PendingOrders& pending, std::string_view source);
    void noteChange(const std::string& service, std::string_view source);
    [[nodiscard]] bool hasSynchronousReplicas();
    [[nodiscard]] freshness::Micros knownUpTo() const;
    [[nodiscard]] bool isCurrent();
    [[nodiscard]] std::vector<std::string> availableCandidates(const std::vector<PendingOrder>& orders) const;

    Parts parts;
    FenceCheck fenceCheck;
    Time startedAt;
    std::optional<Time> firstCurrentAt; ///< When this daemon first knew all orders since it started.
    std::map<std::string, freshness::Micros, std::less<>> toldUpTo; ///< Store time up to which other daemons have told their orders, by VM.
    std::shared_ptr<const catalog::Configuration> checkedConfiguration;
    bool isUsed { false }; ///< A service of the checked configuration has synchronous replicas.
    std::map<std::string, KnownOrders> services;
};

}

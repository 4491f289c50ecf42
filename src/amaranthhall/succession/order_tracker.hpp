#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/promotion_candidates.hpp"
#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/lease_keeper.hpp"
#include "amaranthhall/succession/pending_orders.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::succession {

/// @brief Knows the pending orders of all services, from the rows of their leases, from what other daemons tell and from the answers to this daemon's orders.
class OrderTracker final : public engine::PromotionCandidateSource {
public:
    /// @brief Components used by the tracker.
    struct Parts {
        kernel::Loop& loop;
        const catalog::Catalog& catalog;
        store::TableWatch& fleet; ///< Table that contains the rows of leases.
        const LeaseKeeper& leases;
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
     * A daemon that has not read the store since it started does not know the orders; any upstream may be promoted then.
     */
    [[nodiscard]] engine::PromotionCandidates candidatesOf(const std::string& service) override;

    /// @brief Returns the number of pending orders of all services.
    [[nodiscard]] std::size_t count() const noexcept;

    /// @brief Adds the pending orders to a digest, and for a time those of services that have none any more.
    void fill(gossip::Digest& digest) const;

    /// @brief Takes over what another daemon knows of a service; returns whether it is newer than what this one knew.
    bool merge(const gossip::PendingOrdersReport& report, std::string_view vm);

private:
    struct KnownOrders {
        PendingOrders pending;
        Time changedAt; ///< When this daemon learned of the version, or that an order is not pending any more.
    };

    bool note(const std::string& service, const PendingOrders& pending, std::string_view source);
    void noteChange(const std::string& service, std::string_view source);
    [[nodiscard]] std::optional<Time> currentSince();
    [[nodiscard]] std::vector<std::string> availableCandidates(const std::vector<PendingOrder>& orders) const;

    Parts parts;
    FenceCheck fenceCheck;
    Time startedAt;
    std::optional<Time> firstCurrentAt; ///< When this daemon had first had the rows of all leases since it started.
    std::map<std::string, KnownOrders> services;
};

}

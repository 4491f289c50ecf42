#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/store/store.hpp"
#include "amaranthhall/store/table_watch.hpp"
#include "amaranthhall/succession/lease_keeper.hpp"
#include "amaranthhall/succession/pending_orders.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::succession {

/// @brief Knows the pending orders of all services, from the rows of their leases and from what other daemons tell.
class OrderTracker {
public:
    /// @brief Components used by the tracker.
    struct Parts {
        kernel::Loop& loop;
        const catalog::Catalog& catalog;
        store::Store& store;
        store::TableWatch& fleet; ///< Table that contains the rows of leases.
        const LeaseKeeper& leases;
    };

    explicit OrderTracker(Parts parts);

    /// @brief Takes over the pending orders in a lease's row if they are newer than the known ones; returns the newest known.
    const PendingOrders& refresh(const std::string& service);

    /**
     * @brief Returns the upstreams of a service that a pending order may promote.
     *
     * A daemon that has not read the store since it started does not know the orders; any upstream may be promoted then.
     */
    [[nodiscard]] std::vector<std::string> candidatesOf(const std::string& service);

    /// @brief Returns the number of pending orders of all services.
    [[nodiscard]] std::size_t count() const noexcept;

    /// @brief Adds the pending orders to a digest.
    void fill(gossip::Digest& digest) const;

    /// @brief Takes over what another daemon knows of a service; returns whether it is newer than what this one knew.
    bool merge(const gossip::PendingOrdersReport& report, std::string_view vm);

private:
    bool note(const std::string& service, const PendingOrders& pending, std::string_view source);
    [[nodiscard]] bool isCurrent() const;

    Parts parts;
    Time startedAt;
    std::map<std::string, PendingOrders> pendingOrders; ///< By service.
};

}

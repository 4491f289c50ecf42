#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/store/version.hpp"

#include <string>
#include <vector>

namespace amaranthhall::succession {

/// @brief An order to promote an upstream that was sent, or is about to be, and that can't be called back: the platform may carry it out at any later time.
struct PendingOrder {
    std::string candidate;
    store::Version fence; ///< Version of the lease's row under which it is sent.
    freshness::Micros recordedAt { 0 }; ///< Store time at which it was recorded.

    friend bool operator==(const PendingOrder&, const PendingOrder&) = default;
};

/**
 * @brief The pending orders of a service with synchronous replicas, as a version of its lease's row records them.
 *
 * The row records an order before it is sent, so that no daemon can miss it: a daemon that starts reads the row, and the next holder of the lease carries the list
 * on. Datagrams tell the same, sooner.
 */
struct PendingOrders {
    store::Version version; ///< Version of the row.
    std::vector<PendingOrder> orders;

    friend bool operator==(const PendingOrders&, const PendingOrders&) = default;
};

/// @brief Replaces the known orders by those of a newer version; returns whether it is newer.
bool update(PendingOrders& known, const PendingOrders& other);

/// @brief Adds an order beside those for other candidates; it takes the place of an older one for the same candidate. Removes orders that are too old to be carried out.
void add(std::vector<PendingOrder>& orders, PendingOrder order);

/// @brief Returns the upstreams that may become the primary by a pending order, each once.
[[nodiscard]] std::vector<std::string> candidatesOf(const PendingOrders& pending, freshness::Micros now);

}

#pragma once

#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/store/version.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::succession {

/// @brief An order to promote an upstream that was sent, or is about to be, and that can't be called back: the platform may carry it out at any later time.
struct PendingOrder {
    std::string candidate;
    store::Version fence; ///< Version of the lease's row under which it is sent.

    friend bool operator==(const PendingOrder&, const PendingOrder&) = default;
};

/// @brief An order that the platform has accepted: it was carried out, and every order under an older fence is void.
struct AcceptedOrder {
    store::Version fence;
    Time at; ///< When the answer was received.
};

/// @brief Whether the platform refuses an order whose fence is older than one that it has seen.
enum class FenceCheck : bool {
    Absent,
    Present,
};

/// @brief Time from the execution of an order until its candidate leads; afterwards no takeover is under way. The platform promises some hundred milliseconds.
inline constexpr Duration takeoverLimit = std::chrono::seconds(2);

/**
 * @brief The pending orders of a service with synchronous replicas, as a version of its lease's row records them.
 *
 * The row records an order before it is sent, so that no daemon can miss it: a daemon that starts reads the row, and the next holder of the lease carries the list
 * on. Datagrams tell the same, sooner. An order is pending until the platform has refused it, or has accepted it or one under a newer fence and no takeover can be
 * under way; no order is forgotten because of its age.
 */
struct PendingOrders {
    store::Version version; ///< Version of the row.
    std::vector<PendingOrder> orders;
    std::optional<AcceptedOrder> accepted; ///< The newest one, if this daemon sent it.
};

/// @brief Replaces the known orders by those of a newer version; returns whether it is newer. A newer era adds to them, as a restored backup of the store may lack some.
bool update(PendingOrders& known, const PendingOrders& other);

/**
 * @brief Adds an order beside those that are pending.
 *
 * Of several older ones for the same candidate, the newest stands for all, as whatever makes it void makes the others void too. It is kept beside the added one, which
 * may yet be withdrawn.
 */
void add(std::vector<PendingOrder>& orders, PendingOrder order);

/// @brief Removes an order that was not sent, or that the platform has refused; returns whether it was pending.
bool withdraw(PendingOrders& pending, const store::Version& fence);

/// @brief Records that the platform has accepted an order.
void accept(PendingOrders& pending, const AcceptedOrder& accepted);

/// @brief Removes the orders that were accepted or made void so long ago that no takeover can be under way; returns whether there were any.
bool settle(PendingOrders& pending, FenceCheck check, Time now);

/// @brief Returns whether a pending order may be carried out that an order under a newer fence would make void.
[[nodiscard]] bool needsNewerOrder(const PendingOrders& pending, FenceCheck check);

/// @brief Returns the upstreams that may become the primary by a pending order, each once.
[[nodiscard]] std::vector<std::string> candidatesOf(const std::vector<PendingOrder>& orders);

}

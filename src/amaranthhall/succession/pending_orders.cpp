#include "amaranthhall/succession/pending_orders.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace amaranthhall::succession {

namespace {

    constexpr freshness::Micros orderLifetime = std::chrono::microseconds(std::chrono::seconds(10)).count(); // an order without an answer may still be carried out seconds later

    bool isExpired(const PendingOrder& order, freshness::Micros now)
    {
        return now - order.recordedAt >= orderLifetime;
    }

}

bool update(PendingOrders& known, const PendingOrders& other)
{
    if (other.version <= known.version)
        return false;
    known = other;
    return true;
}

void add(std::vector<PendingOrder>& orders, PendingOrder order)
{
    std::erase_if(orders, [&](const auto& other) { return other.candidate == order.candidate || isExpired(other, order.recordedAt); });
    orders.push_back(std::move(order));
}

std::vector<std::string> candidatesOf(const PendingOrders& pending, freshness::Micros now)
{
    std::vector<std::string> candidates;
    for (const auto& order : pending.orders) {
        if (!isExpired(order, now))
            candidates.push_back(order.candidate);
    }
    return candidates;
}

}

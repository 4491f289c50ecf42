#include "amaranthhall/succession/pending_orders.hpp"

#include <algorithm>
#include <chrono>

namespace amaranthhall::succession {

namespace {

    constexpr freshness::Micros orderLifetime = std::chrono::microseconds(std::chrono::seconds(10)).count(); // an order without an answer may still be carried out seconds later

}

bool update(PendingOrders& known, const PendingOrders& other)
{
    if (other.version <= known.version)
        return false;
    known = other;
    return true;
}

std::vector<std::string> candidatesOf(const PendingOrders& pending, freshness::Micros now)
{
    std::vector<std::string> candidates;
    for (const auto& order : pending.orders) {
        const bool isKnown = std::find(candidates.begin(), candidates.end(), order.candidate) != candidates.end();
        if (!isKnown && now - order.recordedAt < orderLifetime)
            candidates.push_back(order.candidate);
    }
    return candidates;
}

}

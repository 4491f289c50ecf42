#include "amaranthhall/succession/pending_orders.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthhall::succession {

bool update(PendingOrders& known, const PendingOrders& other)
{
    if (other.version <= known.version)
        return false;
    auto orders = other.orders;
    if (other.version.era > known.version.era)
        std::copy_if(known.orders.begin(), known.orders.end(), std::back_inserter(orders), [&other](const auto& order) { return std::find(other.orders.begin(), other.orders.end(), order) == other.orders.end(); });
    known.version = other.version;
    known.orders = std::move(orders);
    return true;
}

void add(std::vector<PendingOrder>& orders, PendingOrder order)
{
    const auto isOutdated = [known = orders](const auto& other) {
        return std::any_of(known.begin(), known.end(), [&other](const auto& newer) { return newer.candidate == other.candidate && newer.fence > other.fence; });
    };
    std::erase_if(orders, isOutdated);
    orders.push_back(std::move(order));
}

bool withdraw(PendingOrders& pending, const store::Version& fence)
{
    return std::erase_if(pending.orders, [&fence](const auto& order) { return order.fence == fence; }) > 0;
}

void accept(PendingOrders& pending, const AcceptedOrder& accepted)
{
    if (!pending.accepted || pending.accepted->fence < accepted.fence)
        pending.accepted = accepted;
}

bool settle(PendingOrders& pending, FenceCheck check, Time now)
{
    if (!pending.accepted || now - pending.accepted->at < takeoverLimit)
        return false;
    const auto fence = std::exchange(pending.accepted, std::nullopt)->fence;
    const auto isSettled = [&](const auto& order) { return check == FenceCheck::Present ? order.fence <= fence : order.fence == fence; };
    return std::erase_if(pending.orders, isSettled) > 0;
}

bool needsNewerOrder(const PendingOrders& pending, FenceCheck check)
{
    const auto isPending = [&pending](const auto& order) { return !pending.accepted || order.fence > pending.accepted->fence; };
    return check == FenceCheck::Present && std::any_of(pending.orders.begin(), pending.orders.end(), isPending);
}

std::vector<std::string> candidatesOf(const std::vector<PendingOrder>& orders)
{
    std::vector<std::string> candidates;
    for (const auto& order : orders) {
        if (std::find(candidates.begin(), candidates.end(), order.candidate) == candidates.end())
            candidates.push_back(order.candidate);
    }
    return candidates;
}

}

#include "amaranthhall/succession/order_tracker.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/telemetry/log.hpp"

namespace amaranthhall::succession {

namespace {

    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr std::string_view rowSource = "store";

    std::string namesOf(const PendingOrders& pending)
    {
        std::string names;
        for (const auto& order : pending.orders)
            names += (names.empty() ? "" : ",") + order.candidate;
        return names;
    }

    gossip::PendingOrdersReport toReport(const std::string& service, const PendingOrders& pending)
    {
        gossip::PendingOrdersReport report { .service = service, .version = pending.version };
        for (const auto& order : pending.orders)
            report.orders.push_back({ .candidate = order.candidate, .fence = order.fence, .recordedAt = order.recordedAt });
        return report;
    }

    PendingOrders fromReport(const gossip::PendingOrdersReport& report)
    {
        PendingOrders pending { .version = report.version };
        for (const auto& order : report.orders)
            pending.orders.push_back({ .candidate = order.candidate, .fence = order.fence, .recordedAt = order.recordedAt });
        return pending;
    }

}

OrderTracker::OrderTracker(Parts usedParts)
    : parts(usedParts)
    , startedAt(usedParts.loop.now())
{
}

const PendingOrders& OrderTracker::refresh(const std::string& service)
{
    const auto& known = this->pendingOrders[service];
    if (this->parts.leases.rowVersion(service) > known.version)
        this->note(service, this->parts.leases.pendingOrders(service), rowSource);
    return known;
}

/// Takes over pending orders if they are newer than the known ones; returns whether they are.
bool OrderTracker::note(const std::string& service, const PendingOrders& pending, std::string_view source)
{
    auto& known = this->pendingOrders[service];
    const bool isOfInterest = !known.orders.empty() || !pending.orders.empty();
    if (!update(known, pending))
        return false;
    if (isOfInterest)
        logEvent(LogLevel::Info, "succession.orders_pending", { { "service", service }, { "candidates", namesOf(known) }, { "version", store::formatVersion(known.version) }, { "source", source } });
    return true;
}

/// Returns whether this daemon has had the rows of all leases since it started.
bool OrderTracker::isCurrent() const
{
    const auto age = this->parts.fleet.age();
    return age && *age <= this->parts.loop.now() - this->startedAt;
}

std::vector<std::string> OrderTracker::candidatesOf(const std::string& service)
{
    const auto now = this->parts.store.clock().earliestStoreTime(freshness::bootNow());
    if (now && this->isCurrent())
        return succession::candidatesOf(this->refresh(service), *now);
    std::vector<std::string> all;
    for (const auto* known : this->parts.catalog.upstreamsOf(service))
        all.push_back(known->entry.id);
    return all;
}

std::size_t OrderTracker::count() const noexcept
{
    std::size_t count = 0;
    for (const auto& [service, pending] : this->pendingOrders)
        count += pending.orders.size();
    return count;
}

void OrderTracker::fill(gossip::Digest& digest) const
{
    for (const auto& [service, pending] : this->pendingOrders) {
        if (!pending.orders.empty())
            digest.pendingOrders.push_back(toReport(service, pending));
    }
}

bool OrderTracker::merge(const gossip::PendingOrdersReport& report, std::string_view vm)
{
    return this->note(report.service, fromReport(report), vm);
}

}

#include "amaranthhall/succession/order_tracker.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>

namespace amaranthhall::succession {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr Duration reportLifetime = 5s; // for which peers are told that a service has no pending orders any more; they also read the row
    constexpr std::string_view rowSource = "store";
    constexpr std::string_view answerSource = "answer";

    std::string join(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ",") + name;
        return text;
    }

    gossip::PendingOrdersReport toReport(const std::string& service, const PendingOrders& pending)
    {
        gossip::PendingOrdersReport report { .service = service, .version = pending.version };
        for (const auto& order : pending.orders)
            report.orders.push_back({ .candidate = order.candidate, .fence = order.fence });
        return report;
    }

    PendingOrders fromReport(const gossip::PendingOrdersReport& report)
    {
        PendingOrders pending { .version = report.version };
        for (const auto& order : report.orders)
            pending.orders.push_back({ .candidate = order.candidate, .fence = order.fence });
        return pending;
    }

}

OrderTracker::OrderTracker(Parts usedParts, FenceCheck check)
    : parts(usedParts)
    , fenceCheck(check)
    , startedAt(usedParts.loop.now())
{
}

const PendingOrders& OrderTracker::refresh(const std::string& service)
{
    const auto& known = this->services[service].pending;
    if (this->parts.leases.rowVersion(service) > known.version)
        this->note(service, this->parts.leases.pendingOrders(service), rowSource);
    return known;
}

/// Takes over pending orders if they are newer than the known ones; returns whether they are.
bool OrderTracker::note(const std::string& service, const PendingOrders& pending, std::string_view source)
{
    auto& known = this->services[service].pending;
    const bool isOfInterest = !known.orders.empty() || !pending.orders.empty();
    if (!update(known, pending))
        return false;
    this->services[service].changedAt = this->parts.loop.now();
    if (isOfInterest)
        this->noteChange(service, source);
    return true;
}

void OrderTracker::noteChange(const std::string& service, std::string_view source)
{
    auto& known = this->services[service];
    known.changedAt = this->parts.loop.now();
    logEvent(LogLevel::Info, "succession.orders_pending", { { "service", service }, { "candidates", join(succession::candidatesOf(known.pending.orders)) }, { "version", store::formatVersion(known.pending.version) }, { "source", source } });
}

std::vector<PendingOrder> OrderTracker::with(const std::string& service, const std::string& candidate)
{
    auto orders = this->refresh(service).orders;
    add(orders, { .candidate = candidate });
    return orders;
}

void OrderTracker::accept(const std::string& service, const store::Version& fence)
{
    succession::accept(this->services[service].pending, { .fence = fence, .at = this->parts.loop.now() });
}

void OrderTracker::withdraw(const std::string& service, const store::Version& fence)
{
    if (succession::withdraw(this->services[service].pending, fence))
        this->noteChange(service, answerSource);
}

void OrderTracker::settle(const std::string& service)
{
    if (succession::settle(this->services[service].pending, this->fenceCheck, this->parts.loop.now()))
        this->noteChange(service, answerSource);
}

bool OrderTracker::needsNewerOrder(const std::string& service)
{
    return succession::needsNewerOrder(this->refresh(service), this->fenceCheck);
}

/// Returns since when this daemon has had the rows of all leases as of a time after its start.
std::optional<Time> OrderTracker::currentSince()
{
    const auto now = this->parts.loop.now();
    const auto age = this->parts.fleet.age();
    if (!this->firstCurrentAt && age && *age <= now - this->startedAt)
        this->firstCurrentAt = now;
    return this->firstCurrentAt;
}

engine::PromotionCandidates OrderTracker::candidatesOf(const std::string& service)
{
    if (const auto since = this->currentSince()) {
        const auto& orders = this->refresh(service).orders;
        return { .upstreams = this->availableCandidates(orders), .unchangedSince = std::max(*since, this->services[service].changedAt) };
    }
    engine::PromotionCandidates all;
    for (const auto* known : this->parts.catalog.upstreamsOf(service))
        all.upstreams.push_back(known->entry.id);
    return all;
}

/// Returns the candidates of orders. Where fences are not checked an order without an answer stays pending for ever, so one for an upstream that is gone is left out.
std::vector<std::string> OrderTracker::availableCandidates(const std::vector<PendingOrder>& orders) const
{
    auto candidates = succession::candidatesOf(orders);
    if (this->fenceCheck == FenceCheck::Absent)
        std::erase_if(candidates, [this](const auto& candidate) { return this->parts.catalog.isGone(candidate, this->parts.loop.now()); });
    return candidates;
}

std::size_t OrderTracker::count() const noexcept
{
    std::size_t count = 0;
    for (const auto& [service, known] : this->services)
        count += known.pending.orders.size();
    return count;
}

void OrderTracker::fill(gossip::Digest& digest) const
{
    for (const auto& [service, known] : this->services) {
        const bool hasChanged = known.changedAt != Time {} && this->parts.loop.now() - known.changedAt < reportLifetime;
        if (!known.pending.orders.empty() || hasChanged)
            digest.pendingOrders.push_back(toReport(service, known.pending));
    }
}

bool OrderTracker::merge(const gossip::PendingOrdersReport& report, std::string_view vm)
{
    return this->note(report.service, fromReport(report), vm);
}

}

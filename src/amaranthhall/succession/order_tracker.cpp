#include "amaranthhall/succession/order_tracker.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

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

/// Returns whether any service has synchronous replicas; the others need no knowledge of orders.
bool OrderTracker::hasSynchronousReplicas()
{
    auto configuration = this->parts.catalog.configuration();
    if (this->checkedConfiguration != configuration) {
        this->checkedConfiguration = std::move(configuration);
        const auto& services = this->checkedConfiguration->services;
        this->isUsed = std::any_of(services.begin(), services.end(), [](const auto& entry) { return entry.second.synchronousReplicas > 0; });
    }
    return this->isUsed;
}

/// Returns the store time up to which this daemon knows all recorded orders: its copy of the rows is that of the store, or every daemon that may hold a lease has told its orders.
freshness::Micros OrderTracker::knownUpTo() const
{
    const auto& others = this->parts.registered();
    auto told = others.empty() ? 0 : std::numeric_limits<freshness::Micros>::max();
    for (const auto& vm : others) {
        const auto found = this->toldUpTo.find(vm);
        told = std::min(told, found == this->toldUpTo.end() ? 0 : found->second);
    }
    return std::max(told, this->parts.fleet.age() ? this->parts.fleet.verifiedAt() : 0);
}

bool OrderTracker::isCurrent()
{
    const auto now = this->parts.loop.now();
    const auto storeTime = this->parts.store.clock().latestStoreTime(freshness::bootNow());
    if (!storeTime)
        return false;
    const auto age = std::chrono::microseconds(*storeTime - this->knownUpTo());
    const auto lifetime = std::min(orderKnowledgeLifetime, now - this->startedAt);
    if (age > lifetime)
        return false;
    this->firstCurrentAt = this->firstCurrentAt.value_or(now);
    return true;
}

engine::PromotionCandidates OrderTracker::candidatesOf(const std::string& service)
{
    const auto& orders = this->refresh(service).orders;
    const bool isKnown = this->isCurrent();
    engine::PromotionCandidates candidates { .upstreams = this->availableCandidates(orders), .unchangedSince = std::max(this->services[service].changedAt, this->firstCurrentAt.value_or(Time {})) };
    if (isKnown)
        return candidates;
    for (const auto* known : this->parts.catalog.upstreamsOf(service)) {
        if (std::find(candidates.upstreams.begin(), candidates.upstreams.end(), known->entry.id) == candidates.upstreams.end())
            candidates.upstreams.push_back(known->entry.id);
    }
    return candidates;
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

void OrderTracker::fill(gossip::Digest& digest)
{
    if (!this->hasSynchronousReplicas())
        return;
    digest.pendingOrdersAt = this->parts.store.clock().earliestStoreTime(freshness::bootNow()).value_or(0);
    for (const auto& [service, known] : this->services) {
        const bool hasChanged = known.changedAt != Time {} && this->parts.loop.now() - known.changedAt < reportLifetime;
        if (!known.pending.orders.empty() || hasChanged)
            digest.pendingOrders.push_back(toReport(service, known.pending));
    }
}

bool OrderTracker::merge(const gossip::Digest& digest)
{
    bool isNews = false;
    for (const auto& report : digest.pendingOrders)
        isNews = this->note(report.service, fromReport(report), digest.vm) || isNews;
    auto& toldAt = this->toldUpTo[digest.vm];
    toldAt = std::max(toldAt, digest.pendingOrdersAt);
    return isNews;
}

}

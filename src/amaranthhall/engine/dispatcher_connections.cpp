// Connections where they are scarce: what transactions may hold, and which connection is opened next.

#include "amaranthhall/engine/dispatcher.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration openingRequestLifetime = 100ms; // an organisation whose statements can't open a link any more holds up others for this long

}

/// Returns whether connections to an upstream are divided by organisation or are fewer than this daemon could use.
bool Dispatcher::hasScarceConnections(const UpstreamPool& pool) const
{
    const auto configuration = this->catalog.configuration();
    return (configuration && configuration->organisations) || placement::isScarce(pool.share(), pool.entry().slots);
}

/// Keeps connections of a scarce upstream for statements outside transactions, and paces the opening of others.
void Dispatcher::applyConnectionLimits(const LinkRequirements& requirements, const UpstreamPool& pool, placement::Candidate& candidate) const
{
    if (!this->hasScarceConnections(pool))
        return;
    const auto runningOfOthers = candidate.others ? candidate.others->running : 0;
    candidate.canOpen = candidate.canOpen && placement::mayOpenAnother({ .slots = candidate.slots, .running = candidate.running, .openings = pool.opening(), .runningOfOthers = runningOfOthers });
    if (requirements.beginsTransaction && pool.heldByTransactions() >= placement::transactionLimit(pool.share())) {
        candidate.idle = 0;
        candidate.canOpen = false;
    }
}

/// Returns whether more statements of an organisation wait than links are being opened for it, and no other organisation of a scarce service needs one more.
bool Dispatcher::needsAnotherOpening(Service& service, std::string_view organisation)
{
    const auto now = this->loop.now();
    service.openingRequests[std::string(organisation)] = now;
    std::erase_if(service.openingRequests, [now](const auto& request) { return now - request.second > openingRequestLifetime; });
    std::map<std::string_view, placement::OpeningDemand> demands; // of organisations that could open a link now
    for (const auto& [name, at] : service.openingRequests)
        demands[name] = { .waiting = service.queue.waitingFor(name) };
    bool isScarce = false;
    for (const auto& pool : service.pools) {
        isScarce = isScarce || this->hasScarceConnections(*pool);
        for (auto& [name, demand] : demands)
            demand.openings += pool->openingFor(name);
    }
    const auto own = demands[organisation];
    if (!isScarce)
        return own.uncovered() > 0;
    std::vector<placement::OpeningDemand> others;
    for (const auto& [name, demand] : demands)
        others.push_back(demand);
    return placement::isNextToOpen(own, others);
}

}

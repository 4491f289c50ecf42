// Shared load of upstreams: this daemon's figures, and what those of the other homes mean for the number of statements that it sends.

#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/boot_clock.hpp"

#include <algorithm>
#include <chrono>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr auto reportedLag = 200ms; // shorter lags matter to few reads, as those of the routes may be older

}

/// Returns the load that this daemon puts on an upstream. Statements that wait for any upstream count in equal parts.
load::UpstreamLoad Dispatcher::currentLoad(const Service& service, UpstreamPool& pool, bool isLeader) const
{
    const auto now = this->loop.now();
    pool.runningMean().note(pool.running(), now);
    const auto upstreams = static_cast<double>(std::max<std::size_t>(1, service.pools.size()));
    const auto waitingForAny = static_cast<double>(service.queue.waitingIn(admission::Lane::Any));
    const auto waitingForLeader = isLeader ? static_cast<double>(service.queue.waitingIn(admission::Lane::Leader)) : 0;
    return { .running = pool.runningMean().value(), .waiting = waitingForAny / upstreams + waitingForLeader };
}

/// Returns how many statements this daemon may have running on an upstream, so that those of all daemons fit into its slots and a short queue.
std::uint32_t Dispatcher::sharedLimit(const Service& service, UpstreamPool& pool, const std::optional<load::LoadEstimate>& others, bool isLeader) const
{
    const auto own = this->currentLoad(service, pool, isLeader);
    return load::windowShare({ .slots = pool.entry().slots, .localLimit = placement::concurrencyLimit(pool.health(), pool.entry().slots), .ownDemand = own.running + own.waiting, .others = others });
}

void Dispatcher::visitLoads(std::string_view name, const std::function<void(const LocalLoad&)>& visit)
{
    auto& service = this->serviceOf(name);
    const auto leader = this->leaderOf(service);
    const auto now = freshness::bootNow();
    this->fleetLoad.removeExpired(this->loop.now());
    for (const auto& pool : service.pools) {
        const auto& id = pool->entry().id;
        LocalLoad figures { .entry = pool->entry(), .load = this->currentLoad(service, *pool, leader == id) };
        figures.load.rejected = pool->takeRejected();
        const auto lag = service.lags.find(id);
        const auto isLagging = leader != id && lag != service.lags.end() && std::chrono::microseconds(lag->second.lag) >= reportedLag;
        if (isLagging && !lag->second.isFromPeer)
            figures.position = load::ReportedPosition { .point = lag->second.reportedPoint, .age = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::microseconds(now - lag->second.reportedAt)) };
        visit(figures);
    }
}

void Dispatcher::noteReport(std::string_view vm, std::string_view upstream, const load::UpstreamLoad& load, const std::optional<load::ReportedPosition>& position, Time at)
{
    this->fleetLoad.note(upstream, vm, load, at);
    const auto pool = this->pool(upstream);
    if (!pool || !position)
        return;
    auto& service = this->serviceOf(pool->entry().service);
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(this->loop.now() - at + position->age);
    const auto reportedAt = freshness::bootNow() - age.count();
    auto& lag = service.lags[pool->entry().id];
    if (reportedAt <= lag.reportedAt)
        return;
    freshness::updateLag(lag, service.samples, position->point, reportedAt);
    lag.isFromPeer = true;
}

}

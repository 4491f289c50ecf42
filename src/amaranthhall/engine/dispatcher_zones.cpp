// Zones in the choice of an upstream: what leaving the daemon's zone costs, and which share of the reads leaves it.

#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/hashing/rendezvous.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;
    using Seconds = std::chrono::duration<double>;

    constexpr Seconds runningAverageTime = 1s;
    constexpr Seconds typicalUseTime = 30s; // several periods in which the load of a zone rises and falls
    constexpr freshness::Micros usualStaleness = 1'000'000; // a replica that lacks positions of this age is of no use to most reads
    constexpr double leavingShare = 0.9; // with a lower own share, reads are said to leave the zone
    constexpr double returnedShare = 0.95;
    constexpr Duration logInterval = 10s; // per service

    /// Moves an average towards a value that has held for the given time.
    void average(double& mean, double value, Duration elapsed, Seconds time)
    {
        mean += (value - mean) * (1 - std::exp(-Seconds(elapsed) / time));
    }

}

Duration Dispatcher::crossingCost(std::string_view zone) const
{
    if (zone == this->options.zone)
        return Duration::zero();
    if (!this->options.traffic)
        return placement::crossingCost({});
    const auto& traffic = *this->options.traffic;
    return placement::crossingCost({
        .roundTrip = traffic.roundTrip(zone),
        .ownRoundTrip = traffic.roundTrip(this->options.zone),
        .bytes = this->options.bytePrice == Duration::zero() ? 0 : traffic.bytesPerExchange(telemetry::TrafficKind::Upstream),
        .pricePerKilobyte = this->options.bytePrice,
    });
}

/// Makes the upstreams of the zone to which the statement is to be sent preferred; all attempts of a statement are for the same zone.
void Dispatcher::preferZone(Service& service, const LinkRequirements& requirements, std::span<placement::Candidate> candidates)
{
    this->observeRunning(service);
    if (requirements.needsLeader || candidates.size() < 2)
        return;
    const auto position = hashing::shortId(requirements.requestId) / (static_cast<double>(std::numeric_limits<std::uint32_t>::max()) + 1);
    const auto zone = service.zones.shares.zoneAt(position);
    const auto now = this->loop.now();
    if (zone.empty() || !placement::preferZone(candidates, zone, now))
        placement::preferZone(candidates, this->options.zone, now);
}

void Dispatcher::observeRunning(Service& service)
{
    const auto now = this->loop.now();
    const auto elapsed = now - std::exchange(service.zones.observedAt, now);
    for (const auto& pool : service.pools)
        average(service.zones.running[pool->entry().id], pool->running(), elapsed, runningAverageTime);
}

std::vector<placement::UpstreamFigures> Dispatcher::figuresOf(const Service& service) const
{
    const auto now = this->loop.now();
    const auto bootNow = freshness::bootNow();
    const auto leader = this->leaderOf(service);
    const auto wanted = service.samples.leastPointSince(bootNow - usualStaleness);
    std::vector<placement::UpstreamFigures> figures;
    for (const auto& pool : service.pools) {
        const auto& entry = pool->entry();
        const auto running = service.zones.running.find(entry.id);
        const auto lag = service.lags.find(entry.id);
        const bool isLagging = wanted && leader != entry.id && lag != service.lags.end() && !freshness::isExpectedToHold(lag->second, service.samples, *wanted, bootNow);
        const auto others = this->fleetLoad.estimate(entry.id, now);
        figures.push_back({
            .zone = entry.zone,
            .slots = static_cast<double>(std::max(1U, entry.slots)),
            .runningHere = running == service.zones.running.end() ? 0 : running->second,
            .latency = pool->health().latency,
            .isUsable = !entry.draining && pool->health().avoidUntil <= now,
            .isFresh = !isLagging,
            .isLeader = leader == entry.id,
            .isOverloaded = pool->health().overloadedUntil > now,
            .runningElsewhere = others ? std::optional(others->running) : std::nullopt,
            .waitingElsewhere = others ? others->waiting : 0,
            .age = others ? others->age : Duration::zero(),
        });
    }
    return figures;
}

void Dispatcher::updateZoneShares(Service& service)
{
    auto& zones = service.zones;
    const auto now = this->loop.now();
    const auto elapsed = now - std::exchange(zones.decidedAt, now);
    std::set<std::string_view> names;
    for (const auto& pool : service.pools)
        names.insert(pool->entry().zone);
    if (!service.lastUsedAt || names.empty() || (names.size() == 1 && names.contains(this->options.zone))) {
        zones.shares = {};
        return;
    }
    this->observeRunning(service);
    std::erase_if(zones.running, [&](const auto& item) { return std::none_of(service.pools.begin(), service.pools.end(), [&](const auto& pool) { return pool->entry().id == item.first; }); });
    const auto figures = this->figuresOf(service);
    const auto sharers = static_cast<double>(this->options.sharers(service.name).value_or(1));
    const placement::FiguresContext context { .ownZone = this->options.zone, .peersInZone = std::max(1.0, sharers / static_cast<double>(std::max<std::size_t>(1, names.size()))), .typicalUse = zones.typicalUse };
    auto states = placement::summariseZones(figures, context);
    const auto demand = placement::measureDemand(figures, context);
    for (auto& state : states) {
        state.crossing = this->crossingCost(state.zone);
        if (state.zone == this->options.zone && state.capacity > 0)
            average(zones.typicalUse, std::min(1.0, demand.slots / state.capacity), elapsed, typicalUseTime);
    }
    zones.shares = placement::decideShares(zones.shares, states, this->options.zone, demand, elapsed);
    this->logZoneShares(service);
}

/// Logs when reads of a service begin to leave the zone and when they stay again.
void Dispatcher::logZoneShares(Service& service)
{
    auto& zones = service.zones;
    const auto own = zones.shares.of(this->options.zone);
    const bool isLeaving = own < (zones.wasLeaving ? returnedShare : leavingShare) && !zones.shares.shares.empty();
    const auto now = this->loop.now();
    if (isLeaving == zones.wasLeaving || (zones.loggedAt && now - *zones.loggedAt < logInterval))
        return;
    zones.wasLeaving = isLeaving;
    zones.loggedAt = now;
    telemetry::logEvent(telemetry::LogLevel::Info, isLeaving ? "zone.reads_leaving" : "zone.reads_staying", { { "service", service.name }, { "own_share", own } });
}

double Dispatcher::lowestOwnZoneShare() const noexcept
{
    double lowest = 1;
    for (const auto& [name, service] : this->services) {
        if (!service.zones.shares.shares.empty())
            lowest = std::min(lowest, service.zones.shares.of(this->options.zone));
    }
    return lowest;
}

}

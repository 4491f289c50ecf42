#include "amaranthhall/placement/zone_shares.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhall::placement {

namespace {

    using namespace std::chrono_literals;

    constexpr int parts = 20; // of a zone's statements; each is placed as a whole
    constexpr double maximumUtilisation = 0.95; // above this, the wait is extrapolated linearly
    constexpr std::chrono::duration<double> settlingTime = 1s; // with 0.5 s the shares oscillate, with 2 s they follow a load that doubles within 4 s too late
    constexpr Duration maximumAge = 1s; // older figures can't raise a share
    constexpr Duration expiry = 5s; // older figures are not used while the own zone can serve
    constexpr double congestedLatencyFactor = 2; // an upstream that takes this much longer than the fastest has a queue

    using Seconds = std::chrono::duration<double>;

    bool canServe(const ZoneState& zone) noexcept
    {
        return zone.capacity > 0 && zone.freshUpstreams > 0;
    }

    Duration costOf(const ZoneState& zone, double added, Duration serviceTime)
    {
        // A queue counts with the slots that serve it within the settling time. With its present length, all zones would turn away from it at once, and back.
        const auto queue = zone.waiting * (Seconds(serviceTime) / settlingTime);
        const auto wait = expectedWait(zone.capacity, zone.used + queue + added, serviceTime);
        // A read at the leader also delays the statements that only the leader may run.
        return std::chrono::duration_cast<Duration>(wait * (1 + zone.leaderFraction)) + zone.crossing;
    }

    /// The division towards which the shares settle, in the order of the zones.
    std::vector<double> divide(std::span<const ZoneState> zones, const std::vector<bool>& isUsable, std::string_view ownZone, const ZoneShares& previous, const ZoneDemand& demand)
    {
        const auto others = static_cast<double>(std::max<std::size_t>(1, zones.size() - 1));
        const auto sendersTo = [&](std::size_t zone) { return zones[zone].zone == ownZone ? 1 : others; };
        std::vector<double> added(zones.size());
        std::vector<double> shares(zones.size());
        // What the statements occupy now is part of the loads; they are divided anew. Where the shares have settled, the loads are then those that were measured.
        for (std::size_t i = 0; i < zones.size(); ++i)
            added[i] = -std::min(zones[i].used, demand.slots * previous.of(zones[i].zone) * sendersTo(i));
        for (int part = 0; part < parts; ++part) {
            std::optional<std::size_t> best;
            Duration bestCost {};
            for (std::size_t i = 0; i < zones.size(); ++i) {
                const bool isOwn = zones[i].zone == ownZone;
                const bool mayGrow = isOwn || zones[i].age <= maximumAge || shares[i] < previous.of(zones[i].zone);
                if (!isUsable[i] || !mayGrow)
                    continue;
                const auto cost = costOf(zones[i], added[i] + demand.slots / parts * sendersTo(i), demand.serviceTime);
                if (!best || cost < bestCost) {
                    best = i;
                    bestCost = cost;
                }
            }
            if (!best)
                break;
            shares[*best] += 1.0 / parts;
            added[*best] += demand.slots / parts * sendersTo(*best);
        }
        return shares;
    }

}

double ZoneShares::of(std::string_view zone) const noexcept
{
    const auto found = std::find_if(this->shares.begin(), this->shares.end(), [zone](const auto& share) { return share.first == zone; });
    return found == this->shares.end() ? 0 : found->second;
}

std::string_view ZoneShares::zoneAt(double position) const noexcept
{
    for (const auto& [zone, share] : this->shares) {
        if (position < share)
            return zone;
        position -= share;
    }
    return this->shares.empty() ? std::string_view() : std::string_view(this->shares.back().first);
}

Duration expectedWait(double slots, double used, Duration serviceTime) noexcept
{
    // Sakasegawa's approximation for a queue with several servers.
    const auto wait = [slots](double utilisation) {
        return std::pow(utilisation, std::sqrt(2 * (slots + 1)) - 1) / (slots * (1 - utilisation));
    };
    const auto utilisation = std::max(0.0, used / slots);
    const auto excess = std::max(0.0, utilisation - maximumUtilisation);
    return std::chrono::duration_cast<Duration>(serviceTime * (wait(std::min(utilisation, maximumUtilisation)) + excess));
}

ZoneShares decideShares(const ZoneShares& previous, std::span<const ZoneState> zones, std::string_view ownZone, const ZoneDemand& demand, Duration elapsed)
{
    const bool ownCanServe = std::any_of(zones.begin(), zones.end(), [ownZone](const auto& zone) { return zone.zone == ownZone && canServe(zone); });
    std::vector<bool> isUsable(zones.size());
    for (std::size_t i = 0; i < zones.size(); ++i)
        isUsable[i] = canServe(zones[i]) && (zones[i].zone == ownZone || !ownCanServe || zones[i].age <= expiry);
    const auto wanted = divide(zones, isUsable, ownZone, previous, demand);
    ZoneShares decided;
    if (std::none_of(wanted.begin(), wanted.end(), [](double share) { return share > 0; }))
        return decided;
    const auto step = previous.shares.empty() ? 1 : 1 - std::exp(-Seconds(elapsed) / settlingTime);
    double sum = 0;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const auto before = previous.of(zones[i].zone);
        const auto share = isUsable[i] ? before + (wanted[i] - before) * step : 0;
        decided.shares.emplace_back(zones[i].zone, share);
        sum += share;
    }
    // Zones that lost their share at once leave it to the others.
    for (std::size_t i = 0; i < zones.size(); ++i)
        decided.shares[i].second = sum > 0 ? decided.shares[i].second / sum : wanted[i];
    std::sort(decided.shares.begin(), decided.shares.end());
    return decided;
}

std::vector<ZoneState> summariseZones(std::span<const UpstreamFigures> upstreams, const FiguresContext& context)
{
    auto fastest = Duration::max();
    for (const auto& upstream : upstreams)
        fastest = upstream.isUsable ? std::min(fastest, upstream.latency) : fastest;
    std::vector<ZoneState> zones;
    std::vector<double> leaderSlots;
    for (const auto& upstream : upstreams) {
        auto found = std::find_if(zones.begin(), zones.end(), [&](const auto& zone) { return zone.zone == upstream.zone; });
        if (found == zones.end()) {
            found = zones.insert(zones.end(), ZoneState { .zone = upstream.zone });
            leaderSlots.push_back(0);
        }
        if (!upstream.isUsable)
            continue;
        const bool isOwn = upstream.zone == context.ownZone;
        const auto assumed = isOwn ? upstream.runningHere * context.peersInZone : std::max(upstream.runningHere, upstream.slots * context.typicalUse);
        const bool isCongested = upstream.isOverloaded || upstream.latency >= fastest * congestedLatencyFactor;
        found->capacity += upstream.slots;
        found->used += upstream.runningElsewhere ? upstream.runningHere + *upstream.runningElsewhere : std::max(assumed, isCongested ? upstream.slots : 0);
        found->waiting += upstream.waitingElsewhere;
        found->freshUpstreams += upstream.isFresh ? 1 : 0;
        found->age = std::max(found->age, upstream.age);
        if (upstream.isLeader)
            leaderSlots[static_cast<std::size_t>(found - zones.begin())] = upstream.slots;
    }
    for (std::size_t i = 0; i < zones.size(); ++i)
        zones[i].leaderFraction = zones[i].capacity > 0 ? leaderSlots[i] / zones[i].capacity : 0;
    return zones;
}

ZoneDemand measureDemand(std::span<const UpstreamFigures> upstreams, const FiguresContext& context)
{
    ZoneDemand demand;
    Duration fastest {};
    for (const auto& upstream : upstreams) {
        demand.slots += upstream.runningHere * context.peersInZone;
        if (upstream.isUsable && (fastest == Duration::zero() || upstream.latency < fastest))
            fastest = upstream.latency;
    }
    demand.serviceTime = fastest;
    return demand;
}

}

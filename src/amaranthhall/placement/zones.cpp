#include "amaranthhall/placement/zones.hpp"

#include <algorithm>

namespace amaranthhall::placement {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration minimumCrossing = 1ms; // without a floor, the noise of the loads alone makes statements cross between zones that are close together
    constexpr double kilobyte = 1000;
    constexpr int leaderLatencyFactor = 2; // chooseAny() multiplies the leader's latency; whether its zone is to be left for that is decided with the shares
    constexpr double maximumFaults = 1; // an upstream with more remembered faults is not preferred

    /// Returns whether nothing but zone and load speak for or against an upstream.
    bool isFit(const Candidate& candidate, Time now)
    {
        const auto& health = *candidate.health;
        const bool isAccepting = health.avoidUntil <= now && health.overloadedUntil <= now && health.paceUntil <= now && health.faults < maximumFaults;
        const bool hasRoom = candidate.running < candidate.limit && (candidate.idle > 0 || candidate.canOpen);
        return isAccepting && hasRoom && !candidate.isDraining && !candidate.isLagging && !candidate.wasTried;
    }

}

Duration crossingCost(const CrossingCosts& costs) noexcept
{
    const auto price = std::chrono::duration_cast<Duration>(costs.pricePerKilobyte * (costs.bytes / kilobyte));
    const auto time = costs.roundTrip ? *costs.roundTrip - costs.ownRoundTrip.value_or(Duration::zero()) : Duration::zero();
    return std::max(minimumCrossing, time) + price;
}

bool preferZone(std::span<Candidate> candidates, std::string_view zone, Time now)
{
    Duration cost {};
    for (const auto& candidate : candidates) {
        if (candidate.zone == zone && isFit(candidate, now))
            cost = std::max(cost, candidate.isLeader ? candidate.health->latency * leaderLatencyFactor : candidate.health->latency);
    }
    for (auto& candidate : candidates) {
        if (candidate.zone != zone)
            candidate.crossingCost += cost;
    }
    return cost > Duration::zero();
}

}

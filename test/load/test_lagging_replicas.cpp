#include "load/load_simulation.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace amaranthhall;
using freshness::Micros;
using load::simulation::Outcome;
using load::simulation::Scenario;
using load::simulation::second;
using load::simulation::Simulation;

namespace {

constexpr Micros usualLag = 20'000;
constexpr double maximumLaggingShare = 0.02; // goal of docs/design/hard-load.md

/// Both replicas receive nothing from 4 to 9 s, then have everything at once.
Micros deafLag(std::size_t, Micros now)
{
    return now > 4 * second && now < 9 * second ? now - 4 * second + usualLag : usualLag;
}

/// The lag of both replicas rises to 3 s within 2 s and falls as fast, again and again.
Micros changingLag(std::size_t upstream, Micros now)
{
    const auto phase = (now + static_cast<Micros>(upstream) * second / 2) % (5 * second);
    const auto rising = std::min(phase, 5 * second - phase);
    return usualLag + std::max<Micros>(0, std::min(rising - second / 2, 2 * second) * 3 / 2);
}

Outcome runBoth(const char* name, Scenario scenario)
{
    const auto outcome = Simulation(scenario).run();
    if (!std::getenv("AMARANTHHALL_PRINT_FIGURES"))
        return outcome;
    scenario.ignoresLag = true;
    for (const auto& [build, figures] : { std::pair("previous", Simulation(scenario).run()), { "present", outcome } })
        std::printf("\n%s, %s: arrivals %lu, lagging %.1f %%, probes %lu, served %lu, unserved %lu\n", name, build, figures.allArrivals(), figures.laggingShare() * 100, figures.probes, figures.served, figures.unserved);
    return outcome;
}

}

TEST_GROUP(LaggingReplicas) {};

// Guards against reads that are sent to replicas that receive nothing, and against recovered replicas that are not used again.
TEST(LaggingReplicas, DeafReplicasRefuseFewReadsAndAreFoundAgain)
{
    const auto outcome = runBoth("deaf", { .lag = deafLag });
    CHECK(outcome.laggingShare() < maximumLaggingShare);
    CHECK(outcome.probes < outcome.allArrivals() / 10);
    CHECK(outcome.arrivals[1] + outcome.arrivals[2] > outcome.arrivals[0]);
}

TEST(LaggingReplicas, ReplicasWhoseLagChangesRefuseFewReads)
{
    const auto outcome = runBoth("changing", { .lag = changingLag });
    CHECK(outcome.laggingShare() < maximumLaggingShare);
}

// Guards against lagging replicas that are tried because the leader is saturated.
TEST(LaggingReplicas, ASaturatedLeaderDoesNotSendReadsToLaggingReplicas)
{
    const auto outcome = runBoth("saturated", { .readsPerSecond = 330, .lag = deafLag });
    CHECK(outcome.laggingShare() < maximumLaggingShare);
}

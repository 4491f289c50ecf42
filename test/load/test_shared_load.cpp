#include "load/load_simulation.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>

using namespace amaranthhall;
using load::simulation::Outcome;
using load::simulation::Scenario;
using load::simulation::Simulation;

namespace {

constexpr double maximumRejectedShare = 0.02; // goals of docs/design/hard-load.md
constexpr double maximumBusiestToMean = 1.4;
constexpr double maximumInFlight = 12; // the slots and a queue of one statement for each

Outcome simulate(const char* name, const Scenario& scenario)
{
    const char* seed = std::getenv("AMARANTHHALL_SEED");
    const auto outcome = Simulation(scenario, seed ? static_cast<unsigned>(std::atoi(seed)) : 1).run();
    if (std::getenv("AMARANTHHALL_PRINT_FIGURES"))
        std::printf("\n%s: arrivals %lu/%lu/%lu, busiest to mean %.2f, in flight %.1f, rejected %.1f %%, served %lu, unserved %lu, reports %lu, to other zones %lu\n", name, outcome.arrivals[0], outcome.arrivals[1], outcome.arrivals[2], outcome.busiestToMean(), outcome.meanInFlight, outcome.rejectedShare() * 100, outcome.served, outcome.unserved, outcome.reports, outcome.farReports);
    return outcome;
}

/// More than the slots can run; the homes of one zone have three times the load of the others.
const Scenario heavy { .readsPerSecond = 560, .leaderPerSecond = 80, .sendsReports = true, .unevenness = 3 };

}

TEST_GROUP(SharedLoad) {};

TEST(SharedLoad, OnACalmDayTheLoadIsEven)
{
    const auto outcome = simulate("calm", { .sendsReports = true });
    simulate("calm, no reports", {});
    CHECK(outcome.busiestToMean() < maximumBusiestToMean);
    CHECK(outcome.rejectedShare() < maximumRejectedShare);
}

// Guards against daemons that each fill all slots, so that the upstreams reject what they send.
TEST(SharedLoad, UnderOverloadAllDaemonsTogetherSendWhatTheSlotsRun)
{
    const auto outcome = simulate("heavy", heavy);
    auto scenario = heavy;
    scenario.sendsReports = false;
    const auto previous = simulate("heavy, no reports", scenario);
    CHECK(outcome.rejectedShare() < maximumRejectedShare);
    CHECK(outcome.meanInFlight <= maximumInFlight);
    CHECK(static_cast<double>(outcome.served) > 0.97 * static_cast<double>(previous.served));
}

TEST(SharedLoad, HalfOfTheReportsMayBeLost)
{
    auto scenario = heavy;
    scenario.reportLoss = 0.5;
    CHECK(simulate("heavy, half lost", scenario).rejectedShare() < maximumRejectedShare);
}

// Guards against late reports that make matters worse than none.
TEST(SharedLoad, LateReportsDoNoHarm)
{
    auto scenario = heavy;
    scenario.reportDelay = 600'000;
    const auto late = simulate("heavy, late", scenario);
    scenario.sendsReports = false;
    const auto none = simulate("heavy, no reports", scenario);
    CHECK(late.rejectedShare() <= none.rejectedShare());
}

// Guards against hints that keep daemons away from an upstream that serves them.
TEST(SharedLoad, AnUpstreamThatShedsForOneZoneServesTheOthers)
{
    Scenario scenario { .readsPerSecond = 300, .sendsReports = true };
    scenario.sheds = [](std::size_t home, std::size_t upstream) { return home % 3 == 0 && upstream == 1; };
    const auto outcome = simulate("shed", scenario);
    CHECK(outcome.rejectedShare() < maximumRejectedShare);
    const auto arrivalsOfOthers = outcome.allArrivals() * 2 / 3;
    CHECK(outcome.arrivals[1] - outcome.fromFirstZone[1] > arrivalsOfOthers / 4);
    LONGS_EQUAL(0, outcome.unserved);
}

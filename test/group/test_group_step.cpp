#include "group/group_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace amaranthhall::test;

namespace {

std::chrono::milliseconds promotionDelay(GroupSimulation& simulation, Duration duration)
{
    const auto begin = simulation.now;
    simulation.run(duration);
    return std::chrono::duration_cast<std::chrono::milliseconds>(simulation.promotedAt - begin);
}

}

TEST_GROUP(GroupStep) {};

TEST(GroupStep, AKilledPrimaryIsReplacedOnceWithinTheTarget)
{
    GroupSimulation simulation(3);
    simulation.run(5s);
    simulation.behaviours[0] = UpstreamBehaviour::Refusing;
    const auto delay = promotionDelay(simulation, 10s);
    CHECK_EQUAL(1U, simulation.promotions);
    CHECK(delay < 1s);
    for (const auto& watcher : simulation.watchers)
        CHECK(watcher.state.primary == "b");
}

TEST(GroupStep, AStoppedPrimaryIsReplacedOnceWithinTheTarget)
{
    GroupSimulation simulation(3);
    simulation.run(5s);
    simulation.behaviours[0] = UpstreamBehaviour::Unresponsive;
    const auto delay = promotionDelay(simulation, 10s);
    CHECK_EQUAL(1U, simulation.promotions);
    CHECK(delay < 2s);
}

TEST(GroupStep, ASoleWatcherWaitsLonger)
{
    GroupSimulation simulation(1);
    simulation.run(5s);
    simulation.behaviours[0] = UpstreamBehaviour::Refusing;
    simulation.run(300ms);
    simulation.behaviours[0] = UpstreamBehaviour::Up;
    simulation.run(5s);
    CHECK_EQUAL(0U, simulation.promotions);
    simulation.behaviours[0] = UpstreamBehaviour::Unresponsive;
    CHECK(promotionDelay(simulation, 10s) > 1s);
    CHECK_EQUAL(1U, simulation.promotions);
}

TEST(GroupStep, ASlowPrimaryIsNotReplaced)
{
    GroupSimulation simulation(3);
    simulation.delay = [](auto, auto upstream) { return upstream == 0 ? 600ms : 2ms; };
    simulation.run(60s);
    CHECK_EQUAL(0U, simulation.promotions);
}

TEST(GroupStep, OneWatchersBadLinkCausesNoFailover)
{
    GroupSimulation simulation(3);
    simulation.run(5s);
    simulation.isConnected = [](auto watcher, auto upstream) { return watcher != 0 || upstream != 0; };
    simulation.run(60s);
    CHECK_EQUAL(0U, simulation.promotions);
}

TEST(GroupStep, APausedWatcherCausesNoFailoverWhenItResumes)
{
    GroupSimulation simulation(2);
    simulation.run(5s);
    simulation.pause(0, 10s);
    simulation.run(30s);
    simulation.pause(0, 5s);
    simulation.pause(1, 5s);
    simulation.run(30s);
    CHECK_EQUAL(0U, simulation.promotions);
}

TEST(GroupStep, AGroupWithoutPrimaryGetsOne)
{
    GroupSimulation simulation(3, false);
    simulation.run(3s);
    CHECK_EQUAL(1U, simulation.promotions);
    CHECK_EQUAL(1U, simulation.countPrimaries(simulation.watchers[0].state.term));
}

TEST(GroupStep, APrimaryPromotedElsewhereIsAdopted)
{
    GroupSimulation simulation(3);
    simulation.run(5s);
    CHECK(simulation.logs[2].fence(9));
    CHECK(simulation.logs[2].promote(9));
    simulation.run(5s);
    CHECK_EQUAL(0U, simulation.promotions);
    for (const auto& watcher : simulation.watchers) {
        CHECK(watcher.state.primary == "c");
        CHECK_EQUAL(9U, watcher.state.term);
    }
}

TEST(GroupStep, AWatcherPausedDuringFailoverFindsItsTermRefused)
{
    GroupSimulation simulation(3);
    simulation.run(5s);
    simulation.behaviours[0] = UpstreamBehaviour::Refusing;
    // The first watcher is paused as soon as it has started an attempt.
    while (!simulation.watchers[0].state.attempt)
        simulation.run(1ms);
    simulation.pause(0, 8s);
    simulation.run(6s);
    const auto term = simulation.watchers[1].state.term;
    CHECK_EQUAL(1U, simulation.promotions);
    simulation.run(20s);
    CHECK_EQUAL(1U, simulation.promotions);
    CHECK_EQUAL(term, simulation.watchers[0].state.term);
    CHECK_EQUAL(1U, simulation.countPrimaries(term));
}

TEST(GroupStep, ASecondFailureWithinASecondIsHandled)
{
    GroupSimulation simulation(3);
    simulation.run(5s);
    simulation.behaviours[0] = UpstreamBehaviour::Refusing;
    while (simulation.promotions == 0)
        simulation.run(1ms);
    simulation.behaviours[0] = UpstreamBehaviour::Up;
    simulation.behaviours[1] = UpstreamBehaviour::Refusing;
    simulation.run(5s);
    CHECK_EQUAL(2U, simulation.promotions);
    CHECK_EQUAL(1U, simulation.countPrimaries(simulation.watchers[2].state.term));
}

TEST(GroupStep, APrimaryThatReachesNoReplicaIsReplacedByAnother)
{
    GroupSimulation simulation(3);
    simulation.logs[0].append({});
    simulation.run(5s);
    simulation.feedAge = { 0ms, 5s, 5s };
    simulation.run(1s);
    simulation.feedAge = { 0ms, 0ms, 0ms };
    simulation.run(5s);
    CHECK_EQUAL(1U, simulation.promotions);
    CHECK(simulation.watchers[0].state.primary != "a");
}

TEST(GroupStep, AnHourOfJitterCausesNoFailover)
{
    GroupSimulation simulation(3);
    Random random(20260401);
    const auto oneIn = [&random](unsigned int denominator) { return random() % denominator == 0; };
    // 19 of 20 replies take 1 to 20 ms, the others up to 600 ms; one vote in ten is lost.
    simulation.delay = [&](auto, auto) { return std::chrono::milliseconds(oneIn(20) ? random() % 600 : 1 + random() % 20); };
    simulation.dropsVote = [&] { return oneIn(10); };
    std::size_t badWatcher = 0;
    bool hasBadLinks = false;
    simulation.isConnected = [&](auto watcher, auto) { return !(hasBadLinks && watcher == badWatcher); };
    for (int second = 0; second < 3600; ++second) {
        if (oneIn(30))
            simulation.pause(random() % 3, std::chrono::milliseconds(random() % 4000));
        // At most one watcher's links are down at any time.
        hasBadLinks = oneIn(hasBadLinks ? 2 : 60) != hasBadLinks;
        badWatcher = hasBadLinks ? badWatcher : random() % 3;
        simulation.run(1s);
    }
    CHECK_EQUAL(0U, simulation.promotions);
}

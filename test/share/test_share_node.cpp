#include "amaranthhall/share/share_node.hpp"

#include "share/share_simulation.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using share::test::Simulation;

namespace {

const group::UpstreamId upstreamA { { "coach-ledger", "1" }, "a" };

void startDaemons(Simulation& simulation, int daemons)
{
    for (int i = 0; i < daemons; ++i)
        simulation.addDaemon();
    simulation.run(10s);
}

std::uint32_t totalAllowance(const Simulation& simulation)
{
    std::uint32_t total = 0;
    for (const auto& daemon : simulation.daemons)
        total += daemon->paused ? 0 : simulation.allowance(*daemon, upstreamA);
    return total;
}

std::ptrdiff_t countAlive(const Simulation& simulation)
{
    return std::count_if(simulation.daemons.begin(), simulation.daemons.end(), [](const auto& daemon) { return daemon->alive; });
}

/// Injects random faults, counts the steps in which a limit was exceeded, and returns the total allowance after 100 s without faults.
std::uint32_t runRandomFaults(std::uint64_t seed, int& limitViolations)
{
    Simulation simulation(seed, 30, { .lossPercent = 5, .duplicatePercent = 5, .delayPercent = 3, .lostWriteResultPercent = 10, .missedMembersPerMille = 5 });
    startDaemons(simulation, 5);
    for (int i = 0; i < 120; ++i) {
        auto& daemon = *simulation.daemons[static_cast<std::size_t>(simulation.randomBelow(static_cast<int>(simulation.daemons.size())))];
        const auto event = simulation.randomBelow(20);
        if (event == 0 && simulation.daemons.size() < 12)
            simulation.addDaemon();
        else if (event == 1 && daemon.alive && !daemon.paused)
            Simulation::pause(daemon, simulation.elapsed);
        else if (event <= 4 && daemon.alive && daemon.paused)
            simulation.resume(daemon);
        else if (event == 5 && daemon.alive && countAlive(simulation) > 2)
            simulation.kill(daemon);
        else if (event == 6)
            simulation.isStoreDown = !simulation.isStoreDown;
        else {
            for (auto& [id, pool] : daemon.pools)
                pool.demand = static_cast<std::uint32_t>(simulation.randomBelow(3) == 0 ? simulation.randomBelow(40) : 0);
        }
        simulation.run(std::chrono::milliseconds(10 * simulation.randomBelow(120)));
    }
    simulation.isStoreDown = false;
    simulation.faults = {};
    for (auto& daemon : simulation.daemons) {
        if (daemon->paused)
            simulation.resume(*daemon);
        for (auto& [id, pool] : daemon->pools)
            pool.demand = 0;
    }
    simulation.run(100s);
    limitViolations = simulation.limitViolations;
    return totalAllowance(simulation);
}

}

TEST_GROUP(ShareNode) {};

TEST(ShareNode, OneBusyDaemonMayUseNineTenthsOfTheLimit)
{
    Simulation simulation(1, 30, {});
    startDaemons(simulation, 15);
    simulation.daemons[7]->pools[upstreamA].demand = 40;
    simulation.run(2s);
    CHECK(simulation.daemons[7]->pools[upstreamA].busy >= 27);
    CHECK_EQUAL(0, simulation.limitViolations);
}

TEST(ShareNode, IdleShareIsTransferredWithinTheQueueDeadline)
{
    Simulation simulation(2, 30, {});
    startDaemons(simulation, 15);
    simulation.daemons[7]->pools[upstreamA].demand = 40;
    simulation.run(2s);
    simulation.daemons[7]->pools[upstreamA].demand = 0;
    simulation.run(1s);
    simulation.daemons[3]->pools[upstreamA].demand = 5;
    simulation.run(500ms);
    CHECK_EQUAL(5U, simulation.daemons[3]->pools[upstreamA].busy);
}

TEST(ShareNode, EveryDaemonGetsAShareBesideABusyDaemon)
{
    Simulation simulation(3, 30, {});
    startDaemons(simulation, 15);
    simulation.daemons[7]->pools[upstreamA].demand = 40;
    simulation.run(2s);
    for (auto& daemon : simulation.daemons)
        daemon->pools[upstreamA].demand = std::max(daemon->pools[upstreamA].demand, 2U);
    simulation.run(10s);
    for (const auto& daemon : simulation.daemons)
        CHECK(simulation.allowance(*daemon, upstreamA) >= 1);
    CHECK_EQUAL(0, simulation.limitViolations);
}

TEST(ShareNode, ADeadDaemonsShareIsReallocated)
{
    Simulation simulation(4, 30, {});
    startDaemons(simulation, 5);
    simulation.daemons[2]->pools[upstreamA].demand = 40;
    simulation.run(2s);
    CHECK(simulation.allowance(*simulation.daemons[2], upstreamA) >= 27);
    simulation.kill(*simulation.daemons[2]);
    simulation.run(20s);
    CHECK_EQUAL(27U, totalAllowance(simulation));
    CHECK_EQUAL(0, simulation.limitViolations);
}

TEST(ShareNode, APausedDaemonsConnectionsAreTerminatedBeforeItsShareIsReallocated)
{
    Simulation simulation(5, 30, {});
    startDaemons(simulation, 5);
    simulation.daemons[2]->pools[upstreamA].demand = 20;
    simulation.run(2s);
    Simulation::pause(*simulation.daemons[2], simulation.elapsed);
    simulation.daemons[1]->pools[upstreamA].demand = 40;
    simulation.run(20s);
    CHECK_EQUAL(27U, simulation.daemons[1]->pools[upstreamA].busy);
    simulation.resume(*simulation.daemons[2]);
    simulation.run(10s);
    CHECK_EQUAL(0, simulation.limitViolations);
    CHECK_EQUAL(27U, totalAllowance(simulation));
}

TEST(ShareNode, SharesSurviveALongStoreOutage)
{
    Simulation simulation(6, 30, {});
    startDaemons(simulation, 5);
    simulation.isStoreDown = true;
    simulation.run(120s);
    CHECK_EQUAL(27U, totalAllowance(simulation));
    simulation.kill(*simulation.daemons[0]);
    simulation.run(60s);
    const auto remaining = totalAllowance(simulation);
    CHECK(remaining >= 15);
    simulation.daemons[3]->pools[upstreamA].demand = 40;
    simulation.run(2s);
    CHECK_EQUAL(remaining, simulation.daemons[3]->pools[upstreamA].busy);
    simulation.isStoreDown = false;
    simulation.run(30s);
    CHECK_EQUAL(27U, totalAllowance(simulation));
    CHECK_EQUAL(0, simulation.limitViolations);
}

TEST(ShareNode, LowerAndHigherLimitsAreApplied)
{
    Simulation simulation(7, 30, {});
    startDaemons(simulation, 5);
    for (const auto limit : { 13U, 60U }) {
        simulation.limits[upstreamA] = limit;
        for (auto& daemon : simulation.daemons)
            daemon->node.limits = simulation.limits;
        simulation.run(10s);
        CHECK_EQUAL(limit - 3, totalAllowance(simulation));
    }
}

TEST(ShareNode, TheLimitHoldsUnderAnyFaults)
{
    setenv("RC_PARAMS", "seed=11 max_success=25", 0);
    const auto holds = rc::check("the connection limit is never exceeded", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        int limitViolations = 0;
        const auto finalAllowance = runRandomFaults(seed, limitViolations);
        RC_ASSERT(limitViolations == 0);
        RC_ASSERT(finalAllowance == 27U);
    });
    CHECK(holds);
}

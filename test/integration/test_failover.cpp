#include "amaranthhall/bench/gap.hpp"
#include "amaranthhall/bench/harm.hpp"
#include "amaranthhall/bench/load_generator.hpp"
#include "amaranthhall/bench/read_back.hpp"
#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <functional>
#include <thread>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr auto settleLimit = 10s; // twice the statement deadline
constexpr auto userBound = 16s; // for a change of primary

struct Fault {
    std::chrono::milliseconds at;
    std::function<void(rig::Cluster&)> begin;
};

struct Outcome {
    bench::HarmCounts harm;
    std::size_t acknowledged { 0 };
    std::vector<std::optional<std::chrono::milliseconds>> gaps; // after each fault
};

rig::ClusterOptions makeFailoverOptions(const std::string& name)
{
    auto options = integration::makeOptions(name);
    options.daemons = 3;
    options.connectDelay = 10ms;
    options.faultProxy = true;
    return options;
}

// Runs load over the faults, lets everything heal, and compares the databases with what callers were told.
Outcome runLoad(rig::Cluster& cluster, const std::vector<Fault>& faults, std::chrono::milliseconds length)
{
    rig::Caller maker(cluster.daemons().front().callerPort, "coach-ledger");
    const auto made = maker.run("CREATE TABLE entries (id text, caller integer, seq integer, part integer)");
    CHECK_TEXT(made.succeeded, made.message.c_str());
    kernel::Loop loop;
    const bench::Profile profile { .name = "test", .service = "coach-ledger", .instances = 1, .callers = 12, .arrivalsPerSecond = 80 };
    bench::LoadGenerator load(loop, profile, 11, [&] {
        std::vector<kernel::Address> addresses;
        for (const auto& node : cluster.daemons()) {
            if (!node.isFrozen)
                addresses.push_back({ .host = "127.0.0.1", .port = node.callerPort });
        }
        return addresses;
    });
    std::vector<Time> moments(faults.size());
    std::vector<kernel::Registration> timers;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        timers.push_back(loop.after(faults[i].at, [&, i] {
            moments[i] = loop.now();
            faults[i].begin(cluster);
        }));
    }
    timers.push_back(loop.after(length, [&] { load.stop(); }));
    timers.push_back(loop.every(50ms, [&, begin = loop.now()] {
        if (loop.now() > begin + length && load.isIdle())
            loop.stop();
    }));
    timers.push_back(loop.after(length + settleLimit, [&] { loop.stop(); }));
    load.start();
    loop.run();
    CHECK_TEXT(load.isIdle(), "a statement was left without an answer");
    cluster.healNetwork();
    cluster.resumeAll();
    Outcome outcome { .harm = bench::countHarm(load.history(), bench::readRows(cluster)) };
    for (const auto& write : load.history().writes)
        outcome.acknowledged += write.told == bench::Told::Acknowledged ? 1 : 0;
    for (const auto moment : moments)
        outcome.gaps.push_back(bench::measureGap(load.history(), 1, moment, userBound));
    return outcome;
}

void checkHarmless(const Outcome& outcome)
{
    CHECK_EQUAL(0U, outcome.harm.lost);
    CHECK_EQUAL(0U, outcome.harm.doubled);
    CHECK_EQUAL(0U, outcome.harm.mixed);
    CHECK_EQUAL(0U, outcome.harm.staleReads);
    CHECK_EQUAL(0U, outcome.harm.falseNotRun);
    CHECK(outcome.acknowledged > 0);
}

void checkGap(const Outcome& outcome, std::size_t fault)
{
    CHECK(outcome.gaps.at(fault).has_value());
    UT_PRINT(StringFromFormat("gap %d ms", static_cast<int>(outcome.gaps[fault]->count())).asCharString());
    CHECK(*outcome.gaps[fault] <= userBound);
}

}

TEST_GROUP(Failover) {};

TEST(Failover, AReplicaTakesOverFromAKilledPrimary)
{
    rig::Cluster cluster(makeFailoverOptions("failover-kill"));
    const auto outcome = runLoad(cluster, { { 1500ms, [](auto& running) { running.primaryOf(1).process->kill(); } } }, 4s);
    checkHarmless(outcome);
    checkGap(outcome, 0);
}

TEST(Failover, AStoppedPrimaryIsReplacedAndFollowsWhenItReturns)
{
    rig::Cluster cluster(makeFailoverOptions("failover-stop"));
    auto& former = cluster.primaryOf(1);
    const auto outcome = runLoad(cluster, { { 1500ms, [&](auto& running) { running.freeze(former); } }, { 4s, [&](auto& running) { running.resume(former); } } }, 6s);
    checkHarmless(outcome);
    checkGap(outcome, 0);
    CHECK(&cluster.primaryOf(1) != &former);
    const auto status = rig::Caller(former.realPort, "control").run("SELECT role FROM ah_status()");
    CHECK(status.rows.at(0).at(0) == "replica");
}

TEST(Failover, AnIsolatedPrimaryIsReplaced)
{
    rig::Cluster cluster(makeFailoverOptions("failover-isolated"));
    auto& former = cluster.primaryOf(1);
    const auto outcome = runLoad(cluster, { { 1500ms, [&](auto& running) { running.cutReplication(former); } }, { 4500ms, [](auto& running) { running.healNetwork(); } } }, 6500ms);
    checkHarmless(outcome);
    checkGap(outcome, 0);
    CHECK(&cluster.primaryOf(1) != &former);
}

TEST(Failover, AStoppedWatcherChangesNoPrimary)
{
    rig::Cluster cluster(makeFailoverOptions("failover-watcher"));
    auto& former = cluster.primaryOf(1);
    auto& watcher = cluster.daemons().front();
    const auto outcome = runLoad(cluster, { { 1500ms, [&](auto& running) { running.freeze(watcher); } }, { 4s, [&](auto& running) { running.resume(watcher); } } }, 5500ms);
    checkHarmless(outcome);
    CHECK(&cluster.primaryOf(1) == &former);
}

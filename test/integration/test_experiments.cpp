#include "amaranthhall/bench/experiment.hpp"
#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr double primaryChangeLimitMillis = 16'000; // the users' bound on a change of primary

bench::RunResult runNamed(const std::string& name, std::chrono::milliseconds length, std::size_t instances = 1, std::uint64_t seed = 1)
{
    auto profile = *bench::findProfile("lautoka");
    profile.daemons = 3;
    profile.instances = instances;
    profile.callers = 30;
    profile.arrivalsPerSecond = 120;
    const auto options = integration::makeOptions("experiment-" + name);
    return bench::runExperiment({ .name = name, .profile = profile, .seed = seed, .length = length, .binaries = options.binaries, .workFolder = options.workFolder });
}

void checkHarmless(const bench::RunResult& result)
{
    CHECK_EQUAL(0U, result.harm.lost);
    CHECK_EQUAL(0U, result.harm.doubled);
    CHECK_EQUAL(0U, result.harm.mixed);
    CHECK_EQUAL(0U, result.harm.staleReads);
    CHECK_EQUAL(0U, result.harm.falseNotRun);
    CHECK(result.acknowledged > 0);
    CHECK(result.readsServed > 0);
    for (const auto& use : result.connections)
        CHECK(use.most <= use.limit);
}

void checkGaps(const bench::RunResult& result)
{
    for (const auto& fault : result.faults) {
        if (!fault.stopsWrites)
            continue;
        CHECK(fault.gapMillis.has_value());
        CHECK(*fault.gapMillis <= primaryChangeLimitMillis);
    }
}

}

TEST_GROUP(Experiments) {};

TEST(Experiments, AKilledPrimaryIsReplacedAndNothingIsLost)
{
    const auto result = runNamed("failover", 9s);
    checkHarmless(result);
    checkGaps(result);
}

TEST(Experiments, PartitionsOfAPrimaryDoNoHarm)
{
    const auto result = runNamed("partition", 30s, 3);
    checkHarmless(result);
    checkGaps(result);
}

TEST(Experiments, AFrozenPrimaryAndFrozenDaemonsDoNoHarm)
{
    const auto result = runNamed("pause", 24s, 2);
    checkHarmless(result);
    checkGaps(result);
}

TEST(Experiments, LaggingReplicasDoNotShowOldReads)
{
    checkHarmless(runNamed("lag", 8s));
}

TEST(Experiments, ADrainedDaemonCutsNoRequest)
{
    const auto result = runNamed("drain", 9s);
    checkHarmless(result);
    CHECK_EQUAL(0U, result.unknown);
    CHECK_EQUAL(0U, result.refused);
    CHECK_EQUAL(0U, result.readsRefused);
}

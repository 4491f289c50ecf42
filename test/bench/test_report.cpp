#include "amaranthhall/bench/report.hpp"
#include "amaranthhall/bench/result.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

bench::RunResult makeResult()
{
    bench::RunResult result { .experiment = "failover", .profile = "lautoka", .seed = 3, .acknowledged = 100, .replicaReadShare = 0.9 };
    result.faults.push_back({ .second = 3, .what = "kill", .gapMillis = 700 });
    result.connections.push_back({ .upstream = "coach-ledger/1/a", .most = 30, .limit = 30 });
    result.timeline.resize(3);
    return result;
}

}

TEST_GROUP(Report) {};

TEST(Report, ARunOverItsConnectionLimitIsNotHarmless)
{
    auto result = makeResult();
    CHECK(bench::isHarmless(result));
    result.connections.front().most = 31;
    CHECK(!bench::isHarmless(result));
    CHECK(bench::summarize(bench::encodeResult(result)).find("OVER THE LIMIT") != std::string::npos);
}

TEST(Report, AnyHarmIsNotHarmless)
{
    auto result = makeResult();
    result.harm.staleReads = 1;
    CHECK(!bench::isHarmless(result));
}

TEST(Report, ComparesByRatio)
{
    auto second = makeResult();
    second.acknowledged = 150;
    const auto text = bench::compareResults(bench::encodeResult(makeResult()), bench::encodeResult(second));
    CHECK(text.find("| writes acknowledged | 100 | 150 | 1.5 |") != std::string::npos);
    CHECK(text.find("| lost | 0 | 0 | - |") != std::string::npos);
}

TEST(Report, DrawsEachFaultAndCurve)
{
    const auto svg = bench::plotTimeline(bench::encodeResult(makeResult()));
    CHECK(svg.find("<title>kill</title>") != std::string::npos);
    CHECK(svg.find(">unknown</text>") != std::string::npos);
}

TEST(Report, QuantilesAreByRank)
{
    const auto quantiles = bench::computeQuantiles({ 5, 1, 3 });
    DOUBLES_EQUAL(3, quantiles.p50, 0);
    DOUBLES_EQUAL(5, quantiles.p99, 0);
    CHECK_EQUAL(0U, bench::computeQuantiles({}).count);
}

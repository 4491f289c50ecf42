#include "amaranthhall/bench/latency.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(Latency) {};

TEST(Latency, GivesQuantilesWithinABucket)
{
    bench::LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i)
        histogram.add(std::chrono::milliseconds(i));
    DOUBLES_EQUAL(500, histogram.quantile(0.5), 15);
    DOUBLES_EQUAL(990, histogram.quantile(0.99), 30);
}

TEST(Latency, AnEmptyHistogramGivesZero)
{
    DOUBLES_EQUAL(0, bench::LatencyHistogram().quantile(0.5), 0);
}

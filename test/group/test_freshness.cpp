#include "amaranthhall/group/freshness.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(Freshness) {};

TEST(Freshness, AReplicaIsAsFreshAsTheLatestSampleItHasApplied)
{
    const Time begin { Duration(1h) };
    group::FreshnessHistory history;
    group::addSample(history, { .term = 1, .position = 10 }, begin);
    group::addSample(history, { .term = 1, .position = 20 }, begin + 1s);
    group::addSample(history, { .term = 1, .position = 20 }, begin + 2s);
    CHECK(!group::freshAsOf(history, 1, 9));
    CHECK(group::freshAsOf(history, 1, 10) == begin);
    CHECK(group::freshAsOf(history, 1, 19) == begin);
    CHECK(group::freshAsOf(history, 1, 20) == begin + 2s);
    CHECK(!group::freshAsOf(history, 2, 20));
}

TEST(Freshness, ANewTermDiscardsTheSamplesOfTheOldTerm)
{
    const Time begin { Duration(1h) };
    group::FreshnessHistory history;
    group::addSample(history, { .term = 1, .position = 10 }, begin);
    group::addSample(history, { .term = 2, .position = 8 }, begin + 1s);
    group::addSample(history, { .term = 1, .position = 12 }, begin + 2s);
    CHECK(!group::freshAsOf(history, 1, 12));
    CHECK(group::freshAsOf(history, 2, 8) == begin + 1s);
}

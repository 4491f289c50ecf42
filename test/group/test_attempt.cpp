#include "amaranthhall/group/attempt.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(Attempt) {};

TEST(Attempt, AMajorityDecidesByTermBeforePosition)
{
    group::Attempt attempt { .term = 3, .groupSize = 3 };
    CHECK(!group::takeFence(attempt, { .upstream = "a", .last = { .term = 1, .position = 9 } }));
    const auto candidate = group::takeFence(attempt, { .upstream = "b", .last = { .term = 2, .position = 4 } });
    CHECK(candidate == "b");
}

TEST(Attempt, ALateAnswerDoesNotChangeTheChoice)
{
    group::Attempt attempt { .term = 3, .groupSize = 3 };
    CHECK(!group::takeFence(attempt, { .upstream = "a" }));
    CHECK(!group::takeFence(attempt, { .upstream = "a" }));
    CHECK(group::takeFence(attempt, { .upstream = "b" }) == "a");
    CHECK(!group::takeFence(attempt, { .upstream = "c", .last = { .term = 2, .position = 4 } }));
    CHECK(attempt.candidate == "a");
}

TEST(Attempt, AnIsolatedPrimaryIsNotChosen)
{
    group::Attempt attempt { .term = 3, .groupSize = 3, .excluded = "a" };
    CHECK(!group::takeFence(attempt, { .upstream = "a", .last = { .term = 2, .position = 9 } }));
    CHECK(!group::takeFence(attempt, { .upstream = "b", .last = { .term = 2, .position = 3 } }));
    CHECK(group::takeFence(attempt, { .upstream = "c", .last = { .term = 2, .position = 4 } }) == "c");
}

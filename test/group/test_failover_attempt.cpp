#include "amaranthhall/group/failover_attempt.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(FailoverAttempt) {};

TEST(FailoverAttempt, AMajorityChoosesByTermBeforePosition)
{
    group::FailoverAttempt attempt { .term = 3, .groupSize = 3 };
    CHECK(!group::recordFenceAcceptance(attempt, { .upstream = "a", .last = { .term = 1, .position = 9 } }));
    const auto candidate = group::recordFenceAcceptance(attempt, { .upstream = "b", .last = { .term = 2, .position = 4 } });
    CHECK(candidate == "b");
}

TEST(FailoverAttempt, ALateReplyDoesNotChangeTheCandidate)
{
    group::FailoverAttempt attempt { .term = 3, .groupSize = 3 };
    CHECK(!group::recordFenceAcceptance(attempt, { .upstream = "a" }));
    CHECK(!group::recordFenceAcceptance(attempt, { .upstream = "a" }));
    CHECK(group::recordFenceAcceptance(attempt, { .upstream = "b" }) == "a");
    CHECK(!group::recordFenceAcceptance(attempt, { .upstream = "c", .last = { .term = 2, .position = 4 } }));
    CHECK(attempt.candidate == "a");
}

TEST(FailoverAttempt, AnIsolatedPrimaryIsNotChosen)
{
    group::FailoverAttempt attempt { .term = 3, .groupSize = 3, .excluded = "a" };
    CHECK(!group::recordFenceAcceptance(attempt, { .upstream = "a", .last = { .term = 2, .position = 9 } }));
    CHECK(!group::recordFenceAcceptance(attempt, { .upstream = "b", .last = { .term = 2, .position = 3 } }));
    CHECK(group::recordFenceAcceptance(attempt, { .upstream = "c", .last = { .term = 2, .position = 4 } }) == "c");
}

#include "amaranthhall/gateway/drain_decision.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using gateway::decideDrain;

TEST_GROUP(DrainDecision) {};

TEST(DrainDecision, SessionsAreClosedOnceThePlatformSendsNoMoreCallers)
{
    CHECK_FALSE(decideDrain({ .elapsed = 2s, .limit = 6s, .sessions = 3 }).closesSessions);
    CHECK_TRUE(decideDrain({ .elapsed = 2300ms, .limit = 6s, .sessions = 3 }).closesSessions);
}

TEST(DrainDecision, TransactionsHaveHalfOfTheTimeToEnd)
{
    CHECK_FALSE(decideDrain({ .elapsed = 2900ms, .limit = 6s, .sessions = 3 }).abortsTransactions);
    CHECK_TRUE(decideDrain({ .elapsed = 3s, .limit = 6s, .sessions = 3 }).abortsTransactions);
}

// Failure: the process ended with requests in progress, which got no answer.
TEST(DrainDecision, RequestsInProgressAreAnsweredBeforeTheProcessEnds)
{
    for (const auto limit : { 1s, 2s, 6s, 30s }) {
        bool wereAnswered = false;
        for (Duration elapsed { 0 };; elapsed += 100ms) {
            const auto decision = decideDrain({ .elapsed = elapsed, .limit = limit, .sessions = 1 });
            if (decision.isOver) {
                CHECK_TRUE(wereAnswered);
                CHECK(elapsed < limit);
                break;
            }
            wereAnswered = decision.abandonsRequests;
        }
    }
}

TEST(DrainDecision, RequestsGetNearlyAllOfTheTime)
{
    CHECK_FALSE(decideDrain({ .elapsed = 5100ms, .limit = 6s, .sessions = 1 }).abandonsRequests);
    CHECK_FALSE(decideDrain({ .elapsed = 5300ms, .limit = 6s, .sessions = 1 }).isOver);
}

// Failure: a daemon without sessions ended while it ran a transaction for another daemon, which was to have half of the limit.
TEST(DrainDecision, WhatRunsForOtherDaemonsIsWaitedFor)
{
    CHECK_TRUE(decideDrain({ .elapsed = 2300ms, .limit = 6s }).isOver);
    CHECK_FALSE(decideDrain({ .elapsed = 2300ms, .limit = 6s, .relayedStreams = 1 }).isOver);
}

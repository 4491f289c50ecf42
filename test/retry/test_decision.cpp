#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/retry/decision.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using retry::Decision;

TEST_GROUP(RetryDecision)
{
    retry::Budget budget;

    Decision decide(const retry::Outcome& outcome) { return retry::decide(outcome, this->budget); }
};

TEST(RetryDecision, ASentWriteThatIsLostIsUnknownAndNeverRetried)
{
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true }) == Decision::OutcomeUnknown);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .inTransaction = true }) == Decision::OutcomeUnknown);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .sqlstate = "57P01" }) == Decision::OutcomeUnknown);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .deadlineExpired = true }) == Decision::OutcomeUnknown);
}

TEST(RetryDecision, ARequestKeyMakesALostWriteRetriable)
{
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .idempotent = true }) == Decision::Retry);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .idempotent = true, .deadlineExpired = true }) == Decision::OutcomeUnknown);
}

TEST(RetryDecision, ReadsAndUnsentWritesAreRetriedUntilAByteIsDelivered)
{
    CHECK(this->decide({ .sent = true, .lost = true }) == Decision::Retry);
    CHECK(this->decide({ .sent = true, .lost = true, .bytesDelivered = 1 }) == Decision::NotRun);
    CHECK(this->decide({ .lost = true, .writes = true }) == Decision::Retry);
    CHECK(this->decide({ .lost = true, .writes = true, .inTransaction = true }) == Decision::NotRun);
}

TEST(RetryDecision, ALostTransactionBeforeItsCommitIsNotRun)
{
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .inTransaction = true, .commits = false }) == Decision::NotRun);
}

TEST(RetryDecision, ARolledBackStatementIsRetriedOutsideTransactionsOnly)
{
    CHECK(this->decide({ .sent = true, .writes = true, .sqlstate = "25006" }) == Decision::Retry);
    CHECK(this->decide({ .sent = true, .writes = true, .inTransaction = true, .sqlstate = "40001" }) == Decision::ForwardReply);
    CHECK(this->decide({ .sent = true, .writes = true, .sqlstate = "23505" }) == Decision::ForwardReply);
    CHECK(this->decide({ .sent = true, .sqlstate = "25006", .retries = 5 }) == Decision::ForwardReply);
}

TEST(RetryDecision, RetriesAreLimitedToAShareOfSuccesses)
{
    const retry::Outcome lostRead { .sent = true, .lost = true };
    this->budget = { .options = { .share = 0.5, .limit = 2 } };
    CHECK(this->decide(lostRead) == Decision::Retry);
    CHECK(this->decide(lostRead) == Decision::Retry);
    CHECK(this->decide(lostRead) == Decision::NotRun);
    retry::deposit(this->budget);
    CHECK(this->decide(lostRead) == Decision::NotRun);
    retry::deposit(this->budget);
    CHECK(this->decide(lostRead) == Decision::Retry);
}

TEST(RetryDecision, DelaysGrowUpToTheirLimit)
{
    Random random(7);
    const retry::BackoffOptions options { .first = std::chrono::milliseconds(10), .limit = std::chrono::milliseconds(50) };
    for (unsigned retries = 0; retries < 40; ++retries)
        CHECK(retry::jitteredDelay(options, retries, random) <= std::chrono::milliseconds(50));
    CHECK(retry::jitteredDelay(options, 0, random) <= std::chrono::milliseconds(10));
}

#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/retry/verdict.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using retry::Decision;

TEST_GROUP(Verdict)
{
    retry::Budget budget;

    Decision decide(const retry::Outcome& outcome) { return retry::decide(outcome, this->budget); }
};

TEST(Verdict, ALostSentWriteIsUnknownAndNeverRetried)
{
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true }) == Decision::OutcomeUnknown);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .inTransaction = true }) == Decision::OutcomeUnknown);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .sqlstate = "57P01" }) == Decision::OutcomeUnknown);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .expired = true }) == Decision::OutcomeUnknown);
}

TEST(Verdict, ARequestKeyMakesALostWriteRetriable)
{
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .keyed = true }) == Decision::Retry);
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .keyed = true, .expired = true }) == Decision::OutcomeUnknown);
}

TEST(Verdict, ReadsAndUnsentWritesAreRetriedUntilAByteWasGiven)
{
    CHECK(this->decide({ .sent = true, .lost = true }) == Decision::Retry);
    CHECK(this->decide({ .sent = true, .lost = true, .bytesGiven = 1 }) == Decision::NotRun);
    CHECK(this->decide({ .lost = true, .writes = true }) == Decision::Retry);
    CHECK(this->decide({ .lost = true, .writes = true, .inTransaction = true }) == Decision::NotRun);
}

TEST(Verdict, ALostTransactionBeforeItsCommitIsNotRun)
{
    CHECK(this->decide({ .sent = true, .lost = true, .writes = true, .inTransaction = true, .commits = false }) == Decision::NotRun);
}

TEST(Verdict, ARolledBackStatementIsRetriedOutsideTransactionsOnly)
{
    CHECK(this->decide({ .sent = true, .writes = true, .sqlstate = "25006" }) == Decision::Retry);
    CHECK(this->decide({ .sent = true, .writes = true, .inTransaction = true, .sqlstate = "40001" }) == Decision::Answer);
    CHECK(this->decide({ .sent = true, .writes = true, .sqlstate = "23505" }) == Decision::Answer);
    CHECK(this->decide({ .sent = true, .sqlstate = "25006", .retries = 5 }) == Decision::Answer);
}

TEST(Verdict, RetriesAreAShareOfSuccesses)
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

TEST(Verdict, PausesGrowUpToTheirLimit)
{
    Random random(7);
    const retry::BackoffOptions options { .first = std::chrono::milliseconds(10), .limit = std::chrono::milliseconds(50) };
    for (unsigned retries = 0; retries < 40; ++retries)
        CHECK(retry::drawPause(options, retries, random) <= std::chrono::milliseconds(50));
    CHECK(retry::drawPause(options, 0, random) <= std::chrono::milliseconds(10));
}

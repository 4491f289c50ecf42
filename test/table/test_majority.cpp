#include "amaranthhall/table/majority.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using table::ElectorAnswer;

TEST_GROUP(Majority) {};

TEST(Majority, MoreThanHalfMustBeUpToDate)
{
    auto round = table::beginRound(3, true, {});
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    CHECK(!table::hasMajority(round));
    table::countAnswer(round, ElectorAnswer::Silent, false);
    CHECK(!table::hasMajority(round));
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    CHECK(table::hasMajority(round));
    LONGS_EQUAL(0, round.open);
}

TEST(Majority, ADaemonThatHasForgottenStillCountsAgainstIt)
{
    auto round = table::beginRound(3, true, {});
    table::countAnswer(round, ElectorAnswer::Unloaded, false);
    table::countAnswer(round, ElectorAnswer::Silent, false);
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    CHECK(!table::hasMajority(round));
}

TEST(Majority, ANewcomerThatIsUnloadedDoesNotCount)
{
    auto round = table::beginRound(3, true, {});
    table::countAnswer(round, ElectorAnswer::Unloaded, true);
    table::countAnswer(round, ElectorAnswer::Silent, false);
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    CHECK(table::hasMajority(round));
}

TEST(Majority, ADaemonThatStartsDoesNotCountItself)
{
    auto round = table::beginRound(4, false, {});
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    CHECK(!table::hasMajority(round));
    table::countAnswer(round, ElectorAnswer::UpToDate, false);
    CHECK(table::hasMajority(round));
}

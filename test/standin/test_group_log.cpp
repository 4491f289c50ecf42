#include "amaranthhall/standin/group_log.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

standin::GroupLog makePrimary(group::Term term)
{
    standin::GroupLog log;
    log.fence(term);
    log.promote(term);
    return log;
}

}

TEST_GROUP(GroupLog) {};

TEST(GroupLog, AcceptsATermOnce)
{
    standin::GroupLog log;
    CHECK(log.fence(2));
    CHECK(!log.fence(2));
    CHECK(!log.fence(1));
    CHECK(!log.promote(1));
    CHECK(log.promote(2));
}

TEST(GroupLog, DropsATailThatTheNewPrimaryNeverHad)
{
    auto oldPrimary = makePrimary(1);
    standin::GroupLog replica;
    oldPrimary.append({});
    CHECK(replica.takeFeed(oldPrimary.makeFeed(0, 10)).accepted);
    oldPrimary.append({});
    CHECK(replica.fence(2));
    CHECK(replica.promote(2));
    replica.append({});
    const auto answer = oldPrimary.takeFeed(replica.makeFeed(1, 10));
    CHECK(answer.accepted);
    CHECK(answer.truncated);
    CHECK(oldPrimary.pointAt(2) == (group::LogPoint { .term = 2, .position = 2 }));
}

TEST(GroupLog, RefusesAFeedOfALowerTerm)
{
    auto oldPrimary = makePrimary(1);
    oldPrimary.append({});
    standin::GroupLog replica;
    replica.fence(2);
    CHECK(!replica.takeFeed(oldPrimary.makeFeed(0, 10)).accepted);
    CHECK_EQUAL(0U, replica.records().size());
}

#include "amaranthhall/succession/pending_orders.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace amaranthhall;
using succession::PendingOrders;
using Names = std::vector<std::string>;

TEST_GROUP(PendingOrders) {};

// Failure: a second candidate took the place of the first one, whose order was then carried out late.
TEST(PendingOrders, AnOrderIsAddedBesideThoseForOtherCandidates)
{
    PendingOrders pending;
    add(pending.orders, { .candidate = "a", .fence = { .number = 10 } });
    add(pending.orders, { .candidate = "b", .fence = { .number = 11 } });
    CHECK(candidatesOf(pending, 0) == Names({ "a", "b" }));
    add(pending.orders, { .candidate = "a", .fence = { .number = 12 } });
    CHECK(candidatesOf(pending, 0) == Names({ "b", "a" }));
    LONGS_EQUAL(12, pending.orders.back().fence.number);
}

TEST(PendingOrders, OnlyANewerVersionReplacesWhatIsKnown)
{
    PendingOrders known { .version = { .number = 20 }, .orders = { { .candidate = "a" } } };
    CHECK_FALSE(update(known, { .version = { .number = 20 } }));
    CHECK_FALSE(update(known, { .version = { .number = 19 } }));
    CHECK(candidatesOf(known, 0) == Names({ "a" }));
    CHECK_TRUE(update(known, { .version = { .era = 1, .number = 3 } }));
    CHECK(candidatesOf(known, 0).empty());
}

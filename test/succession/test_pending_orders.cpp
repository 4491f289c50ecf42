#include "amaranthhall/succession/pending_orders.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using succession::FenceCheck;
using succession::PendingOrders;
using succession::takeoverLimit;
using Names = std::vector<std::string>;

TEST_GROUP(PendingOrders)
{
    const Time start { 100s };

    /// Orders for "a", "b" and "c", each under a newer fence.
    static PendingOrders threeOrders()
    {
        return { .version = { .number = 13 }, .orders = { { .candidate = "a", .fence = { .number = 11 } }, { .candidate = "b", .fence = { .number = 12 } }, { .candidate = "c", .fence = { .number = 13 } } } };
    }

    static Names settledAt(Time now, const succession::AcceptedOrder& accepted, FenceCheck check)
    {
        auto pending = threeOrders();
        accept(pending, accepted);
        settle(pending, check, now);
        return candidatesOf(pending.orders);
    }
};

// Failure: a second candidate took the place of the first one, whose order was then carried out late.
TEST(PendingOrders, AnOrderIsAddedBesideThoseForOtherCandidates)
{
    std::vector<succession::PendingOrder> orders;
    add(orders, { .candidate = "a", .fence = { .number = 10 } });
    add(orders, { .candidate = "b", .fence = { .number = 11 } });
    CHECK(candidatesOf(orders) == Names({ "a", "b" }));
}

// Failure: an order replaced an older one for the same candidate and was withdrawn; the older one, which had no answer, was forgotten with it.
TEST(PendingOrders, AnOlderOrderForTheSameCandidateStaysUntilTheNewerOneHasBeenSent)
{
    PendingOrders pending;
    for (std::uint64_t fence = 10; fence < 13; ++fence)
        add(pending.orders, { .candidate = "a", .fence = { .number = fence } });
    LONGS_EQUAL(2, pending.orders.size());
    CHECK_TRUE(withdraw(pending, { .number = 12 }));
    CHECK(candidatesOf(pending.orders) == Names({ "a" }));
    LONGS_EQUAL(11, pending.orders[0].fence.number);
}

// Failure: an order was forgotten ten seconds after its announcement, and carried out later.
TEST(PendingOrders, OnlyAnAcceptedOrderEndsTheWait)
{
    struct Case {
        const char* what;
        Duration after;
        std::uint64_t fence;
        FenceCheck check;
        Names left;
    };
    const Case cases[] {
        { "a takeover may be under way", takeoverLimit - 1ms, 13, FenceCheck::Present, { "a", "b", "c" } },
        { "all are void or carried out", takeoverLimit, 13, FenceCheck::Present, {} },
        { "an order under a newer fence stays", takeoverLimit, 12, FenceCheck::Present, { "c" } },
        { "an old answer says nothing of newer orders", 1h, 10, FenceCheck::Present, { "a", "b", "c" } },
        { "without a check nothing is made void", takeoverLimit, 13, FenceCheck::Absent, { "a", "b" } },
    };
    for (const auto& [what, after, fence, check, left] : cases)
        CHECK_TEXT(settledAt(this->start + after, { .fence = { .number = fence }, .at = this->start }, check) == left, what);
    auto unanswered = threeOrders();
    CHECK_FALSE(settle(unanswered, FenceCheck::Present, this->start + 1h));
    LONGS_EQUAL(3, unanswered.orders.size());
}

TEST(PendingOrders, ANewerOrderIsNeededWhileOneMayBeCarriedOut)
{
    auto pending = threeOrders();
    CHECK_TRUE(needsNewerOrder(pending, FenceCheck::Present));
    CHECK_FALSE(needsNewerOrder(pending, FenceCheck::Absent));
    accept(pending, { .fence = { .number = 12 }, .at = this->start });
    CHECK_TRUE(needsNewerOrder(pending, FenceCheck::Present));
    CHECK_TRUE(withdraw(pending, { .number = 13 }));
    CHECK_FALSE(needsNewerOrder(pending, FenceCheck::Present));
    CHECK_FALSE(withdraw(pending, { .number = 13 }));
}

TEST(PendingOrders, OnlyANewerVersionReplacesWhatIsKnown)
{
    auto known = threeOrders();
    CHECK_FALSE(update(known, { .version = { .number = 13 } }));
    CHECK_FALSE(update(known, { .version = { .number = 12 } }));
    LONGS_EQUAL(3, known.orders.size());
    CHECK_TRUE(update(known, { .version = { .number = 14 }, .orders = { { .candidate = "c", .fence = { .number = 13 } } } }));
    CHECK(candidatesOf(known.orders) == Names({ "c" }));
    // The store was restored from a backup that lacks the order.
    CHECK_TRUE(update(known, { .version = { .era = 1, .number = 3 }, .orders = { { .candidate = "a", .fence = { .number = 2 } } } }));
    CHECK(candidatesOf(known.orders) == Names({ "a", "c" }));
}

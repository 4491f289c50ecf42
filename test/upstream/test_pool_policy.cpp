#include "amaranthhall/upstream/pool_policy.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <rapidcheck.h>

using namespace amaranthhall;
using namespace amaranthhall::upstream;
using namespace std::chrono_literals;

namespace {

constexpr auto fixedSeed = 11U;
constexpr auto start = Time(1h);

}

TEST_GROUP(PoolPolicy)
{
    PoolState state;
    Random random { fixedSeed };
};

TEST(PoolPolicy, OpeningsAreLimitedAndStayWithinTheAllowance)
{
    CHECK_EQUAL(4U, planPool(this->state, {}, 10, 30, start).open);
    CHECK_EQUAL(1U, planPool(this->state, { .opening = 3 }, 10, 30, start).open);
    CHECK_EQUAL(1U, planPool(this->state, { .lent = 2 }, 10, 3, start).open);
    CHECK_EQUAL(0U, planPool(this->state, { .lent = 2, .opening = 1 }, 10, 3, start).open);
}

TEST(PoolPolicy, AShrunkenAllowanceClosesIdleOnesAtOnce)
{
    CHECK_EQUAL(3U, planPool(this->state, { .idle = 3, .lent = 3 }, 3, 2, start).closeIdle);
    CHECK_EQUAL(1U, planPool(this->state, { .idle = 3, .lent = 1 }, 1, 3, start).closeIdle);
}

TEST(PoolPolicy, ConnectionsAreKeptForTheRecentPeakAndThenClosedOneByOne)
{
    CHECK_EQUAL(4U, planPool(this->state, {}, 6, 30, start).open);
    CHECK_EQUAL(0U, planPool(this->state, { .idle = 6 }, 0, 30, start + 5s).closeIdle);
    CHECK_EQUAL(0U, planPool(this->state, { .idle = 6 }, 0, 30, start + 11s).closeIdle);
    CHECK_EQUAL(0U, planPool(this->state, { .idle = 6 }, 0, 30, start + 22s).closeIdle);
    const auto plan = planPool(this->state, { .idle = 6 }, 0, 30, start + 23s);
    CHECK_EQUAL(1U, plan.closeIdle);
    CHECK(plan.wakeAt.has_value());
    CHECK_EQUAL(0U, planPool(this->state, { .idle = 5 }, 0, 30, start + 23500ms).closeIdle);
}

TEST(PoolPolicy, AFailedConnectIsFollowedByAPauseAndThenBySingleTrials)
{
    noteConnectFailure(this->state, start, this->random);
    CHECK(isBackingOff(this->state, start));
    const auto plan = planPool(this->state, {}, 10, 30, start);
    CHECK_EQUAL(0U, plan.open);
    CHECK(plan.wakeAt == this->state.retryAt);
    CHECK_EQUAL(1U, planPool(this->state, {}, 10, 30, this->state.retryAt).open);
    CHECK_EQUAL(0U, planPool(this->state, { .opening = 1 }, 10, 30, this->state.retryAt).open);
    noteConnectSuccess(this->state);
    CHECK_EQUAL(4U, planPool(this->state, {}, 10, 30, start).open);
}

TEST(PoolPolicy, ThePauseGrowsWithJitterUpToABound)
{
    Duration longest {};
    for (int i = 0; i < 30; ++i) {
        noteConnectFailure(this->state, start, this->random);
        longest = std::max(longest, this->state.retryAt - start);
    }
    CHECK(longest > 1s);
    CHECK(longest <= 2s);
}

TEST(PoolPolicy, TheAllowanceIsNeverExceeded)
{
    setenv("RC_PARAMS", "seed=11", 0);
    const bool isKept = rc::check("allowance", [] {
        PoolState state;
        PoolCounts counts;
        auto now = start;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        std::uint32_t allowance = 8;
        for (const auto step : steps) {
            now += std::chrono::milliseconds(step);
            if (step % 3 == 0)
                counts = { .idle = counts.idle + counts.opening, .lent = counts.lent };
            if (step % 7 == 0 && counts.idle > 0)
                counts = { .idle = counts.idle - 1, .lent = counts.lent + 1, .opening = counts.opening };
            if (step % 11 == 0 && counts.lent > 0)
                counts = { .idle = counts.idle + 1, .lent = counts.lent - 1, .opening = counts.opening };
            if (step % 5 == 0)
                allowance = std::max(counts.lent + counts.opening, static_cast<std::uint32_t>(step % 13));
            const auto plan = planPool(state, counts, counts.lent + static_cast<std::uint32_t>(step % 17), allowance, now);
            counts.idle -= plan.closeIdle;
            counts.opening += plan.open;
            RC_ASSERT(counts.total() <= allowance);
        }
    });
    CHECK(isKept);
}

TEST(PoolPolicy, AConnectionThatTheUpstreamMayStillHoldLeavesNoRoom)
{
    PoolState state;
    const PoolCounts counts { .lent = 1, .closing = 1 };
    CHECK_EQUAL(0U, planPool(state, counts, 2, 2, Time()).open);
    CHECK_EQUAL(1U, planPool(state, counts, 2, 3, Time()).open);
    CHECK_EQUAL(0U, planPool(state, counts, 1, 2, Time()).closeIdle);
}

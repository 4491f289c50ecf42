#include "amaranthhall/freshness/store_clock.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace amaranthhall;
using freshness::Micros;
using freshness::StoreClock;

namespace {

constexpr Micros second = 1'000'000;

}

TEST_GROUP(StoreClock)
{
    StoreClock clock;
};

TEST(StoreClock, HasNoBoundsBeforeFirstExchange)
{
    CHECK_FALSE(this->clock.earliestStoreTime(0).has_value());
    CHECK_FALSE(this->clock.latestStoreTime(0).has_value());
    CHECK_FALSE(this->clock.earliestLocalTime(0, 0).has_value());
}

TEST(StoreClock, BoundsContainTheTrueTimeForAnyDelay)
{
    const bool holds = rc::check("the true store time of a local time lies within the bounds", [] {
        const auto offset = *rc::gen::inRange<Micros>(-1000 * second, 1000 * second);
        StoreClock clock;
        Micros now = 0;
        for (int i = 0; i < 20; ++i) {
            const auto sent = now + *rc::gen::inRange<Micros>(0, 2 * second);
            const auto readAt = sent + *rc::gen::inRange<Micros>(0, second);
            const auto receivedAt = readAt + *rc::gen::inRange<Micros>(0, second);
            // The store reports its time rounded down to whole milliseconds.
            const auto reported = (readAt + offset) >= 0 ? (readAt + offset) / 1000 * 1000 : -((-(readAt + offset) + 999) / 1000) * 1000;
            clock.observe(sent, receivedAt, reported);
            now = receivedAt;
            RC_ASSERT(*clock.earliestStoreTime(now) <= now + offset);
            RC_ASSERT(*clock.latestStoreTime(now) >= now + offset);
            RC_ASSERT(*clock.earliestLocalTime(now + offset, now) <= now);
        }
    });
    CHECK_TRUE(holds);
}

TEST(StoreClock, RestartedClockResetsBounds)
{
    this->clock.observe(0, 10'000, 500 * second);
    this->clock.observe(second, second + 10'000, 0);
    CHECK_TRUE(*this->clock.latestStoreTime(second + 10'000) < second);
}

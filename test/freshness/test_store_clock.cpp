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

TEST(StoreClock, NothingIsKnownBeforeTheFirstExchange)
{
    CHECK_FALSE(this->clock.earliest(0).has_value());
    CHECK_FALSE(this->clock.latest(0).has_value());
    CHECK_FALSE(this->clock.localBefore(0, 0).has_value());
}

TEST(StoreClock, BoundsHoldTheTrueMomentWhateverTheDelays)
{
    const bool holds = rc::check("the true store time of a local moment lies within the bounds", [] {
        const auto offset = *rc::gen::inRange<Micros>(-1000 * second, 1000 * second);
        StoreClock clock;
        Micros now = 0;
        for (int i = 0; i < 20; ++i) {
            const auto sent = now + *rc::gen::inRange<Micros>(0, 2 * second);
            const auto there = sent + *rc::gen::inRange<Micros>(0, second);
            const auto back = there + *rc::gen::inRange<Micros>(0, second);
            // The store tells whole milliseconds.
            const auto told = (there + offset) >= 0 ? (there + offset) / 1000 * 1000 : -((-(there + offset) + 999) / 1000) * 1000;
            clock.observe(sent, back, told);
            now = back;
            RC_ASSERT(*clock.earliest(now) <= now + offset);
            RC_ASSERT(*clock.latest(now) >= now + offset);
            RC_ASSERT(*clock.localBefore(now + offset, now) <= now);
        }
    });
    CHECK_TRUE(holds);
}

TEST(StoreClock, AClockThatBeganAnewIsFollowed)
{
    this->clock.observe(0, 10'000, 500 * second);
    this->clock.observe(second, second + 10'000, 0);
    CHECK_TRUE(*this->clock.latest(second + 10'000) < second);
}

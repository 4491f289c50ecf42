#include "amaranthhall/freshness/replica_lag.hpp"
#include "amaranthhall/freshness/sample_window.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using freshness::Micros;
using freshness::SampleWindow;
using group::LogPoint;

namespace {

constexpr Micros second = 1'000'000;

}

TEST_GROUP(SampleWindow)
{
    SampleWindow window;

    void add(group::Term term, group::Position position, Micros at) { this->window.add({ .point = { .term = term, .position = position }, .at = at }); }
};

TEST(SampleWindow, ReturnsLeastPointSinceTime)
{
    this->add(1, 10, 1 * second);
    this->add(1, 20, 2 * second);
    this->add(1, 30, 3 * second);
    CHECK(this->window.leastPointSince(second / 2) == LogPoint({ .term = 1, .position = 10 }));
    CHECK(this->window.leastPointSince(1 * second + 1) == LogPoint({ .term = 1, .position = 20 }));
    CHECK(this->window.leastPointSince(3 * second) == LogPoint({ .term = 1, .position = 30 }));
    CHECK_FALSE(this->window.leastPointSince(3 * second + 1).has_value());
}

TEST(SampleWindow, IgnoresPointsOfOlderTerms)
{
    this->add(1, 100, 1 * second);
    this->add(2, 95, 2 * second);
    CHECK(this->window.leastPointSince(0) == LogPoint({ .term = 2, .position = 95 }));
}

TEST(SampleWindow, DropsPointsAfterRollback)
{
    this->add(1, 90, 1 * second);
    this->add(1, 100, 2 * second);
    this->window.dropAfter({ .term = 1, .position = 95 });
    CHECK(this->window.newest()->point == LogPoint({ .term = 1, .position = 90 }));
}

TEST(SampleWindow, AcceptsSamplesInAnyOrder)
{
    this->add(1, 30, 3 * second);
    this->add(1, 10, 1 * second);
    this->add(1, 20, 2 * second);
    CHECK(this->window.leastPointSince(1 * second + 1) == LogPoint({ .term = 1, .position = 20 }));
    CHECK(this->window.newest()->point == LogPoint({ .term = 1, .position = 30 }));
}

TEST(SampleWindow, ThinningOnlyReturnsLaterPoints)
{
    for (int i = 0; i < 4000; ++i)
        this->add(1, static_cast<group::Position>(i), i * 1000);
    // The sample at 2 s has position 2000; after thinning, the window may only return a later position.
    const auto point = this->window.leastPointSince(2 * second);
    CHECK(point >= LogPoint({ .term = 1, .position = 2000 }));
    CHECK(point <= LogPoint({ .term = 1, .position = 2100 }));
}

TEST_GROUP(ReplicaLag)
{
    SampleWindow window;
    freshness::ReplicaLag lag;

    void setup() override
    {
        for (int i = 0; i <= 30; ++i)
            this->window.add({ .point = { .term = 1, .position = static_cast<group::Position>(i) }, .at = i * second / 10 });
    }
};

TEST(ReplicaLag, LaggingReplicaIsExpectedToHoldOlderPositions)
{
    // At 3 s the replica reports position 20, which the leader reached at 2 s, so its lag is about 1 s.
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 20 }, 3 * second);
    CHECK_TRUE(freshness::isExpectedToHold(this->lag, this->window, { .term = 1, .position = 20 }, 3 * second));
    CHECK_FALSE(freshness::isExpectedToHold(this->lag, this->window, { .term = 1, .position = 25 }, 3 * second));
    CHECK_TRUE(freshness::isExpectedToHold(this->lag, this->window, { .term = 1, .position = 25 }, 3 * second + second / 2));
}

TEST(ReplicaLag, IgnoresExpiredEstimate)
{
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 1 }, 1 * second);
    CHECK_TRUE(freshness::isExpectedToHold(this->lag, this->window, { .term = 1, .position = 30 }, 1 * second + freshness::ReplicaLag::maximumAge + 1));
}

TEST(ReplicaLag, ReportedPositionIsHeld)
{
    freshness::updateLag(this->lag, this->window, { .term = 2, .position = 5 }, 3 * second);
    CHECK_TRUE(freshness::isExpectedToHold(this->lag, this->window, { .term = 2, .position = 5 }, 3 * second));
}

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

// Guards against reads that are sent again and again to a replica that receives nothing, after each as much later as its lag was.
TEST(ReplicaLag, AReplicaThatReceivesNothingIsNotExpectedToAdvance)
{
    for (int i = 10; i <= 20; ++i)
        freshness::updateLag(this->lag, this->window, { .term = 1, .position = 10 }, i * second / 10);
    CHECK_FALSE(freshness::expectedToHoldAt(this->lag, { .term = 1, .position = 11 }, 11 * second / 10, 3 * second).has_value());
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 30 }, 3 * second);
    CHECK_TRUE(freshness::isExpectedToHold(this->lag, this->window, { .term = 1, .position = 30 }, 3 * second));
}

TEST(ReplicaLag, AfterARefusalOnlyMeasuredProgressIsExpected)
{
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 20 }, 2 * second + second / 2);
    freshness::noteLagRefusal(this->lag, 2 * second + second / 2);
    CHECK_FALSE(freshness::isExpectedToHold(this->lag, this->window, { .term = 1, .position = 21 }, 3 * second));
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 23 }, 2 * second + 8 * second / 10);
    const auto holdsAt = freshness::expectedToHoldAt(this->lag, { .term = 1, .position = 26 }, 26 * second / 10, 3 * second);
    CHECK_TRUE(holdsAt.has_value());
    LONGS_EQUAL(3 * second + freshness::ReplicaLag::safetyMargin, *holdsAt);
}

TEST(ReplicaLag, ProbesBecomeRarerUntilThePositionAdvances)
{
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 1 }, second);
    int probes = 0;
    for (Micros now = second; now < 3 * second; now += 1000) {
        if (!freshness::isProbeDue(this->lag, now))
            continue;
        freshness::noteProbe(this->lag, now);
        freshness::updateLag(this->lag, this->window, { .term = 1, .position = 1 }, now);
        ++probes;
    }
    LONGS_EQUAL(7, probes); // after 50, 100 and 200 ms, then every 400 ms
    freshness::updateLag(this->lag, this->window, { .term = 1, .position = 2 }, 3 * second);
    CHECK_TRUE(freshness::isProbeDue(this->lag, 3 * second + freshness::ReplicaLag::firstProbeInterval));
}

TEST(ReplicaLag, ReportedPositionIsHeld)
{
    freshness::updateLag(this->lag, this->window, { .term = 2, .position = 5 }, 3 * second);
    CHECK_TRUE(freshness::isExpectedToHold(this->lag, this->window, { .term = 2, .position = 5 }, 3 * second));
}

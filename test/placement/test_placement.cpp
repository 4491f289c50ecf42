#include "amaranthhall/placement/placement.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using placement::Candidate;
using Step = placement::Choice::Step;

TEST_GROUP(Placement)
{
    Time now { 100s };
    std::array<placement::UpstreamHealth, 3> health;
    std::vector<Candidate> candidates {
        { .id = "a", .health = &this->health[0], .slots = 2, .limit = 2, .idle = 1, .isLeader = true, .zone = "x" },
        { .id = "b", .health = &this->health[1], .slots = 2, .limit = 2, .idle = 1, .zone = "x" },
        { .id = "c", .health = &this->health[2], .slots = 2, .limit = 2, .idle = 1, .zone = "y", .crossingCost = 1ms },
    };

    placement::Choice choose() { return placement::chooseAny(this->candidates, this->now); }
};

TEST(Placement, ReadsGoToTheReplicaInTheSameZone)
{
    CHECK(this->choose().step == Step::Serve);
    LONGS_EQUAL(1, this->choose().candidate);
}

TEST(Placement, ASlowReplicaLosesToAnotherZoneAndThenToTheLeader)
{
    this->health[1].latency = 50ms;
    LONGS_EQUAL(2, this->choose().candidate);
    this->health[2].latency = 50ms;
    LONGS_EQUAL(0, this->choose().candidate);
}

// Guards against reads that go to lagging replicas, which refuse them, as soon as the leader is saturated or slow.
TEST(Placement, ALaggingReplicaIsNotUsed)
{
    this->candidates[1].isLagging = true;
    this->candidates[2].isLagging = true;
    this->health[0].latency = 900ms;
    LONGS_EQUAL(0, this->choose().candidate);
    this->candidates[0].limit = 0;
    CHECK(this->choose().step == Step::Wait);
    this->health[0].avoidUntil = this->now + 10ms;
    CHECK(this->choose().step == Step::Refuse);
}

TEST(Placement, AReadWaitsForALaggingReplicaOnlyIfItHoldsThePositionInTime)
{
    this->candidates[0].limit = 0;
    this->candidates[1].isLagging = true;
    this->candidates[1].holdsIn = 200ms;
    this->candidates[2].isLagging = true;
    const auto read = [this](Duration timeLeft) { return placement::chooseRead(this->candidates, this->now, timeLeft); };
    CHECK(read(500ms).step == Step::Wait);
    CHECK(read(500ms).retryAfter == Duration(200ms));
    CHECK_FALSE(read(200ms).retryAfter.has_value());
    this->health[0].avoidUntil = this->now + 10ms;
    CHECK(read(500ms).step == Step::Wait);
    CHECK(read(200ms).step == Step::Refuse);
    this->candidates[2].isLagging = false;
    LONGS_EQUAL(2, read(200ms).candidate);
}

TEST(Placement, FailedDrainingAndTriedUpstreamsAreSkipped)
{
    this->health[1].avoidUntil = this->now + 10ms;
    this->candidates[2].isDraining = true;
    this->candidates[0].wasTried = true;
    CHECK(this->choose().step == Step::Refuse);
}

TEST(Placement, WithoutAnIdleConnectionOneIsOpenedOrWaitedFor)
{
    for (auto& candidate : this->candidates)
        candidate.idle = 0;
    CHECK(this->choose().step == Step::Wait);
    this->candidates[2].canOpen = true;
    CHECK(this->choose().step == Step::Open);
    LONGS_EQUAL(2, this->choose().candidate);
}

TEST(Placement, OnlyTheLeaderServesWrites)
{
    auto choice = placement::chooseLeader(this->candidates, this->now);
    CHECK(choice.step == Step::Serve);
    LONGS_EQUAL(0, choice.candidate);
    this->health[0].avoidUntil = this->now + 10ms;
    CHECK(placement::chooseLeader(this->candidates, this->now).step == Step::Refuse);
}

TEST(Placement, APacedUpstreamMakesStatementsWait)
{
    this->health[0].paceUntil = this->now + 10ms;
    CHECK(placement::chooseLeader(this->candidates, this->now).step == Step::Wait);
}

TEST_GROUP(UpstreamHealth)
{
    Time now { 100s };
    placement::UpstreamHealth health;
};

TEST(UpstreamHealth, OverloadShrinksTheWindowAndAnswersRestoreIt)
{
    LONGS_EQUAL(4, placement::concurrencyLimit(this->health, 4));
    placement::noteOverload(this->health, this->now);
    LONGS_EQUAL(2, placement::concurrencyLimit(this->health, 4));
    for (int i = 0; i < 10; ++i)
        placement::noteOverload(this->health, this->now);
    LONGS_EQUAL(1, placement::concurrencyLimit(this->health, 4));
    for (int i = 0; i < 60; ++i)
        placement::noteAnswer(this->health, 5ms, this->now);
    LONGS_EQUAL(4, placement::concurrencyLimit(this->health, 4));
}

TEST(UpstreamHealth, ConsecutiveFailuresBackOffUntilDataIsReceived)
{
    placement::noteFailure(this->health, true, this->now);
    const auto first = this->health.avoidUntil - this->now;
    placement::noteFailure(this->health, true, this->now + 1s);
    CHECK(this->health.avoidUntil - (this->now + 1s) > first);
    CHECK(this->health.failingSince == this->now);
    placement::noteActivity(this->health, this->now + 2s);
    CHECK_FALSE(this->health.failingSince.has_value());
}

/// Simulates 14 daemons on one upstream with two slots and 14 ms per statement. Without pacing, each daemon would keep a statement
/// queued there.
TEST(UpstreamHealth, PacingKeepsTheQueueOfACongestedUpstreamShort)
{
    constexpr std::size_t daemons = 14;
    constexpr std::uint32_t slots = 2;
    constexpr Duration serviceTime = 14ms;
    struct Sender {
        placement::UpstreamHealth health;
        Duration readyAt { 0 };
    };
    std::array<Sender, daemons> senders;
    std::array<Duration, slots> slotFreeAt {};
    Duration maximumLatency { 0 };
    int served = 0;
    for (Duration clock { 0 }; clock < 10s; clock += 1ms) {
        for (auto& sender : senders) {
            if (clock < sender.readyAt)
                continue;
            auto& slot = *std::min_element(slotFreeAt.begin(), slotFreeAt.end());
            const auto end = std::max(slot, clock) + serviceTime;
            slot = end;
            const auto latency = end - clock;
            placement::noteAnswer(sender.health, latency, Time(end));
            sender.readyAt = end + placement::pacingDelay(sender.health, daemons, slots);
            ++served;
            if (clock > 2s)
                maximumLatency = std::max(maximumLatency, latency);
        }
    }
    // Unpaced, the queue would hold 14 statements, 98 ms; half of the target of 200 ms must remain for the network and for queueing in the daemon.
    CHECK(maximumLatency < 100ms);
    // The slots stay occupied: two slots can serve 1,428 statements in 10 s.
    CHECK(served > 1250);
}

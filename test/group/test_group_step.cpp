#include "group/watch_field.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace amaranthhall::test;

namespace {

std::chrono::milliseconds promotionDelay(WatchField& field, Duration patience)
{
    const auto begin = field.now;
    field.run(patience);
    return std::chrono::duration_cast<std::chrono::milliseconds>(field.promotedAt - begin);
}

}

TEST_GROUP(GroupStep) {};

TEST(GroupStep, AKilledPrimaryIsReplacedOnceWithinTheTarget)
{
    WatchField field(3);
    field.run(5s);
    field.health[0] = Health::Refusing;
    const auto delay = promotionDelay(field, 10s);
    CHECK_EQUAL(1U, field.promotions);
    CHECK(delay < 1s);
    for (const auto& watcher : field.watchers)
        CHECK(watcher.state.primary == "b");
}

TEST(GroupStep, AStoppedPrimaryIsReplacedOnceWithinTheTarget)
{
    WatchField field(3);
    field.run(5s);
    field.health[0] = Health::Silent;
    const auto delay = promotionDelay(field, 10s);
    CHECK_EQUAL(1U, field.promotions);
    CHECK(delay < 2s);
}

TEST(GroupStep, AWatcherThatIsAloneWaitsLonger)
{
    WatchField field(1);
    field.run(5s);
    field.health[0] = Health::Refusing;
    field.run(300ms);
    field.health[0] = Health::Up;
    field.run(5s);
    CHECK_EQUAL(0U, field.promotions);
    field.health[0] = Health::Silent;
    CHECK(promotionDelay(field, 10s) > 1s);
    CHECK_EQUAL(1U, field.promotions);
}

TEST(GroupStep, ASlowPrimaryStays)
{
    WatchField field(3);
    field.delay = [](auto, auto upstream) { return upstream == 0 ? 600ms : 2ms; };
    field.run(60s);
    CHECK_EQUAL(0U, field.promotions);
}

TEST(GroupStep, OneWatchersBadLinkChangesNothing)
{
    WatchField field(3);
    field.run(5s);
    field.reaches = [](auto watcher, auto upstream) { return watcher != 0 || upstream != 0; };
    field.run(60s);
    CHECK_EQUAL(0U, field.promotions);
}

TEST(GroupStep, APausedWatcherChangesNothingWhenItWakes)
{
    WatchField field(2);
    field.run(5s);
    field.pause(0, 10s);
    field.run(30s);
    field.pause(0, 5s);
    field.pause(1, 5s);
    field.run(30s);
    CHECK_EQUAL(0U, field.promotions);
}

TEST(GroupStep, AGroupWithoutPrimaryGetsOne)
{
    WatchField field(3, false);
    field.run(3s);
    CHECK_EQUAL(1U, field.promotions);
    CHECK_EQUAL(1U, field.countPrimaries(field.watchers[0].state.term));
}

TEST(GroupStep, APrimaryPromotedElsewhereIsAdopted)
{
    WatchField field(3);
    field.run(5s);
    CHECK(field.logs[2].fence(9));
    CHECK(field.logs[2].promote(9));
    field.run(5s);
    CHECK_EQUAL(0U, field.promotions);
    for (const auto& watcher : field.watchers) {
        CHECK(watcher.state.primary == "c");
        CHECK_EQUAL(9U, watcher.state.term);
    }
}

TEST(GroupStep, AWatcherPausedInMidPromotionFindsItsTermRefused)
{
    WatchField field(3);
    field.run(5s);
    field.health[0] = Health::Refusing;
    // The first watcher stops as soon as it has stood.
    while (!field.watchers[0].state.attempt)
        field.run(1ms);
    field.pause(0, 8s);
    field.run(6s);
    const auto term = field.watchers[1].state.term;
    CHECK_EQUAL(1U, field.promotions);
    field.run(20s);
    CHECK_EQUAL(1U, field.promotions);
    CHECK_EQUAL(term, field.watchers[0].state.term);
    CHECK_EQUAL(1U, field.countPrimaries(term));
}

TEST(GroupStep, ASecondFaultWithinASecondIsMendedToo)
{
    WatchField field(3);
    field.run(5s);
    field.health[0] = Health::Refusing;
    while (field.promotions == 0)
        field.run(1ms);
    field.health[0] = Health::Up;
    field.health[1] = Health::Refusing;
    field.run(5s);
    CHECK_EQUAL(2U, field.promotions);
    CHECK_EQUAL(1U, field.countPrimaries(field.watchers[2].state.term));
}

TEST(GroupStep, APrimaryThatReachesNoReplicaIsReplacedByAnother)
{
    WatchField field(3);
    field.logs[0].append({});
    field.run(5s);
    field.feedAge = { 0ms, 5s, 5s };
    field.run(1s);
    field.feedAge = { 0ms, 0ms, 0ms };
    field.run(5s);
    CHECK_EQUAL(1U, field.promotions);
    CHECK(field.watchers[0].state.primary != "a");
}

TEST(GroupStep, AnHourOfJitterPromotesNobody)
{
    WatchField field(3);
    Random random(20260401);
    const auto chance = [&random](unsigned int in) { return random() % in == 0; };
    // Most answers take a few milliseconds, some up to 600 ms; a vote in ten is lost.
    field.delay = [&](auto, auto) { return std::chrono::milliseconds(chance(20) ? random() % 600 : 1 + random() % 20); };
    field.losesVote = [&] { return chance(10); };
    std::size_t badLink = 0;
    bool isBad = false;
    field.reaches = [&](auto watcher, auto) { return !(isBad && watcher == badLink); };
    for (int second = 0; second < 3600; ++second) {
        if (chance(30))
            field.pause(random() % 3, std::chrono::milliseconds(random() % 4000));
        // At any time at most one daemon's links are bad.
        isBad = chance(isBad ? 2 : 60) != isBad;
        badLink = isBad ? badLink : random() % 3;
        field.run(1s);
    }
    CHECK_EQUAL(0U, field.promotions);
}

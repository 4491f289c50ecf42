#include "amaranthhall/succession/failover_policy.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using succession::Cause;
using succession::Heir;
using succession::Situation;
using succession::Suspicion;

TEST_GROUP(Judgement)
{
    Time now { 100s };

    [[nodiscard]] Situation crowd() const { return { .now = this->now, .peers = 14, .livePeers = 14 }; }
};

TEST(Judgement, AServingPrimaryStays)
{
    auto situation = this->crowd();
    situation.provenAt = this->now - 20ms;
    CHECK(succession::judge(situation) == Cause::None);
}

TEST(Judgement, OneDaemonsCutPathDeposesNobody)
{
    auto situation = this->crowd();
    situation.suspicion = Suspicion { .isRefusing = true, .since = this->now - 3s };
    situation.provenAt = this->now - 100ms;
    CHECK(succession::judge(situation) == Cause::None);
}

TEST(Judgement, APrimaryThatRefusesMostDaemonsIsReplacedAtOnce)
{
    auto situation = this->crowd();
    situation.suspicion = Suspicion { .isRefusing = true, .since = this->now - 10ms };
    situation.provenAt = this->now - 30ms;
    situation.agreeing = 6;
    CHECK(succession::judge(situation) == Cause::None);
    situation.agreeing = 7;
    CHECK(succession::judge(situation) == Cause::Refusing);
}

TEST(Judgement, ASilentPrimaryIsReplacedWhenNobodyHasHeardIt)
{
    auto situation = this->crowd();
    situation.suspicion = Suspicion { .since = this->now - 360ms };
    situation.provenAt = this->now - 370ms;
    CHECK(succession::judge(situation) == Cause::None);
    situation.agreeing = 10;
    CHECK(succession::judge(situation) == Cause::Silent);
    situation.agreeing = 0;
    situation.suspicion->since = this->now - 900ms;
    situation.provenAt = this->now - 900ms;
    CHECK(succession::judge(situation) == Cause::Silent);
}

TEST(Judgement, ADaemonThatHearsTooFewOthersActsOnAMissingRegistrationOnly)
{
    auto situation = this->crowd();
    situation.livePeers = 3;
    situation.agreeing = 3;
    situation.suspicion = Suspicion { .isRefusing = true, .since = this->now - 5s };
    CHECK(succession::judge(situation) == Cause::None);
    situation.own.missingSince = this->now - 2s;
    CHECK(succession::judge(situation) == Cause::Missing);
}

TEST(Judgement, ALeavingPrimaryIsReplaced)
{
    auto situation = this->crowd();
    situation.own.drainingSince = this->now;
    situation.provenAt = this->now;
    CHECK(succession::judge(situation) == Cause::Draining);
}

TEST(Judgement, SuspicionNeedsRefusalOrSilence)
{
    CHECK_FALSE(succession::suspect({ .silence = 300ms }, this->now).has_value());
    CHECK_TRUE(succession::suspect({ .silence = 400ms }, this->now).has_value());
    const auto refused = succession::suspect({ .failingSince = this->now - 1s, .isRefusing = true }, this->now);
    CHECK_TRUE(refused->isRefusing);
    CHECK(refused->since == this->now - 1s);
}

TEST(Judgement, TheHeirIsTheOneThatReceivedMost)
{
    const std::vector<Heir> heirs { { .upstream = "a", .point = { 1, 90 } }, { .upstream = "b", .point = { 1, 95 } }, { .upstream = "c", .point = { 1, 95 }, .isNear = true } };
    CHECK_EQUAL(std::string("c"), *succession::chooseHeir(heirs));
    CHECK_FALSE(succession::chooseHeir({}).has_value());
}

// Fault: an upstream that was cut off while its successor led holds more entries than those that followed the successor.
TEST(Judgement, AnUpstreamThatMissedTheLastTermIsNoHeir)
{
    const std::vector<Heir> heirs { { .upstream = "old", .term = 1, .point = { 1, 133 } }, { .upstream = "new", .term = 2, .point = { 1, 100 } } };
    const auto followers = succession::followersOf(2, heirs);
    LONGS_EQUAL(1, followers.size());
    CHECK_EQUAL(std::string("new"), followers.front().upstream);
    LONGS_EQUAL(2, succession::followersOf(1, heirs).size());
}

TEST(Judgement, OthersGiveTheHolderTimeAndFollowInOrder)
{
    CHECK(succession::takeoverDelay(0, true) > succession::takeoverDelay(0, false));
    CHECK(succession::takeoverDelay(2, false) > succession::takeoverDelay(1, false));
}

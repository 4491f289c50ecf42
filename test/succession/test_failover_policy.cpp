#include "amaranthhall/succession/failover_policy.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using succession::FailoverCause;
using succession::FailoverInput;
using succession::PromotionCandidate;
using succession::Suspicion;

TEST_GROUP(FailoverPolicy)
{
    Time now { 100s };

    [[nodiscard]] FailoverInput healthyFleet() const { return { .now = this->now, .peers = 14, .livePeers = 14 }; }
};

TEST(FailoverPolicy, KeepsServingPrimary)
{
    auto input = this->healthyFleet();
    input.provenAt = this->now - 20ms;
    CHECK(succession::decideFailover(input) == FailoverCause::None);
}

TEST(FailoverPolicy, PartitionOfOneDaemonDoesNotDeposePrimary)
{
    auto input = this->healthyFleet();
    input.suspicion = Suspicion { .isRefusing = true, .since = this->now - 3s };
    input.provenAt = this->now - 100ms;
    CHECK(succession::decideFailover(input) == FailoverCause::None);
}

TEST(FailoverPolicy, ReplacesPrimaryThatRefusesMostDaemons)
{
    auto input = this->healthyFleet();
    input.suspicion = Suspicion { .isRefusing = true, .since = this->now - 10ms };
    input.provenAt = this->now - 30ms;
    input.agreeingPeers = 6;
    CHECK(succession::decideFailover(input) == FailoverCause::None);
    input.agreeingPeers = 7;
    CHECK(succession::decideFailover(input) == FailoverCause::Refusing);
}

TEST(FailoverPolicy, ReplacesSilentPrimaryWithoutRecentProof)
{
    auto input = this->healthyFleet();
    input.suspicion = Suspicion { .since = this->now - 360ms };
    input.provenAt = this->now - 370ms;
    CHECK(succession::decideFailover(input) == FailoverCause::None);
    input.agreeingPeers = 10;
    CHECK(succession::decideFailover(input) == FailoverCause::Silent);
    input.agreeingPeers = 0;
    input.suspicion->since = this->now - 900ms;
    input.provenAt = this->now - 900ms;
    CHECK(succession::decideFailover(input) == FailoverCause::Silent);
}

TEST(FailoverPolicy, MinorityActsOnlyOnARegistrationThatIsGone)
{
    auto input = this->healthyFleet();
    input.livePeers = 3;
    input.agreeingPeers = 3;
    input.suspicion = Suspicion { .isRefusing = true, .since = this->now - 5s };
    CHECK(succession::decideFailover(input) == FailoverCause::None);
    input.own.isGone = true;
    CHECK(succession::decideFailover(input) == FailoverCause::Gone);
    input.provenAt = this->now - 900ms;
    input.suspicion.reset();
    CHECK(succession::decideFailover(input) == FailoverCause::None);
}

TEST(FailoverPolicy, ReplacesDrainingPrimary)
{
    auto input = this->healthyFleet();
    input.own.drainingSince = this->now;
    input.provenAt = this->now;
    CHECK(succession::decideFailover(input) == FailoverCause::Draining);
}

TEST(FailoverPolicy, SuspicionRequiresRefusalOrSilence)
{
    CHECK_FALSE(succession::suspect({ .silence = 300ms }, this->now).has_value());
    CHECK_TRUE(succession::suspect({ .silence = 400ms }, this->now).has_value());
    const auto refused = succession::suspect({ .failingSince = this->now - 1s, .isRefusing = true }, this->now);
    CHECK_TRUE(refused->isRefusing);
    CHECK(refused->since == this->now - 1s);
}

TEST(FailoverPolicy, ChoosesCandidateWithNewestLogPoint)
{
    const std::vector<PromotionCandidate> candidates { { .upstream = "a", .point = { 1, 90 } }, { .upstream = "b", .point = { 1, 95 } }, { .upstream = "c", .point = { 1, 95 }, .isSameZone = true } };
    CHECK_EQUAL(std::string("c"), *succession::chooseCandidate(candidates));
    CHECK_FALSE(succession::chooseCandidate({}).has_value());
}

// Regression: a former primary that was partitioned while its successor led may have more entries than the successor's followers.
TEST(FailoverPolicy, ExcludesCandidatesThatMissedTheLastTerm)
{
    const std::vector<PromotionCandidate> candidates { { .upstream = "old", .term = 1, .point = { 1, 133 } }, { .upstream = "new", .term = 2, .point = { 1, 100 } } };
    const auto eligible = succession::candidatesAtTerm(2, candidates);
    LONGS_EQUAL(1, eligible.size());
    CHECK_EQUAL(std::string("new"), eligible.front().upstream);
    LONGS_EQUAL(2, succession::candidatesAtTerm(1, candidates).size());
}

TEST(FailoverPolicy, TakeoverDelayGrowsWithRankAndLiveHolder)
{
    CHECK(succession::takeoverDelay(0, true) > succession::takeoverDelay(0, false));
    CHECK(succession::takeoverDelay(2, false) > succession::takeoverDelay(1, false));
}

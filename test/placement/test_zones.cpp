#include "amaranthhall/placement/zones.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using placement::Candidate;

TEST_GROUP(Zones)
{
    Time now { 100s };
    std::array<placement::UpstreamHealth, 3> health;
    std::vector<Candidate> candidates {
        { .id = "own", .health = &this->health[0], .slots = 6, .limit = 6, .idle = 1, .zone = "x" },
        { .id = "b", .health = &this->health[1], .slots = 6, .limit = 6, .idle = 1, .zone = "y", .crossingCost = 1ms },
        { .id = "c", .health = &this->health[2], .slots = 6, .limit = 6, .idle = 1, .zone = "z", .crossingCost = 1ms },
    };

    [[nodiscard]] std::size_t choose() const
    {
        auto offered = this->candidates;
        static_cast<void>(placement::preferZone(offered, "x", this->now));
        return placement::chooseAny(offered, this->now).candidate;
    }
};

// One running statement raised the estimate for the own upstream by more than a crossing, so reads of an idle service left the zone.
TEST(Zones, ReadsStayInTheZoneWhileItsUpstreamIsNotTheSlowerByFar)
{
    this->health[0].latency = 40ms;
    this->health[1].latency = 30ms;
    this->health[2].latency = 35ms;
    this->candidates[0].running = 1;
    LONGS_EQUAL(0, this->choose());
    this->candidates[0].running = 5;
    LONGS_EQUAL(1, this->choose());
}

TEST(Zones, AnUpstreamThatIsNotFitIsNotPreferred)
{
    const auto leaves = [this](auto change) {
        const auto kept = this->candidates;
        const auto keptHealth = this->health;
        this->health[0].latency = this->health[1].latency = 30ms;
        this->health[2].latency = 35ms;
        this->candidates[0].running = 1;
        change();
        const auto chosen = this->choose();
        this->candidates = kept;
        this->health = keptHealth;
        return chosen == 1;
    };
    CHECK_FALSE(leaves([] {}));
    CHECK_TRUE(leaves([this] { this->candidates[0].isLagging = true; }));
    CHECK_TRUE(leaves([this] { this->candidates[0].isDraining = true; }));
    CHECK_TRUE(leaves([this] { this->candidates[0].wasTried = true; }));
    CHECK_TRUE(leaves([this] { this->candidates[0].limit = 1; }));
    CHECK_TRUE(leaves([this] { this->health[0].overloadedUntil = this->now + 1ms; }));
    CHECK_TRUE(leaves([this] { this->health[0].avoidUntil = this->now + 1ms; }));
    CHECK_TRUE(leaves([this] { this->health[0].faults = 1; }));
}

// Whether reads are kept from the leader of their zone is decided with the shares, by what the leader has to do; chooseAny() alone never sends them there.
TEST(Zones, TheLeaderOfThePreferredZoneServesReadsWhileItHasRoom)
{
    this->health[0].latency = this->health[1].latency = this->health[2].latency = 30ms;
    this->candidates[0].isLeader = true;
    LONGS_EQUAL(0, this->choose());
    this->candidates[0].running = 4;
    CHECK(this->choose() != 0);
}

TEST(Zones, ACrossingCostsItsMeasuredTimeAndThePriceOfItsBytes)
{
    CHECK(placement::crossingCost({}) == 1ms);
    CHECK(placement::crossingCost({ .roundTrip = 2800us, .ownRoundTrip = 200us }) == 2600us);
    CHECK(placement::crossingCost({ .roundTrip = 100us, .ownRoundTrip = 200us }) == 1ms);
    CHECK(placement::crossingCost({ .roundTrip = 2ms, .bytes = 500, .pricePerKilobyte = 10ms }) == 7ms);
}

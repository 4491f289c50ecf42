#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(PeerRegistry)
{
    gossip::PeerRegistry registry;
    Time now { 100s };
    gossip::VmProfile profile { .address = { .host = "10.0.0.1", .port = 1 }, .zone = "a" };
};

TEST(PeerRegistry, APeerIsLiveUntilTheLivenessTimeout)
{
    this->registry.add("a", this->profile, this->now);
    CHECK_FALSE(this->registry.isLive("a", this->now));
    this->registry.noteActivity("a", this->profile, this->now);
    CHECK_TRUE(this->registry.isLive("a", this->now + 1s));
    CHECK_FALSE(this->registry.isLive("a", this->now + 2s));
    this->registry.noteIndirectActivity(hashing::shortId("a"), this->now + 1900ms);
    CHECK_TRUE(this->registry.isLive("a", this->now + 2s));
}

TEST(PeerRegistry, AnInactivePeerIsRemoved)
{
    this->registry.add("a", this->profile, this->now);
    this->registry.removeInactive(this->now + 9s);
    LONGS_EQUAL(1, this->registry.size());
    this->registry.removeInactive(this->now + 11s);
    LONGS_EQUAL(0, this->registry.size());
}

TEST(PeerRegistry, RanksAreUniqueAndConsistentAcrossDaemons)
{
    const std::vector<std::string> all { "a", "b", "c", "d", "e" };
    std::set<std::size_t> ranks;
    for (const auto& self : all) {
        auto others = all;
        std::erase(others, self);
        ranks.insert(gossip::rendezvousRank("duty/s", self, others));
    }
    LONGS_EQUAL(all.size(), ranks.size());
    LONGS_EQUAL(0, *ranks.begin());
}

TEST(PeerRegistry, InALargeFleetMostSampledPeersAreInTheSameZone)
{
    constexpr std::uint16_t count = 60;
    for (std::uint16_t number = 0; number < count; ++number)
        this->registry.add(std::to_string(number), { .address = { .host = "10.0.0.1", .port = number }, .zone = number % 3 == 0 ? "a" : "b" }, this->now);
    Random random(1);
    std::set<std::uint16_t> otherZones;
    for (int round = 0; round < 200; ++round) {
        const auto sampled = this->registry.samplePeers(5, "a", random);
        LONGS_EQUAL(4, sampled.sameZone.size());
        LONGS_EQUAL(1, sampled.otherZones.size());
        for (const auto& address : sampled.sameZone)
            LONGS_EQUAL(0, address.port % 3);
        CHECK(sampled.otherZones.front().port % 3 != 0);
        otherZones.insert(sampled.otherZones.front().port);
    }
    // All daemons of other zones are sampled eventually.
    LONGS_EQUAL(40, otherZones.size());
    const auto all = this->registry.samplePeers(60, "a", random);
    LONGS_EQUAL(60, all.sameZone.size() + all.otherZones.size());
}

TEST(PeerRegistry, InASmallFleetSamplingIgnoresZones)
{
    for (std::uint16_t number = 0; number < 6; ++number)
        this->registry.add(std::to_string(number), { .address = { .host = "10.0.0.1", .port = number }, .zone = number == 0 ? "a" : "b" }, this->now);
    Random random(1);
    LONGS_EQUAL(5, this->registry.samplePeers(5, "a", random).sameZone.size());
    LONGS_EQUAL(6, this->registry.samplePeers(40, "a", random).sameZone.size());
}

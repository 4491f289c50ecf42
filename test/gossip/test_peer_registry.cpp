#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(PeerBook)
{
    gossip::PeerBook book;
    Time now { 100s };
    gossip::VmProfile profile { .address = { .host = "10.0.0.1", .port = 1 }, .zone = "a" };
};

TEST(PeerBook, APeerIsAliveWhileItIsHeard)
{
    this->book.add("a", this->profile, this->now);
    CHECK_FALSE(this->book.isLive("a", this->now));
    this->book.noteHeard("a", this->profile, this->now);
    CHECK_TRUE(this->book.isLive("a", this->now + 1s));
    CHECK_FALSE(this->book.isLive("a", this->now + 2s));
    this->book.noteHeardOf(hashing::shortId("a"), this->now + 1900ms);
    CHECK_TRUE(this->book.isLive("a", this->now + 2s));
}

TEST(PeerBook, ASilentPeerIsForgotten)
{
    this->book.add("a", this->profile, this->now);
    this->book.forgetSilent(this->now + 9s);
    LONGS_EQUAL(1, this->book.size());
    this->book.forgetSilent(this->now + 11s);
    LONGS_EQUAL(0, this->book.size());
}

TEST(PeerBook, AllDaemonsRankAlikeAndNoTwoHaveARank)
{
    const std::vector<std::string> all { "a", "b", "c", "d", "e" };
    std::set<std::size_t> ranks;
    for (const auto& self : all) {
        auto others = all;
        std::erase(others, self);
        ranks.insert(gossip::rankFor("duty/s", self, others));
    }
    LONGS_EQUAL(all.size(), ranks.size());
    LONGS_EQUAL(0, *ranks.begin());
}

TEST(PeerBook, InALargeFleetMostDrawnPeersAreInTheOwnZone)
{
    constexpr std::uint16_t count = 60;
    for (std::uint16_t number = 0; number < count; ++number)
        this->book.add(std::to_string(number), { .address = { .host = "10.0.0.1", .port = number }, .zone = number % 3 == 0 ? "a" : "b" }, this->now);
    Random random(1);
    std::set<std::uint16_t> far;
    for (int round = 0; round < 200; ++round) {
        const auto drawn = this->book.draw(5, "a", random);
        LONGS_EQUAL(5, drawn.size());
        std::size_t near = 0;
        for (const auto& address : drawn) {
            near += address.port % 3 == 0 ? 1 : 0;
            if (address.port % 3 != 0)
                far.insert(address.port);
        }
        LONGS_EQUAL(4, near);
    }
    // All daemons of other zones are reached in time.
    LONGS_EQUAL(40, far.size());
    LONGS_EQUAL(60, this->book.draw(60, "a", random).size());
}

TEST(PeerBook, InASmallFleetZonesDoNotMatter)
{
    for (std::uint16_t number = 0; number < 6; ++number)
        this->book.add(std::to_string(number), { .address = { .host = "10.0.0.1", .port = number }, .zone = number == 0 ? "a" : "b" }, this->now);
    Random random(1);
    LONGS_EQUAL(5, this->book.draw(5, "a", random).size());
    LONGS_EQUAL(6, this->book.draw(40, "a", random).size());
}

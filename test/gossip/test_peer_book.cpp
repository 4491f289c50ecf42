#include "amaranthhall/gossip/peer_book.hpp"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(PeerBook)
{
    gossip::PeerBook book;
    Time now { 100s };
    kernel::Address address { .host = "10.0.0.1", .port = 1 };
};

TEST(PeerBook, APeerIsAliveWhileItIsHeard)
{
    this->book.add("a", this->address, this->now);
    CHECK_FALSE(this->book.isLive("a", this->now));
    this->book.noteHeard("a", this->address, this->now);
    CHECK_TRUE(this->book.isLive("a", this->now + 1s));
    CHECK_FALSE(this->book.isLive("a", this->now + 2s));
    this->book.noteHeardOf("a", this->now + 1900ms);
    CHECK_TRUE(this->book.isLive("a", this->now + 2s));
}

TEST(PeerBook, ASilentPeerIsForgotten)
{
    this->book.add("a", this->address, this->now);
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

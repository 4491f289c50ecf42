#include "amaranthhall/gossip/pending_fetches.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using gossip::PendingFetches;

TEST_GROUP(PendingFetches)
{
    Time now { 100s };
    PendingFetches subject;
};

TEST(PendingFetches, ASecondPeerIsAskedBeforeTheFirstOneTimesOut)
{
    CHECK_TRUE(this->subject.mayStart("a", this->now));
    this->subject.start("a", this->now);
    CHECK_FALSE(this->subject.mayStart("b", this->now + 100ms));
    CHECK_TRUE(this->subject.mayStart("b", this->now + PendingFetches::hedgeDelay));
    CHECK_FALSE(this->subject.mayStart("a", this->now + PendingFetches::hedgeDelay));
}

TEST(PendingFetches, AtMostThreePeersAreAskedAtOnce)
{
    for (const auto* peer : { "a", "b", "c" }) {
        this->subject.start(peer, this->now);
        this->now += PendingFetches::hedgeDelay;
    }
    CHECK_FALSE(this->subject.mayStart("d", this->now));
    this->subject.finish("b");
    CHECK_TRUE(this->subject.mayStart("d", this->now));
}

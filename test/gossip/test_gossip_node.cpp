#include "amaranthhall/gossip/gossip_node.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using gossip::GossipNode;

TEST_GROUP(GossipNode) {};

// Load: services with two to twelve homes, each of which tells all others; a home hears two to five of them in each round.
TEST(GossipNode, IncomingAudienceTrafficIsBoundedForAnyNumberOfHomes)
{
    for (std::size_t homes = 2; homes <= 12; ++homes) {
        const auto senders = homes - 1;
        const auto rounds = GossipNode::roundsPerSend({ .senders = senders });
        const auto heard = static_cast<double>(senders) / rounds;
        CHECK(heard <= 5);
        CHECK(heard >= std::min(2.0, static_cast<double>(senders)));
    }
}

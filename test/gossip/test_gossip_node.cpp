#include "amaranthhall/gossip/gossip_node.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using gossip::GossipNode;

TEST_GROUP(GossipNode) {};

// Each home of a service sends to all others. With two to twelve homes, a home must receive datagrams from two to five of them per round (from one if there is only one other home).
TEST(GossipNode, IncomingAudienceTrafficIsBoundedForAnyNumberOfHomes)
{
    constexpr std::size_t zones = 3;
    for (std::size_t homes = 2; homes <= 12; ++homes) {
        const auto senders = homes - 1;
        const auto sameZone = (homes - 1) / zones;
        const auto heard = static_cast<double>(sameZone) / GossipNode::roundsPerSend({ .senders = senders }) + static_cast<double>(senders - sameZone) / GossipNode::roundsPerSend({ .senders = senders, .isOtherZone = true });
        CHECK(heard <= 5);
        CHECK(heard >= std::min(2.0, static_cast<double>(senders)));
    }
}

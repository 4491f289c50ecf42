#include "amaranthhall/placement/connection_share.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(ConnectionShare) {};

// All VMs lose power at once: the upstream still holds their connections while the restarted daemons open new ones.
TEST(ConnectionShare, WarmConnectionsFitBesideTheOldOnesAfterALossOfAllVms)
{
    for (std::uint32_t connections = 2; connections <= 400; ++connections) {
        for (std::size_t sharers = 1; sharers <= 24 && sharers * 2 <= connections; ++sharers) {
            const auto share = placement::shareConnections(connections, sharers);
            CHECK(share.warm >= 1);
            CHECK(share.limit >= share.warm);
            CHECK((share.limit + share.warm) * sharers <= connections);
        }
    }
}

TEST(ConnectionShare, EachSharerMayOpenOneEvenIfConnectionsAreScarce)
{
    const auto share = placement::shareConnections(10, 40);
    LONGS_EQUAL(1, share.warm);
    LONGS_EQUAL(1, share.limit);
}

TEST(ConnectionShare, ANonSharerOpensNoneInAdvance)
{
    const auto share = placement::shareConnections(72, 0);
    LONGS_EQUAL(0, share.warm);
    CHECK(share.limit >= 1);
}

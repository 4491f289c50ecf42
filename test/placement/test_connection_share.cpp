#include "amaranthhall/placement/connection_share.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

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

// All daemons lose power with full pools, and upstreams hold their connections for seconds beside those of the restarted daemons.
TEST(ConnectionShare, AStartingDaemonUsesOnlyWhatTheConnectionsOfLostDaemonsLeave)
{
    for (const std::uint32_t connections : { 18U, 34U, 54U, 60U, 306U }) {
        for (const std::size_t sharers : { 2U, 3U, 6U, 9U, 12U }) {
            const auto share = placement::shareConnections(connections, sharers);
            const auto starting = placement::limitAfterStart(share, connections, sharers);
            CHECK(starting.limit >= 1);
            CHECK(starting.limit <= share.limit);
            if (connections / sharers > share.limit)
                CHECK((share.limit + starting.limit) * sharers <= connections);
        }
    }
}

// Guards against sessions idle in transactions that hold all connections of an upstream.
TEST(ConnectionShare, TransactionsLeaveConnectionsForOtherStatements)
{
    const auto limit = [](std::uint32_t connections) { return placement::transactionLimit({ .limit = connections }); };
    LONGS_EQUAL(1, limit(1));
    LONGS_EQUAL(1, limit(2));
    LONGS_EQUAL(2, limit(3));
    LONGS_EQUAL(9, limit(12));
    CHECK_TRUE(placement::isScarce({ .limit = 3 }, 6));
    CHECK_FALSE(placement::isScarce({ .limit = 24 }, 6));
}

// Guards against openings that take all slots from statements after a loss of all daemons.
TEST(ConnectionShare, OpeningsAreFewWhileTheUpstreamServesStatements)
{
    CHECK_TRUE(placement::mayOpenAnother({ .slots = 6, .running = 6, .runningOfOthers = 20 }));
    CHECK_FALSE(placement::mayOpenAnother({ .slots = 6, .running = 1, .openings = 1, .runningOfOthers = 4 }));
    CHECK_TRUE(placement::mayOpenAnother({ .slots = 6, .running = 1, .openings = 1, .runningOfOthers = 3 }));
}

TEST(ConnectionShare, TheOrganisationWithTheMostWaitingStatementsGetsTheNextConnection)
{
    const std::vector<placement::OpeningDemand> others { { .waiting = 5, .openings = 3 }, { .waiting = 2 } };
    CHECK_TRUE(placement::isNextToOpen({ .waiting = 2 }, others));
    CHECK_FALSE(placement::isNextToOpen({ .waiting = 2, .openings = 1 }, others));
    CHECK_FALSE(placement::isNextToOpen({ .waiting = 1, .openings = 1 }, {}));
}

#include "amaranthhall/relay/homes.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace amaranthhall;

namespace {

std::vector<relay::Daemon> daemons(int count)
{
    std::vector<relay::Daemon> all;
    for (int i = 0; i < count; ++i)
        all.push_back({ .vm = "front-" + std::to_string(i), .zone = "zone-" + std::to_string(i % 3) });
    return all;
}

/// Returns the index of a daemon from daemons(); its zone is that index modulo 3.
int indexOf(std::string_view vm)
{
    return std::stoi(std::string(vm.substr(6)));
}

}

TEST_GROUP(Homes)
{
    const relay::Requester me { .vm = "me", .zone = "a" };
};

TEST(Homes, AllDaemonsAreHomesWhereConnectionsSuffice)
{
    LONGS_EQUAL(6, relay::selectHomes("s", daemons(6), { .connections = 36 }).size());
    LONGS_EQUAL(12, relay::selectHomes("s", daemons(12), { .connections = 72 }).size());
}

// All VMs of a small fleet lose power at once: if every daemon held a few connections, the upstream would have none free for the
// restarted daemons while it still holds the old ones.
TEST(Homes, ASmallFleetLeavesHalfOfTheConnectionsFree)
{
    LONGS_EQUAL(6, relay::selectHomes("s", daemons(18), { .connections = 36 }).size());
    LONGS_EQUAL(5, relay::selectHomes("s", daemons(15), { .connections = 34 }).size());
}

TEST(Homes, FewDaemonsAreHomesInALargeFleet)
{
    const auto homes = relay::selectHomes("s", daemons(113), { .connections = 46 });
    LONGS_EQUAL(7, homes.size());
}

// A fleet that has grown to four services per daemon.
TEST(Homes, ServicesPerDaemonDoNotGrowWithTheFleet)
{
    for (const int count : { 30, 100, 300 }) {
        const std::size_t services = static_cast<std::size_t>(count) * 4;
        std::size_t assignments = 0;
        for (std::size_t service = 0; service < services; ++service)
            assignments += relay::selectHomes("s" + std::to_string(service), daemons(count), { .connections = 72, .services = services }).size();
        CHECK(assignments <= static_cast<std::size_t>(count) * 12);
        CHECK(assignments >= services * 3);
    }
}

TEST(Homes, TheSelectionDoesNotDependOnTheOrderOfDaemons)
{
    auto shuffled = daemons(113);
    std::reverse(shuffled.begin(), shuffled.end());
    CHECK(relay::selectHomes("s", daemons(113), { .connections = 46 }) == relay::selectHomes("s", shuffled, { .connections = 46 }));
}

TEST(Homes, LosingOneDaemonReplacesAtMostOneHome)
{
    const auto before = relay::selectHomes("s", daemons(113), { .connections = 46 });
    auto remaining = daemons(113);
    std::erase_if(remaining, [&](const auto& daemon) { return daemon.vm == before.front(); });
    const auto after = relay::selectHomes("s", remaining, { .connections = 46 });
    LONGS_EQUAL(before.size() - 1, std::count_if(after.begin(), after.end(), [&](const auto& home) { return std::find(before.begin(), before.end(), home) != before.end(); }));
}

TEST(Homes, ServicesAreSpreadOverDaemons)
{
    std::map<std::string, int> assignments;
    for (int service = 0; service < 80; ++service) {
        for (const auto& home : relay::selectHomes("s" + std::to_string(service), daemons(113), { .connections = 46 }))
            ++assignments[home];
    }
    // 560 assignments over 113 daemons are 5 each on average.
    const auto busiest = std::max_element(assignments.begin(), assignments.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    CHECK(busiest->second <= 15);
}

TEST(Homes, ZonesHaveAnEvenShare)
{
    for (int service = 0; service < 20; ++service) {
        std::map<int, int> inZone;
        for (const auto& home : relay::selectHomes("s" + std::to_string(service), daemons(113), { .connections = 72 }))
            ++inZone[indexOf(home) % 3];
        LONGS_EQUAL(4, inZone[0]);
        LONGS_EQUAL(4, inZone[1]);
        LONGS_EQUAL(4, inZone[2]);
    }
}

TEST(Homes, LargeVmsAreSelectedMoreOften)
{
    auto all = daemons(100);
    for (auto& daemon : all)
        daemon.cores = indexOf(daemon.vm) < 50 ? 0.5 : 0.1;
    int large = 0;
    int total = 0;
    for (int service = 0; service < 50; ++service) {
        for (const auto& home : relay::selectHomes("s" + std::to_string(service), all, { .connections = 72 })) {
            ++total;
            large += indexOf(home) < 50 ? 1 : 0;
        }
    }
    // By weight, five in six homes are on large VMs.
    CHECK(large > total * 3 / 4);
}

TEST(Homes, AStatementStaysInItsZoneUnlessAllThereAreBusy)
{
    std::vector<relay::HomeState> homes { { .vm = "far", .zone = "b" }, { .vm = "near", .zone = "a", .outstanding = 3 } };
    LONGS_EQUAL(1, *relay::chooseHomeForStatement(homes, this->me));
    homes[1].outstanding = 4;
    LONGS_EQUAL(0, *relay::chooseHomeForStatement(homes, this->me));
    homes[0].isAvoided = true;
    LONGS_EQUAL(1, *relay::chooseHomeForStatement(homes, this->me));
    CHECK_FALSE(relay::chooseHomeForStatement({}, this->me).has_value());
}

// A read of a `primary` route takes a BEGIN and the read one after the other; through a home of the own zone, both and the ROLLBACK cross. A home in a third zone makes any leader statement cross twice.
TEST(Homes, AStatementForTheLeaderCrossesOnce)
{
    std::vector<relay::HomeState> homes { { .vm = "third", .zone = "c" }, { .vm = "leader's", .zone = "b", .outstanding = 1 }, { .vm = "near", .zone = "a", .outstanding = 1 } };
    const auto choose = [&](unsigned roundTrips, std::string_view leaderZone = "b") { return *relay::chooseHomeForStatement(homes, { .vm = "me", .zone = "a", .needsLeader = true, .leaderZone = leaderZone, .leaderRoundTrips = roundTrips }); };
    LONGS_EQUAL(2, choose(0));
    LONGS_EQUAL(2, choose(1));
    LONGS_EQUAL(1, choose(2));
    LONGS_EQUAL(2, choose(2, "a"));
    LONGS_EQUAL(2, choose(2, ""));
    homes[2].isAvoided = true;
    LONGS_EQUAL(1, choose(1));
    homes[1].isAvoided = true;
    LONGS_EQUAL(0, choose(1));
}

TEST(Homes, ASilentHomeIsChosenLast)
{
    const std::vector<relay::HomeState> homes { { .vm = "near", .zone = "a", .isSilent = true }, { .vm = "far", .zone = "b", .outstanding = 9 } };
    LONGS_EQUAL(1, *relay::chooseHomeForStatement(homes, this->me));
}

// A network partition separates the primary from two of three homes, and the statement comes from one of these two.
TEST(Homes, ALeaderStatementGoesToAHomeKnownToReachTheLeader)
{
    using engine::LeaderReachability;
    const std::vector<relay::HomeState> homes {
        { .vm = "denied", .zone = "a", .reach = LeaderReachability::Unreachable },
        { .vm = "unknown", .zone = "a" },
        { .vm = "proven", .zone = "b", .reach = LeaderReachability::Reachable, .outstanding = 3 },
    };
    LONGS_EQUAL(2, *relay::chooseHomeForStatement(homes, { .vm = "me", .zone = "a", .needsLeader = true, .prefersProvenReach = true }));
    // On the usual path, a statement stays in its zone but avoids a home that has just refused one.
    LONGS_EQUAL(1, *relay::chooseHomeForStatement(homes, { .vm = "me", .zone = "a", .needsLeader = true }));
    CHECK(*relay::chooseHomeForStatement(homes, this->me) != 2);
}

// A network partition separates this daemon from all homes while it still reaches the upstreams.
TEST(Homes, NoHomeIsChosenIfAllConnectionsFail)
{
    const std::vector<relay::HomeState> homes { { .vm = "h1", .zone = "a", .isAvoided = true }, { .vm = "h2", .zone = "b", .isAvoided = true } };
    CHECK_FALSE(relay::chooseHomeForStatement(homes, this->me).has_value());
}

// 38 daemons of a zone send an occasional statement each, so that all homes look idle to all of them.
TEST(Homes, IdleHomesShareTheLoad)
{
    const std::vector<relay::HomeState> homes { { .vm = "h0", .zone = "a" }, { .vm = "h1", .zone = "a" }, { .vm = "h2", .zone = "a" }, { .vm = "h3", .zone = "a" } };
    std::map<std::size_t, int> countByHome;
    for (const auto& daemon : daemons(38))
        ++countByHome[*relay::chooseHomeForStatement(homes, { .vm = daemon.vm, .zone = "a" })];
    for (std::size_t home = 0; home < homes.size(); ++home)
        CHECK(countByHome[home] >= 4);
}

// Links of one organisation can't run statements of another, so its statements of a service meet at one home, wherever they come from.
TEST(Homes, AllDaemonsSendAnOrganisationsStatementsToTheSameHome)
{
    std::vector<relay::HomeState> homes { { .vm = "h0", .zone = "a" }, { .vm = "h1", .zone = "a" }, { .vm = "h2", .zone = "b" }, { .vm = "h3", .zone = "c" } };
    const std::vector<std::string> names { "h0", "h1", "h2", "h3" };
    std::map<std::size_t, int> countByHome;
    for (int number = 0; number < 40; ++number) {
        const auto key = relay::organisationKey("s", "org" + std::to_string(number));
        const auto expected = relay::homeOfOrganisation(names, key);
        ++countByHome[*expected];
        for (const auto* zone : { "a", "b", "c" })
            LONGS_EQUAL(*expected, *relay::chooseHomeForStatement(homes, { .vm = std::string("me-") + zone, .zone = zone, .affinityKey = key }));
        homes[*expected].isSilent = true;
        const auto successor = relay::chooseHomeForStatement(homes, { .vm = "me", .zone = "a", .affinityKey = key });
        CHECK(*successor != *expected);
        homes[*expected].isSilent = false;
    }
    for (const auto& [home, count] : countByHome)
        CHECK(count >= 4);
    LONGS_EQUAL(4, countByHome.size());
}

TEST(Homes, WhereConnectionsBelongToOrganisationsFewerHomesHoldMoreOfThem)
{
    const auto shared = relay::countHomes({ .daemons = 100, .zones = 3 }, { .connections = 54, .services = 8 });
    const auto owned = relay::countHomes({ .daemons = 100, .zones = 3 }, { .connections = 54, .services = 8, .hasOrganisations = true });
    LONGS_EQUAL(9, shared.homes);
    LONGS_EQUAL(4, owned.homes);
    LONGS_EQUAL(2, relay::countHomes({ .daemons = 100, .zones = 3 }, { .connections = 6, .services = 8, .hasOrganisations = true }).homes);
}

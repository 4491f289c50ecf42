#include "gateway_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr Duration startTime = 4s;
constexpr Duration applyTime = 3s; // within which a confirmed configuration is in force on daemons that reach the store

}

TEST_GROUP(ConfigurationInForce) {
    static std::unique_ptr<integration::GatewayFleet> startFleet(const char* name) {
        auto fleet = std::make_unique<integration::GatewayFleet>(integration::GatewayFleet::Options { .name = name, .daemons = 8, .programs = integration::GatewayFleet::mixedPrograms(8) });
fleet->writeConfiguration(1);
for (std::size_t i = 0; i < fleet->size(); ++i)
    fleet->start(i);
fleet->runFor(startTime);
for (std::size_t i = 0; i < fleet->size(); ++i)
    CHECK(fleet->hasApplied(i, 1));
return fleet;
}

static void checkAllApply(integration::GatewayFleet& fleet, std::uint64_t version)
{
    fleet.writeConfiguration(version);
    fleet.runFor(applyTime);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK_TRUE_TEXT(fleet.hasApplied(i, version), ("vm" + std::to_string(i) + " has not applied it").c_str());
}
}
;

TEST(ConfigurationInForce, IsAppliedInTimeIfTheStoreRefusesAllFollowers)
{
    const auto fleet = startFleet("followers-refused");
    for (const auto follower : fleet->followers())
        fleet->refuseStore(follower);
    fleet->runFor(500ms);
    checkAllApply(*fleet, 2);
    checkAllApply(*fleet, 3);
}

TEST(ConfigurationInForce, IsAppliedInTimeIfTheStoreIsSilentToAllFollowers)
{
    const auto fleet = startFleet("followers-silenced");
    for (const auto follower : fleet->followers())
        fleet->silenceStore(follower);
    checkAllApply(*fleet, 2);
    checkAllApply(*fleet, 3);
}

TEST(ConfigurationInForce, IsAppliedInTimeIfOneDaemonOnlyReachesTheStore)
{
    const auto fleet = startFleet("one-reaches");
    for (std::size_t i = 0; i + 1 < fleet->size(); ++i)
        fleet->refuseStore(i);
    fleet->runFor(500ms);
    checkAllApply(*fleet, 2);
    checkAllApply(*fleet, 3);
}

TEST(ConfigurationInForce, IsAppliedInTimeByAFollowerToWhichTheStoreIsSilent)
{
    const auto fleet = startFleet("follower-silenced");
    fleet->silenceStore(fleet->followers().at(0));
    checkAllApply(*fleet, 2);
}

TEST(ConfigurationInForce, ADaemonThatStartsAfterARestoreOfTheStoreGetsItFromItsPeers)
{
    const auto fleet = startFleet("restored-store");
    fleet->runFor(500ms);
    fleet->writeConfiguration(2);
    fleet->runFor(500ms);
    fleet->restoreStore(800ms, 60s);
    fleet->runFor(1s);
    fleet->start(3);
    fleet->runFor(applyTime);
    CHECK_TRUE(fleet->hasApplied(3, 2));
    // The operators' next version goes on from there.
    checkAllApply(*fleet, 3);
}

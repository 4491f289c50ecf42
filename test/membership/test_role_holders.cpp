#include "amaranthhall/membership/role_holders.hpp"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace amaranthhall;

namespace {

std::vector<membership::Member> makeMembers()
{
    std::vector<membership::Member> members;
    for (int i = 0; i < 15; ++i)
        members.push_back({ .id = "vm-" + std::to_string(i), .zone = "zone-" + std::to_string(i % 3) });
    return members;
}

}

TEST_GROUP(RoleHolders) {};

TEST(RoleHolders, SpreadsHoldersOverZones)
{
    const auto members = makeMembers();
    for (int key = 0; key < 50; ++key) {
        std::set<std::string> zones;
        for (const auto* holder : membership::chooseRoleHolders(members, "watch/" + std::to_string(key), 3))
            zones.insert(holder->zone);
        CHECK_EQUAL(3U, zones.size());
    }
}

TEST(RoleHolders, SkipsMembersThatAreNotLive)
{
    auto members = makeMembers();
    const auto* first = membership::chooseRoleHolders(members, "watch/a", 1).front();
    const auto suspected = first->id;
    for (auto& member : members) {
        if (member.id == suspected)
            member.state = membership::MemberState::Suspected;
    }
    CHECK(membership::chooseRoleHolders(members, "watch/a", 1).front()->id != suspected);
}

#include "amaranthhall/relay/homes.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace amaranthhall;

namespace {

std::vector<std::string> daemons(int count)
{
    std::vector<std::string> all;
    for (int i = 0; i < count; ++i)
        all.push_back("front-" + std::to_string(i));
    return all;
}

}

TEST_GROUP(Homes) {};

TEST(Homes, WhereConnectionsGoRoundAllAreHomes)
{
    LONGS_EQUAL(15, relay::chooseHomes("s", daemons(15), 34).size());
}

TEST(Homes, ElseAFewHoldThemAll)
{
    const auto homes = relay::chooseHomes("s", daemons(113), 46);
    LONGS_EQUAL(7, homes.size());
}

TEST(Homes, AllDaemonsChooseAlikeWhateverTheOrder)
{
    auto shuffled = daemons(113);
    std::reverse(shuffled.begin(), shuffled.end());
    CHECK(relay::chooseHomes("s", daemons(113), 46) == relay::chooseHomes("s", shuffled, 46));
}

TEST(Homes, TheLossOfOneMovesOneHomeAtMost)
{
    const auto before = relay::chooseHomes("s", daemons(113), 46);
    auto left = daemons(113);
    std::erase(left, before.front());
    const auto after = relay::chooseHomes("s", left, 46);
    LONGS_EQUAL(before.size() - 1, std::count_if(after.begin(), after.end(), [&](const auto& home) { return std::find(before.begin(), before.end(), home) != before.end(); }));
}

TEST(Homes, ServicesSpreadOverDaemons)
{
    std::map<std::string, int> roles;
    for (int service = 0; service < 80; ++service) {
        for (const auto& home : relay::chooseHomes("s" + std::to_string(service), daemons(113), 46))
            ++roles[home];
    }
    // 560 roles on 113 daemons are five each.
    const auto busiest = std::max_element(roles.begin(), roles.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    CHECK(busiest->second <= 15);
}

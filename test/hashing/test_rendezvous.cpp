#include "amaranthhall/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace amaranthhall;

TEST_GROUP(Rendezvous) {};

TEST(Rendezvous, ScoresDoNotDependOnTheBuild)
{
    CHECK_EQUAL(hashing::rendezvousScore("vm-1", "watch/a"), hashing::rendezvousScore("vm-1", "watch/a"));
    CHECK(hashing::rendezvousScore("vm-1", "watch/a") != hashing::rendezvousScore("vm-1w", "atch/a"));
}

TEST(Rendezvous, AMemberIsDrawnInProportionToItsWeight)
{
    constexpr int draws = 3000;
    int heavy = 0;
    for (int draw = 0; draw < draws; ++draw) {
        const auto key = "key/" + std::to_string(draw);
        heavy += hashing::weightedScore("heavy", key, 0.5) > hashing::weightedScore("light", key, 0.1) ? 1 : 0;
    }
    // Five in six are expected, 2,500 with a deviation of 20.
    CHECK(heavy > 2400 && heavy < 2600);
}

#include "amaranthhall/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace amaranthhall;

TEST_GROUP(Rendezvous) {};

TEST(Rendezvous, ScoresAreDeterministicAndSeparateMemberIdFromKey)
{
    CHECK_EQUAL(hashing::rendezvousScore("vm-1", "watch/a"), hashing::rendezvousScore("vm-1", "watch/a"));
    CHECK(hashing::rendezvousScore("vm-1", "watch/a") != hashing::rendezvousScore("vm-1w", "atch/a"));
}

TEST(Rendezvous, AMemberIsSelectedInProportionToItsWeight)
{
    constexpr int trials = 3000;
    int heavyWins = 0;
    for (int trial = 0; trial < trials; ++trial) {
        const auto key = "key/" + std::to_string(trial);
        heavyWins += hashing::weightedScore("heavy", key, 0.5) > hashing::weightedScore("light", key, 0.1) ? 1 : 0;
    }
    // The expected share is five in six: 2,500 wins with a standard deviation of 20.
    CHECK(heavyWins > 2400 && heavyWins < 2600);
}

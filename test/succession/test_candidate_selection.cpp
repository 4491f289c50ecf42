#include "amaranthhall/succession/candidate_selection.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using succession::PromotionCandidate;
using succession::requiredPoint;
using succession::selectWithSynchronousReplicas;

namespace {

PromotionCandidate replica(const char* id, group::Position position)
{
    return { .upstream = id, .term = 1, .point = { .term = 1, .position = position } };
}

}

TEST_GROUP(CandidateSelection)
{
    std::vector<PromotionCandidate> answered { replica("a", 90), replica("b", 95) };
    const group::LogPoint primary { .term = 1, .position = 97 };
};

TEST(CandidateSelection, TheReplicaThatReceivedMostIsChosen)
{
    const auto selection = selectWithSynchronousReplicas({ .answered = this->answered });
    CHECK(selection.candidate == std::optional<std::string>("b"));
    CHECK_FALSE(selection.givesUpReplicas);
    CHECK(requiredPoint({ .answered = this->answered }) == std::optional(this->answered[1].point));
}

// Failure: with one acknowledging replica of two, the one that does not answer may be the only one that has a commit.
TEST(CandidateSelection, ASilentReplicaIsAwaitedWhileThePrimaryIsSilentToo)
{
    CHECK_FALSE(selectWithSynchronousReplicas({ .answered = this->answered, .silentReplicas = 1 }).candidate.has_value());
    CHECK_FALSE(requiredPoint({ .answered = this->answered, .silentReplicas = 1 }).has_value());
    CHECK_FALSE(selectWithSynchronousReplicas({ .answered = this->answered, .silentReplicas = 1, .waiting = succession::silentReplicaTimeout - 1ms }).candidate.has_value());
    CHECK_FALSE(selectWithSynchronousReplicas({ .answered = this->answered, .mayLackReplicas = true }).candidate.has_value());
    CHECK_FALSE(requiredPoint({ .answered = this->answered, .mayLackReplicas = true }).has_value());
    const auto late = selectWithSynchronousReplicas({ .answered = this->answered, .silentReplicas = 1, .waiting = succession::silentReplicaTimeout });
    CHECK(late.candidate == std::optional<std::string>("b"));
    CHECK_TRUE(late.givesUpReplicas);
}

TEST(CandidateSelection, ThePositionOfAnAnsweringPrimaryDecides)
{
    const auto selection = selectWithSynchronousReplicas({ .answered = this->answered, .silentReplicas = 1, .primary = this->primary });
    CHECK(selection.candidate == std::optional<std::string>("b"));
    CHECK_FALSE(selection.givesUpReplicas);
    CHECK(requiredPoint({ .answered = this->answered, .silentReplicas = 1, .primary = this->primary }) == std::optional(this->primary));
}

TEST(CandidateSelection, ADrainingReplicaIsChosenOnlyIfThePrimaryIsSilent)
{
    this->answered[1].isDraining = true;
    CHECK(selectWithSynchronousReplicas({ .answered = this->answered, .primary = this->primary }).candidate == std::optional<std::string>("a"));
    CHECK(selectWithSynchronousReplicas({ .answered = this->answered }).candidate == std::optional<std::string>("b"));
}

TEST(CandidateSelection, AReplicaThatThePlatformRefusesIsNotPassedOverForOneThatIsBehind)
{
    this->answered[1].wasRefused = true;
    CHECK_FALSE(selectWithSynchronousReplicas({ .answered = this->answered }).candidate.has_value());
    CHECK(selectWithSynchronousReplicas({ .answered = this->answered, .primary = this->primary }).candidate == std::optional<std::string>("a"));
}

TEST(CandidateSelection, OnlyALogOfTheSameTermIsCompared)
{
    CHECK_TRUE(succession::hasReached({ .term = 1, .position = 97 }, this->primary));
    CHECK_FALSE(succession::hasReached({ .term = 1, .position = 96 }, this->primary));
    CHECK_FALSE(succession::hasReached({ .term = 2, .position = 99 }, this->primary));
}

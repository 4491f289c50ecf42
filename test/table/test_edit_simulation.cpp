#include "table/edit_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

/// Runs one seed and gives the number of edits that were committed.
std::size_t simulate(std::uint64_t seed)
{
    table::EditSimulation simulation(seed, 5);
    simulation.run();
    if (!simulation.failures().empty())
        FAIL(("seed " + std::to_string(seed) + ": " + simulation.failures().front()).c_str());
    return simulation.committed();
}

}

TEST_GROUP(EditSimulation) {};

TEST(EditSimulation, NoDaemonWorksOnAnOldTableAndNoOperatorIsToldWhatIsNotSo)
{
    std::size_t committed { 0 };
    for (std::uint64_t seed = 1; seed <= 500; ++seed)
        committed += simulate(seed);
    CHECK(committed > 166); // in a third of the runs at least, so that the rules are exercised
}

TEST(EditSimulation, ALateAnswerOfTheStoreDoesNotTakeUpARefusedEdit)
{
    simulate(401);
}

TEST(EditSimulation, APausedDaemonDoesNotTakeAnOldQuestionForAFreshOne)
{
    simulate(2644);
}

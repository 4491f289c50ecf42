#include "amaranthhall/bench/gap.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

void addWrite(bench::History& history, std::size_t instance, std::chrono::milliseconds ended, bench::Told told = bench::Told::Acknowledged)
{
    history.writes.push_back({ .instance = instance, .told = told, .ended = Time(ended) });
}

}

TEST_GROUP(Gap) {};

TEST(Gap, ReachesFromTheLastWriteBeforeToTheFirstAfter)
{
    bench::History history;
    addWrite(history, 1, 90ms);
    addWrite(history, 1, 100ms);
    addWrite(history, 2, 500ms);
    addWrite(history, 1, 700ms, bench::Told::NotRun);
    addWrite(history, 1, 900ms);
    CHECK(bench::measureGap(history, 1, Time(110ms), 10s) == 800ms);
}

TEST(Gap, AConfirmationThatWasUnderWayDoesNotHideIt)
{
    bench::History history;
    addWrite(history, 1, 100ms);
    addWrite(history, 1, 112ms);
    addWrite(history, 1, 900ms);
    CHECK(bench::measureGap(history, 1, Time(110ms), 10s) == 788ms);
}

TEST(Gap, IsNotGivenIfNoWriteFollows)
{
    bench::History history;
    addWrite(history, 1, 100ms);
    CHECK(!bench::measureGap(history, 1, Time(110ms), 10s).has_value());
}

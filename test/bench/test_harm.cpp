#include "amaranthhall/bench/harm.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

bench::History makeHistory(bench::Told told, std::uint32_t rows = 1)
{
    bench::History history;
    history.writes.push_back({ .id = "1-1", .caller = 1, .sequence = 1, .rows = rows, .told = told });
    return history;
}

bench::StoredRow makeRow(std::uint32_t part = 0)
{
    return { .id = "1-1", .caller = 1, .sequence = 1, .part = part };
}

}

TEST_GROUP(Harm) {};

TEST(Harm, ACorrectHistoryHasNone)
{
    const auto history = makeHistory(bench::Told::Acknowledged, 2);
    CHECK(bench::countHarm(history, std::vector { makeRow(0), makeRow(1) }) == bench::HarmCounts {});
    CHECK(bench::countHarm(makeHistory(bench::Told::Unknown), {}) == bench::HarmCounts {});
    CHECK(bench::countHarm(makeHistory(bench::Told::Unknown), std::vector { makeRow() }) == bench::HarmCounts {});
    CHECK(bench::countHarm(makeHistory(bench::Told::NotRun), {}) == bench::HarmCounts {});
}

TEST(Harm, AnAcknowledgedWriteThatIsMissingIsLost)
{
    CHECK_EQUAL(1U, bench::countHarm(makeHistory(bench::Told::Acknowledged), {}).lost);
}

TEST(Harm, AWriteStoredTwiceIsDoubled)
{
    CHECK_EQUAL(1U, bench::countHarm(makeHistory(bench::Told::Unknown), std::vector { makeRow(), makeRow() }).doubled);
}

TEST(Harm, AStoredWriteThatWasToldNotRunCounts)
{
    CHECK_EQUAL(1U, bench::countHarm(makeHistory(bench::Told::NotRun), std::vector { makeRow() }).falseNotRun);
}

TEST(Harm, HalfATransactionIsMixed)
{
    CHECK_EQUAL(1U, bench::countHarm(makeHistory(bench::Told::Unknown, 2), std::vector { makeRow(0) }).mixed);
    CHECK_EQUAL(1U, bench::countHarm(makeHistory(bench::Told::Unknown, 2), std::vector { makeRow(1) }).mixed);
}

TEST(Harm, ARowThatNobodyWroteIsMixed)
{
    auto row = makeRow();
    row.caller = 2;
    CHECK_EQUAL(1U, bench::countHarm(makeHistory(bench::Told::Acknowledged), std::vector { row }).mixed);
    row.id = "unheard-of";
    CHECK_EQUAL(1U, bench::countHarm(bench::History {}, std::vector { row }).mixed);
}

TEST(Harm, AReadThatMissesAWriteIsStale)
{
    bench::History history;
    history.reads.push_back({ .succeeded = true, .sequence = 3, .leastSequence = 4 });
    history.reads.push_back({ .succeeded = true, .sequence = 4, .leastSequence = 4 });
    history.reads.push_back({ .succeeded = false, .sequence = 0, .leastSequence = 4 });
    CHECK_EQUAL(1U, bench::countHarm(history, {}).staleReads);
}

TEST(Harm, AnotherRequestsAnswerIsMixed)
{
    bench::History history;
    history.reads.push_back({ .succeeded = true, .hasOwnMarker = false });
    CHECK_EQUAL(1U, bench::countHarm(history, {}).mixed);
}

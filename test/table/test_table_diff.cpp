#include "amaranthhall/table/table_diff.hpp"
#include "table/sample_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(TableDiff) {};

TEST(TableDiff, TellsChangedCellsAndWholeRows)
{
    const auto before = table::sampleTable();
    auto after = before;
    after.upstreams[0].weight = 50;
    after.services.push_back({ .name = "recoveries-db", .database = "recoveries" });
    after.upstreams.pop_back();
    const auto differences = table::diffTables(before, after);
    LONGS_EQUAL(3, differences.size());
    STRCMP_CONTAINS("+ service recoveries-db: name=recoveries-db", table::formatDifference(differences[0]).c_str());
    STRCMP_CONTAINS("- upstream coach-ledger/1/c:", table::formatDifference(differences[1]).c_str());
    STRCMP_EQUAL("upstream coach-ledger/1/a: weight: 100 -> 50", table::formatDifference(differences[2]).c_str());
}

TEST(TableDiff, NamesTheTouchedServices)
{
    const auto before = table::sampleTable();
    auto after = before;
    CHECK(table::touchedServices(before, after).empty());
    after.upstreams[0].weight = 50;
    CHECK(table::touchedServices(before, after) == (std::set<std::string, std::less<>> { "coach-ledger" }));
}

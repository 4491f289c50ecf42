#include "amaranthhall/table/table_csv.hpp"
#include "amaranthhall/table/table_json.hpp"
#include "table/sample_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

std::string problemsOf(std::string_view csv)
{
    const auto image = table::readTableCsv(csv);
    return image ? "" : table::formatProblems(image.error());
}

}

TEST_GROUP(TableCsv) {};

TEST(TableCsv, WhatIsWrittenIsReadBack)
{
    auto image = table::sampleTable(0);
    image.services[0].safeFunctions = { "coach_age", "days_until" };
    image.services[0].maxStale = std::chrono::seconds(5);
    const auto read = table::readTableCsv(table::writeTableCsv(image));
    CHECK(read.has_value() && *read == image);
}

TEST(TableCsv, WhatASpreadsheetWritesIsRead)
{
    const auto read = table::readTableCsv("\xEF\xBB\xBFkind,database,name,,\r\nservice,\"ledger\",coach-ledger,,\r\n,,,,\r\n");
    CHECK(read.has_value());
    STRCMP_EQUAL("ledger", read->services.at(0).database.c_str());
}

TEST(TableCsv, AProblemNamesLineAndColumn)
{
    STRCMP_EQUAL("line 2: service coach: max_stale: '5' is not a duration with its unit, such as 250ms or 5s", problemsOf("kind,name,database,max_stale\nservice,coach,ledger,5\n").c_str());
    STRCMP_EQUAL("line 2: service coach: databse: there is no such column; did you mean database?\nline 2: service coach: database: is missing", problemsOf("kind,name,databse\nservice,coach,ledger\n").c_str());
    STRCMP_EQUAL("line 3: kind: 'servce' is neither service nor upstream", problemsOf("kind,name,database\nservice,coach,ledger\nservce,x,y\n").c_str());
    STRCMP_CONTAINS("weight: '1e3' is not a whole number", problemsOf("kind,service,instance,name,address,zone,weight\nupstream,s,1,a,127.0.0.1:1,z,1e3\n").c_str());
    STRCMP_CONTAINS("names the columns must come first", problemsOf("service,coach,ledger\n").c_str());
    STRCMP_CONTAINS("stands below no column name", problemsOf("kind,name,database\nservice,coach,ledger,7\n").c_str());
    STRCMP_CONTAINS("does not end", problemsOf("kind,name,database\nservice,coach,\"led\n").c_str());
}

TEST_GROUP(TableJson) {};

TEST(TableJson, WhatIsWrittenIsReadBack)
{
    const auto image = table::sampleTable(7);
    const auto read = table::decodeTable(table::encodeTable(image));
    CHECK(read.has_value() && *read == image);
}

TEST(TableJson, AProblemNamesRowAndColumn)
{
    const auto read = table::readTableJson(R"({"services":[{"name":"coach","database":"ledger","queue_limit":-1}],"upstreams":[]})");
    CHECK(!read.has_value());
    STRCMP_EQUAL("service coach: queue_limit: -1 is neither text nor a whole number", table::formatProblems(read.error()).c_str());
}

TEST(TableJson, TheDigestDependsOnVersionAndRows)
{
    auto image = table::sampleTable();
    const auto digest = table::digestTable(image);
    LONGS_EQUAL(64, digest.size());
    image.upstreams[0].weight = 1;
    CHECK(table::digestTable(image) != digest);
    CHECK(table::digestTable(table::sampleTable(2)) != digest);
}

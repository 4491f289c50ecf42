#include "amaranthhall/table/table_check.hpp"
#include "table/sample_table.hpp"

#include <CppUTest/TestHarness.h>
#include <functional>

using namespace amaranthhall;

namespace {

std::string check(const std::function<void(table::TableImage&)>& spoil)
{
    auto image = table::sampleTable();
    spoil(image);
    return table::formatProblems(table::checkTable(image));
}

}

TEST_GROUP(TableCheck) {};

TEST(TableCheck, ACorrectTableHasNoProblems)
{
    STRCMP_EQUAL("", check([](auto&) {}).c_str());
}

TEST(TableCheck, AProblemNamesRowAndColumn)
{
    STRCMP_EQUAL("upstream coach-ledger/1/b: weight: 10001 is not within 0 to 10000", check([](auto& image) { image.upstreams[1].weight = 10'001; }).c_str());
    STRCMP_EQUAL("service coach-ledger: queue_deadline: is longer than statement_deadline", check([](auto& image) { image.services[0].queueDeadline = std::chrono::seconds(6); }).c_str());
    STRCMP_CONTAINS("service coach-ledger: database: 'Ledger' must be", check([](auto& image) { image.services[0].database = "Ledger"; }).c_str());
}

TEST(TableCheck, ReferencesDuplicatesAndSumsAreChecked)
{
    STRCMP_CONTAINS("there is no service hearse", check([](auto& image) { image.upstreams[0].id.group.service = "hearse"; }).c_str());
    STRCMP_EQUAL("upstream coach-ledger/1/a: name: stands twice", check([](auto& image) { image.upstreams[1].id = image.upstreams[0].id; }).c_str());
    STRCMP_EQUAL("upstream coach-ledger/1/b: address: is that of upstream coach-ledger/1/a too", check([](auto& image) { image.upstreams[1].address = image.upstreams[0].address; }).c_str());
    STRCMP_CONTAINS("weights of the group sum to 0", check([](auto& image) { for (auto& row : image.upstreams) row.weight = 0; }).c_str());
    STRCMP_CONTAINS("upstream coach-ledger/1/c: slots: 1 do not do for the 2 others", check([](auto& image) { image.upstreams[2].slots = 1; }).c_str());
    STRCMP_CONTAINS("the group has one upstream", check([](auto& image) { image.upstreams.resize(1); }).c_str());
}

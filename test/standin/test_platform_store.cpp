#include "amaranthhall/standin/platform_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json transaction(const std::string& id, std::uint64_t version, const std::string& value)
{
    return { { "request_id", id }, { "conditions", { { { "key", "table" }, { "version", version } } } }, { "puts", { { { "key", "table" }, { "value", value } } } } };
}

}

TEST_GROUP(PlatformStore) { standin::PlatformStore store { { .writesPerSecond = 2, .readsPerSecond = 3 } }; };

TEST(PlatformStore, ATransactionWithAnOldVersionGetsTheConflictingRow)
{
    LONGS_EQUAL(200, store.transact(transaction("1", 0, "first")).status);
    const auto answer = store.transact(transaction("2", 0, "second"));
    LONGS_EQUAL(409, answer.status);
    CHECK(answer.body.at("rows").at(0).at("value") == "first");
    CHECK(store.readRow("table").at("version") == 1);
}

TEST(PlatformStore, ARepeatedRequestGetsTheFirstAnswer)
{
    const auto first = store.transact(transaction("1", 0, "first"));
    const auto repeated = store.transact(transaction("1", 0, "first"));
    LONGS_EQUAL(200, repeated.status);
    CHECK(repeated.body == first.body);
    CHECK(store.readRow("table").at("version") == 1);
}

TEST(PlatformStore, AnObjectIsWrittenOnlyOverTheTagThatItHas)
{
    const auto first = store.writeObject("history/1", "one", "");
    LONGS_EQUAL(200, first.status);
    LONGS_EQUAL(412, store.writeObject("history/1", "two", "").status);
    LONGS_EQUAL(200, store.writeObject("history/1", "two", first.body.at("etag").get<std::string>()).status);
    CHECK(store.readObject("history/1").body.at("body") == "two");
    LONGS_EQUAL(404, store.readObject("history/2").status);
}

TEST(PlatformStore, TheListOfVmsLags)
{
    const Time start { 100s };
    store.putVm({ { "id", "vm-1" } }, start);
    store.putVm({ { "id", "vm-2" } }, start + 10s);
    LONGS_EQUAL(1, store.listVms(start + 12s, 5s).size());
    LONGS_EQUAL(2, store.listVms(start + 15s, 5s).size());
}

TEST(PlatformStore, RequestsOverTheRateLimitAreThrottled)
{
    const Time start { 100s };
    CHECK(store.admitWrite(start));
    CHECK(store.admitWrite(start));
    CHECK(!store.admitWrite(start + 900ms));
    CHECK(store.admitWrite(start + 1s));
    LONGS_EQUAL(1, store.stats().throttled);
}

#include "platform/base64.hpp"
#include "platform/platform_row_reader.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <string>

using namespace amaranthhall;

namespace {

constexpr std::string_view entry = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"lautoka","version":"v1","slots":2,"state":"ready","cold_remaining_ms":7,"db_role":"replica","seq":4,"born":99})";

std::string entryWith(std::string_view from, std::string_view to)
{
    std::string text(entry);
    text.replace(text.find(from), from.size(), to);
    return text;
}

}

TEST_GROUP(PlatformRowReader) {};

TEST(PlatformRowReader, AnEntryIsDecoded)
{
    const auto read = fleet::readUpstream("i-1", entry);
    CHECK_TRUE(read.has_value());
    STRCMP_EQUAL("i-1", read->id.c_str());
    STRCMP_EQUAL("huvo11a", read->service.c_str());
    CHECK(read->role == catalog::Role::Replica);
    CHECK_FALSE(read->draining);
    LONGS_EQUAL(2, read->slots);
    LONGS_EQUAL(99, read->startedAt);
    CHECK_TRUE(fleet::readUpstream("i-1", entryWith("\"ready\"", "\"draining\""))->draining);
}

TEST(PlatformRowReader, AMalformedEntryIsRejectedWithAReason)
{
    for (const auto& malformed : { std::string(), std::string("\xff\xfe"), std::string("[]"), entryWith("\"replica\"", "\"witness\""), entryWith("\"ready\"", "\"asleep\""), entryWith("10.128.0.9:8080", "nowhere"), entryWith("\"slots\":2", "\"slots\":\"two\""), entryWith("\"service\":\"huvo11a\",", "") }) {
        const auto read = fleet::readUpstream("i-1", malformed);
        CHECK_FALSE(read.has_value());
        CHECK_FALSE(read.error().empty());
    }
}

// Such entries of another writer must neither end the program nor name an upstream.
TEST(PlatformRowReader, AnEntryThatIsNestedDeeplyOrHasNumbersOutOfRangeIsRejected)
{
    constexpr std::size_t veryDeep = 100'000;
    const auto nested = std::string(veryDeep, '[') + std::string(veryDeep, ']');
    for (const auto& odd : { nested, entryWith("{", "{\"more\":" + nested + ","), entryWith("\"slots\":2", "\"slots\":99999999999999999999999"), entryWith("\"slots\":2", "\"slots\":18446744073709551615"), entryWith("\"slots\":2", "\"slots\":1e999"), entryWith("\"slots\":2", "\"slots\":-1"), entryWith("\"born\":99", "\"born\":1e300"), entryWith(":8080", ":70000"), entryWith(":8080", ":-1"), entryWith(":8080", ":0"), entryWith(":8080", ":4294967376") }) {
        const auto read = fleet::readUpstream("i-1", odd);
        CHECK_FALSE(read.has_value());
        CHECK_FALSE(read.error().empty());
    }
    CHECK_TRUE(fleet::readUpstream("i-1", entryWith("\"cold_remaining_ms\":7", "\"cold_remaining_ms\":1e300")).has_value());
}

TEST(PlatformRowReader, AConfigurationIsReadHoweverItsNumbersAreWritten)
{
    const auto read = fleet::readConfiguration(R"({"version":7.0,"routes":[{"host":"a","route_type":"primary","service":"s","priority":-1,"timeout_ms":8e2},{"host":"b","route_type":"primary","service":"s","priority":5.0}],"services":[{"name":"s","max_conns":34.0}]})");
    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(7, read->version);
    LONGS_EQUAL(0, read->findRoute("a")->priority);
    LONGS_EQUAL(800, read->findRoute("a")->statementTimeout.count());
    LONGS_EQUAL(5, read->findRoute("b")->priority);
    LONGS_EQUAL(34, read->services.find("s")->second.maximumConnections);
    for (const auto* version : { "7.5", "-7", "1e300", "\"7\"" })
        CHECK_FALSE(fleet::readConfiguration(std::string(R"({"routes":[],"services":[],"version":)") + version + "}").has_value());
}

TEST(PlatformRowReader, AConfigurationIsDecoded)
{
    const auto read = fleet::readConfiguration(R"({"version":7,"routes":[{"name":"r","host":"fiti","path_prefix":"/","route_type":"read_your_writes","timeout_ms":800,"target_latency_ms":200,"priority":2,"service":"huvo","max_attempts":2,"max_staleness_ms":2500}],"services":[{"name":"huvo","max_conns":34}],"limits":{"tx_idle_ms":3000}})");
    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(7, read->version);
    const auto* route = read->findRoute("fiti");
    CHECK(route != nullptr);
    CHECK(route->consistency == catalog::Consistency::ReadYourWrites);
    LONGS_EQUAL(2500, route->maximumStaleness.count());
    LONGS_EQUAL(34, read->services.find("huvo")->second.maximumConnections);
    POINTERS_EQUAL(nullptr, read->findRoute("other"));
}

TEST(PlatformRowReader, OrganisationsAreDecodedWithTheirKeysAndLimits)
{
    const auto read = fleet::readConfiguration(R"({"version":7,"routes":[{"host":"a","service":"s","route_type":"primary","public":true},{"host":"b","service":"s","route_type":"primary","public":false}],"services":[],"tenants":[{"name":"miny","api_keys":["x7u2","sujq"],"priority":1,"per_s":154,"burst":150},{"name":"free","api_keys":[]}]})");
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read->findRoute("a")->isPublic);
    CHECK_FALSE(read->findRoute("b")->isPublic);
    STRCMP_EQUAL("miny", read->organisations->findByKey(hashing::digestOf("sujq"))->name.c_str());
    DOUBLES_EQUAL(154, read->organisations->find("miny")->limit->perSecond, 0);
    DOUBLES_EQUAL(150, read->organisations->find("miny")->limit->burst, 0);
    CHECK_FALSE(read->organisations->find("free")->limit.has_value());
}

// Reading such a configuration as one without organisations would open all routes.
TEST(PlatformRowReader, MalformedOrganisationsMakeTheConfigurationUnreadable)
{
    for (const auto* organisations : { "null", "{}", "7", R"([{"name":"a","api_keys":"k"}])", R"([{"name":"a","api_keys":[7]}])", R"([{"api_keys":["k"]}])", R"([{"name":"a","api_keys":[],"per_s":"many"}])" })
        CHECK_FALSE(fleet::readConfiguration(std::string(R"({"version":7,"routes":[],"services":[],"tenants":)") + organisations + "}").has_value());
    CHECK_FALSE(fleet::readConfiguration(R"({"version":7,"routes":[],"services":[]})")->organisations.has_value());
}

TEST(PlatformRowReader, AnUnknownRouteTypeGetsTheStrictestConsistency)
{
    const auto read = fleet::readConfiguration(R"({"version":1,"routes":[{"host":"a","route_type":"new_kind","service":"s"}],"services":[]})");
    CHECK(read->findRoute("a")->consistency == catalog::Consistency::Primary);
}

TEST(PlatformRowReader, ArbitraryBytesAreReadWithoutCrash)
{
    const bool holds = rc::check("any value is an entry, a configuration, or an error", [](const std::string& value) {
        static_cast<void>(fleet::readUpstream("i-1", value));
        static_cast<void>(fleet::readConfiguration(value));
        RC_ASSERT(fleet::decodeBase64(fleet::encodeBase64(value)) == value);
    });
    CHECK_TRUE(holds);
}

TEST(PlatformRowReader, ATruncatedEntryIsAnError)
{
    for (std::size_t length = 0; length < entry.size(); ++length)
        CHECK_FALSE(fleet::readUpstream("i-1", entry.substr(0, length)).has_value());
}

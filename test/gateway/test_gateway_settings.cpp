#include "amaranthhall/gateway/gateway_settings.hpp"

#include <CppUTest/TestHarness.h>
#include <string>
#include <string_view>
#include <utility>

using namespace amaranthhall;

namespace {

constexpr std::string_view completeSettings = R"(vm:
  id: "front-1"
  zone: "a"
  cores: 0.17
listen:
  callers: "10.1.0.8:1"
  ready: "10.1.0.8:2"
  peers: "10.1.0.8:3"
  relay: "10.1.0.8:4"
  metrics: "10.1.0.8:5"
seeds: ["10.1.0.8:3","10.2.0.6:3"]
platform:
  store: "10.200.1.7:8783"
  orders: "10.200.0.160:8783"
drain:
  daemon: "6s"
  upstream: "7000ms"
limits:
  window: "5s"
  excess: 0.1
  slack: 0
zones:
  byte_price: 2.5
)";

std::string errorFor(std::string_view from, std::string_view to)
{
    std::string text(completeSettings);
    text.replace(text.find(from), from.size(), to);
    const auto read = gateway::parseGatewaySettings(text);
    return read ? "" : kernel::formatError("f", read.error());
}

}

TEST_GROUP(GatewaySettings) {};

TEST(GatewaySettings, ACompleteFileIsRead)
{
    const auto read = gateway::parseGatewaySettings(completeSettings);
    CHECK_TRUE(read.has_value());
    CHECK_EQUAL(std::string("front-1"), read->vm);
    DOUBLES_EQUAL(0.17, read->cores, 1e-9);
    LONGS_EQUAL(2, read->seeds.size());
    LONGS_EQUAL(6000, read->drainLimit.count());
    LONGS_EQUAL(7000, read->upstreamDrainLimit.count());
    LONGS_EQUAL(5000, read->quotaWindow.count());
    DOUBLES_EQUAL(0.1, read->quotaExcess, 1e-9);
    DOUBLES_EQUAL(0, read->quotaSlack, 1e-9);
    DOUBLES_EQUAL(2.5, read->bytePrice, 1e-9);
}

TEST(GatewaySettings, LimitsOfTheVmMayBeLeftOut)
{
    const auto without = gateway::parseGatewaySettings(completeSettings);
    CHECK_TRUE(without.has_value());
    DOUBLES_EQUAL(0, without->memoryMegabytes, 1e-9);
    DOUBLES_EQUAL(0, without->descriptors, 1e-9);
    constexpr std::string_view cores = "  cores: 0.17\n";
    std::string text(completeSettings);
    text.replace(text.find(cores), cores.size(), "  cores: 0.17\n  memory: 112\n  descriptors: 3010\n");
    const auto with = gateway::parseGatewaySettings(text);
    CHECK_TRUE(with.has_value());
    DOUBLES_EQUAL(112, with->memoryMegabytes, 1e-9);
    DOUBLES_EQUAL(3010, with->descriptors, 1e-9);
}

TEST(GatewaySettings, FencesAreCheckedUnlessTheSettingsDenyIt)
{
    constexpr std::string_view orders = "  orders: \"10.200.0.160:8783\"\n";
    const std::pair<std::string_view, bool> cases[] { { "", true }, { "  checks_fences:\n", true }, { "  checks_fences: true\n", true }, { "  checks_fences: false\n", false } };
    for (const auto& [line, checks] : cases) {
        std::string text(completeSettings);
        text.insert(text.find(orders) + orders.size(), line);
        const auto read = gateway::parseGatewaySettings(text);
        CHECK_TRUE(read.has_value());
        CHECK_EQUAL(checks, read->checksFences);
    }
}

TEST(GatewaySettings, AMemoryOfNothingIsRefused)
{
    CHECK(errorFor("  cores: 0.17\n", "  cores: 0.17\n  memory: 0\n").find("vm.memory") != std::string::npos);
}

TEST(GatewaySettings, AnErrorNamesFileLineAndKey)
{
    STRCMP_EQUAL("f:2: vm.idd: unknown key; did you mean 'id'?", errorFor("id:", "idd:").c_str());
    STRCMP_CONTAINS("f:6: listen.callers: an address", errorFor("10.1.0.8:1\"", "nowhere\"").c_str());
    STRCMP_CONTAINS("drain.daemon: a duration with its unit", errorFor("6s", "6").c_str());
    STRCMP_CONTAINS("f:4: vm.cores: a number above 0", errorFor("0.17", "0").c_str());
    STRCMP_CONTAINS("f:4: vm.cores: a number above 0", errorFor("0.17", "many").c_str());
    STRCMP_CONTAINS("limits.excess: a number of 0 or more", errorFor("0.1\n", "-1\n").c_str());
    STRCMP_CONTAINS("zones.byte_price: a number of 0 or more", errorFor("2.5\n", "-1\n").c_str());
    STRCMP_CONTAINS("vm.zone: is required", errorFor("\"a\"", "\"\"").c_str());
}

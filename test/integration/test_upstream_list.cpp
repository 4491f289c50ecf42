#include "gateway_fleet.hpp"
#include "platform/standin/fleet_rows.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t veryDeep = 20'000;

std::string entryOf(const std::string& id)
{
    return fleet::standin::encodeUpstream({ .id = id, .service = "svc", .address = { .host = "127.0.0.1", .port = 9 }, .zone = "a", .slots = 2, .startedAt = 1 }, 1);
}

std::string entryWith(const std::string& from, const std::string& to)
{
    auto text = entryOf("odd");
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::vector<std::string> oddEntries()
{
    const auto nested = std::string(veryDeep, '[') + std::string(veryDeep, ']');
    return {
        nested,
        entryWith("{", "{\"more\":" + nested + ","),
        entryWith("{", "{\"more\":1" + std::string(5000, '0') + ","),
        entryWith("\"slots\":2", "\"slots\":99999999999999999999999"),
        entryWith("\"slots\":2", "\"slots\":18446744073709551615"),
        entryWith("\"slots\":2", "\"slots\":1e999"),
        entryWith("\"slots\":2", "\"slots\":-1"),
        entryWith("\"born\":1", "\"born\":1e300"),
        entryWith("127.0.0.1:9", "127.0.0.1:70000"),
        entryWith("127.0.0.1:9", "127.0.0.1:4294967305"),
        entryWith("127.0.0.1:9", "127.0.0.1:-9"),
        entryWith("127.0.0.1:9", "127.0.0.1:0"),
        entryWith("127.0.0.1:9", "255.255.255.255:80"),
        entryWith("127.0.0.1:9", "224.0.0.1:80"),
        entryWith("\"svc\"", "\"" + std::string(60'000, 's') + "\""),
        std::string("\xff\xfe\0", 3),
        "null",
    };
}

bool hasEntry(const rig::Process& process, const std::string& id)
{
    const auto entries = process.events("upstream.entry");
    return std::any_of(entries.begin(), entries.end(), [&id](const auto& line) { return line.value("upstream", "") == id; });
}

}

TEST_GROUP(UpstreamList) {};

TEST(UpstreamList, OddEntriesOfAnotherWriterEndNoProgramAndTheListIsFollowedOn)
{
    integration::GatewayFleet fleet({ .name = "odd-entries", .daemons = 3 });
    fleet.writeConfiguration(1, { "db" });
    const auto odd = oddEntries();
    // Half of them stand in the list as the daemons start, the others come later.
    for (std::size_t i = 0; i < odd.size() / 2; ++i)
        fleet.writeUpstream("odd" + std::to_string(i), odd[i]);
    fleet.writeUpstream("good0", entryOf("good0"));
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.runFor(3s);
    for (std::size_t i = odd.size() / 2; i < odd.size(); ++i)
        fleet.writeUpstream("odd" + std::to_string(i), odd[i]);
    fleet.writeUpstream("good1", entryOf("good1"));
    fleet.runFor(2s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK_TRUE(fleet.isRunning(i));
        CHECK_TRUE(hasEntry(fleet.process(i), "good0"));
        CHECK_TRUE(hasEntry(fleet.process(i), "good1"));
    }
}

TEST(UpstreamList, AnEntryThatCanNoLongerBeReadNamesNoUpstream)
{
    integration::GatewayFleet fleet({ .name = "overwritten-entry", .daemons = 2 });
    fleet.writeConfiguration(1, { "db" });
    fleet.writeUpstream("a", entryOf("a"));
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.runFor(3s);
    fleet.writeUpstream("a", entryWith("127.0.0.1:9", "127.0.0.1:70000"));
    fleet.runFor(5s);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK_FALSE(fleet.process(i).events("upstream.gone").empty());
}

#include "amaranthhall/kernel/settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

namespace {

constexpr std::string_view complete = R"(vm: { id: vm-1, region: viti-west, zone: nadi }
listen: { caller: 127.0.0.1:0, peer: 127.0.0.1:0, admin: 127.0.0.1:0 }
platform: { address: 127.0.0.1:7000 }
peers: { keys: [ 0123456789abcdef ] }
upstreams: { user: amaranthhall }
)";

}

TEST_GROUP(Settings) {};

TEST(Settings, ReadsACompleteFile)
{
    const auto settings = kernel::parseSettings(complete);
    CHECK(settings.has_value());
    CHECK(settings->vm.zone == "nadi");
    CHECK_EQUAL(7000, settings->platform.port);
}

TEST(Settings, NamesTheLineAndTheNearestKey)
{
    const auto settings = kernel::parseSettings(std::string(complete) + "drian: { limit: 5s }\n");
    CHECK(!settings.has_value());
    CHECK(kernel::formatError("a.yaml", settings.error()) == "a.yaml:6: drian: unknown key; did you mean 'drain'?");
}

TEST(Settings, RefusesADurationWithoutUnit)
{
    const auto settings = kernel::parseSettings(std::string(complete) + "drain: { limit: 5 }\n");
    CHECK_EQUAL(6, settings.error().line);
    CHECK(settings.error().key == "drain.limit");
}

TEST(Settings, NamesAMissingKey)
{
    const auto settings = kernel::parseSettings("vm: { id: vm-1, region: r, zone: z }\n");
    CHECK(settings.error().key == "listen.caller");
}

TEST(Settings, AReloadTellsWhatNeedsARestart)
{
    const auto before = kernel::parseSettings(complete);
    const auto after = kernel::parseSettings(std::string(complete) + "log: { level: debug }\ndrain: { limit: 5s }\n");
    const auto keys = kernel::findRestartKeys(*before, *after);
    CHECK_EQUAL(1U, keys.size());
    CHECK(keys.front() == "drain");
    CHECK(kernel::findRestartKeys(*before, *before).empty());
}

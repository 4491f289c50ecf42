#include "amaranthhall/soak/soak_run.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr double leastCalmShare = 0.95;

std::string programBeside()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "amaranthhall-gateway").string();
}

soak::SoakResult play(std::uint64_t seed, std::chrono::milliseconds length)
{
    const auto folder = std::filesystem::temp_directory_path() / ("amaranthhall-gateway-" + std::to_string(seed));
    soak::SoakRun run({ .seed = seed, .length = length, .daemons = 4, .callers = 12, .program = programBeside(), .folder = folder.string() });
    return run.run();
}

void check(const soak::SoakResult& result)
{
    for (const auto& violation : result.violations)
        FAIL(violation.c_str());
    CHECK(result.answered > 0);
    CHECK(result.calmShare >= leastCalmShare);
}

}

TEST_GROUP(GatewaySoak) {};

TEST(GatewaySoak, PromisesHoldUnderFaultsOfSeed1)
{
    check(play(1, 6s));
}

TEST(GatewaySoak, PromisesHoldUnderFaultsOfSeed2)
{
    check(play(2, 6s));
}

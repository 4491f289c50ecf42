#include "amaranthhall/soak/soak_run.hpp"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr double leastCalmShare = 0.95;
constexpr double leastLimitShare = 0.8;

std::string programBeside()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "amaranthhall-gateway").string();
}

soak::SoakResult play(std::uint64_t seed, std::chrono::milliseconds length, bool hasSynchronousReplicas = false)
{
    const auto folder = std::filesystem::temp_directory_path() / ("amaranthhall-gateway-" + std::to_string(seed));
    soak::SoakRun run({ .seed = seed, .length = length, .daemons = 4, .callers = 12, .program = programBeside(), .hasSynchronousReplicas = hasSynchronousReplicas, .folder = folder.string() });
    return run.run();
}

/// Returns whether a log of the run contains an API key.
bool isKeyLogged(std::uint64_t seed)
{
    for (const auto& entry : std::filesystem::directory_iterator(std::filesystem::temp_directory_path() / ("amaranthhall-gateway-" + std::to_string(seed)))) {
        std::ifstream log(entry.path());
        const std::string text((std::istreambuf_iterator<char>(log)), {});
        if (text.find(soak::keyPrefix) != std::string::npos)
            return true;
    }
    return false;
}

void check(const soak::SoakResult& result)
{
    for (const auto& violation : result.violations)
        FAIL(violation.c_str());
    CHECK(result.answered > 0);
    CHECK(result.calmShare >= leastCalmShare);
    CHECK(result.limitShare >= leastLimitShare);
}

}

TEST_GROUP(GatewaySoak) {};

TEST(GatewaySoak, PromisesHoldUnderFaultsOfSeed1)
{
    check(play(1, 6s));
    CHECK_FALSE(isKeyLogged(1));
}

TEST(GatewaySoak, PromisesHoldUnderFaultsOfSeed2)
{
    check(play(2, 6s));
    CHECK_FALSE(isKeyLogged(2));
}

// Failure: an order of promotion that got no answer was carried out late, and its upstream lacked commits that callers had been told of.
TEST(GatewaySoak, AcknowledgedCommitsOutlastLateOrdersOfSeed11)
{
    check(play(11, 20s, true));
}

TEST(GatewaySoak, AConnectionThatItsOtherEndHasClosedEndsNoProgram)
{
    const auto folder = std::filesystem::temp_directory_path() / "amaranthhall-gateway-signals";
    std::filesystem::create_directories(folder);
    const auto settings = (folder / "settings.yaml").string();
    std::ofstream(settings) << "vm: { id: a, zone: z }\nlisten: { callers: \"127.0.0.1:0\", ready: \"127.0.0.1:0\", peers: \"127.0.0.1:0\", relay: \"127.0.0.1:0\", metrics: \"127.0.0.1:0\" }\n"
                               "platform: { store: \"127.0.0.1:1\", orders: \"127.0.0.1:1\" }\n";
    rig::Process process(programBeside(), { "--settings", settings }, (folder / "log").string());
    static_cast<void>(process.awaitEvent("daemon.started", 5s));
    std::ifstream status("/proc/" + std::to_string(process.id()) + "/status");
    std::string line;
    while (std::getline(status, line) && !line.starts_with("SigIgn:")) { }
    const auto ignored = std::stoull(line.substr(line.find('\t') + 1), nullptr, 16);
    CHECK((ignored >> (SIGPIPE - 1) & 1U) != 0);
}

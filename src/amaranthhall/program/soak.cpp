#include "amaranthhall/soak/soak_run.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace {

namespace options = boost::program_options;
using namespace amaranthhall;

constexpr double leastLimitShare = 0.8; // of what the limit of the limited organisation allows in that time
constexpr double leastCalmShare = 0.95; // of the operations after all faults have ended

int runProgram(int count, char** arguments)
{
    options::options_description description("amaranthhall-soak: real gateways under faults drawn by a seed");
    auto add = description.add_options();
    add("help,h", "shows this text");
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the faults and the load");
    add("seconds", options::value<unsigned>()->default_value(10), "length of the faults");
    add("daemons", options::value<std::size_t>()->default_value(5), "gateways");
    add("callers", options::value<std::size_t>()->default_value(20), "callers");
    add("zones", options::value<std::size_t>()->default_value(1), "zones of gateways and upstreams, 1 to 26");
    add("gateway", options::value<std::string>(), "path of the gateway; else beside this program");
    add("other-gateway", options::value<std::string>()->default_value(""), "path of a gateway of another build, from which the daemons are replaced, and back");
    add("without-organisations", "callers need no keys, as builds before organisations require");
    add("synchronous-replicas", "commits are confirmed by a replica too, and orders of promotion get no answer at times");
    add("folder", options::value<std::string>(), "for settings and logs; else in the temporary folder");
    options::variables_map values;
    options::store(options::parse_command_line(count, arguments, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    const auto seed = values["seed"].as<std::uint64_t>();
    soak::SoakOptions chosen { .seed = seed, .length = std::chrono::seconds(values["seconds"].as<unsigned>()), .daemons = values["daemons"].as<std::size_t>(), .callers = values["callers"].as<std::size_t>(), .zones = std::clamp<std::size_t>(values["zones"].as<std::size_t>(), 1, 26) };
    const auto own = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    chosen.program = values.count("gateway") != 0 ? values["gateway"].as<std::string>() : (own / "amaranthhall-gateway").string();
    chosen.otherProgram = values["other-gateway"].as<std::string>();
    chosen.hasOrganisations = values.count("without-organisations") == 0;
    chosen.hasSynchronousReplicas = values.count("synchronous-replicas") != 0;
    chosen.folder = values.count("folder") != 0 ? values["folder"].as<std::string>() : (std::filesystem::temp_directory_path() / ("amaranthhall-soak-" + std::to_string(seed))).string();
    spdlog::set_level(spdlog::level::off);
    soak::SoakRun run(chosen);
    const auto result = run.run();
    const bool isGood = result.violations.empty() && result.calmShare >= leastCalmShare && result.limitShare >= leastLimitShare;
    std::cout << nlohmann::json { { "seed", seed }, { "good", isGood }, { "violations", result.violations }, { "answered", result.answered }, { "failed", result.failed }, { "calm_share", result.calmShare }, { "limit_share", result.limitShare }, { "faults", result.faults }, { "logs", chosen.folder } } << '\n';
    return isGood ? 0 : 1;
}

}

int main(int count, char** arguments)
{
    try {
        return runProgram(count, arguments);
    } catch (const std::exception& exception) {
        std::cerr << "amaranthhall-soak: " << exception.what() << '\n';
    }
    return 2;
}

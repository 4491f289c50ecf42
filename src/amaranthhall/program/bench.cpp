#include "amaranthhall/bench/experiment.hpp"
#include "amaranthhall/bench/fault_plan.hpp"
#include "amaranthhall/bench/overhead.hpp"
#include "amaranthhall/bench/report.hpp"
#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/cluster.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <array>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace amaranthhall;

using Words = std::vector<std::string>;

std::string binariesFolder()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

void writeFile(const std::string& file, const std::string& text)
{
    if (const auto folder = std::filesystem::path(file).parent_path(); !folder.empty())
        std::filesystem::create_directories(folder);
    std::ofstream stream(file);
    stream << text;
    if (!stream.flush())
        throw std::runtime_error(file + ": cannot be written");
}

nlohmann::json readResult(const std::string& file)
{
    std::ifstream stream(file);
    auto json = nlohmann::json::parse(stream, nullptr, false);
    if (!json.is_object())
        throw std::runtime_error(file + ": not a result");
    return json;
}

int runExperiment(const Words& words)
{
    options::options_description description("amaranthhall-bench experiment NAME [options]\n\nStarts a cluster on loopback, puts load and faults on it, reads the databases back.\nEnds with 0 if no promise was broken, 1 if one was, 2 if the run failed.\n\nOptions");
    description.add_options()("help", "shows this text")("name", options::value<std::string>(), "steady, roaming, failover, partition, pause, lag, store-outage, drain or storm")("profile", options::value<std::string>()->default_value("lautoka"), "lautoka or corrib")("seed", options::value<std::uint64_t>()->default_value(1), "seed of load and faults")("seconds", options::value<double>()->default_value(30), "length of the load")("rate", options::value<double>(), "operations a second, over all callers")("daemons", options::value<std::size_t>(), "number of daemons")("json", options::value<std::string>(), "file for the result")("work", options::value<std::string>()->default_value("results/work"), "folder for settings and logs");
    options::positional_options_description positions;
    positions.add("name", 1);
    options::variables_map values;
    options::store(options::command_line_parser(words).options(description).positional(positions).run(), values);
    if (values.count("help") != 0 || values.count("name") == 0) {
        std::cout << description;
        return values.count("help") != 0 ? 0 : 2;
    }
    auto profile = bench::findProfile(values["profile"].as<std::string>());
    if (!profile)
        throw options::error("the profile is lautoka or corrib");
    if (values.count("rate") != 0)
        profile->arrivalsPerSecond = values["rate"].as<double>();
    if (values.count("daemons") != 0)
        profile->daemons = values["daemons"].as<std::size_t>();
    const auto result = bench::runExperiment({
        .name = values["name"].as<std::string>(),
        .profile = *profile,
        .seed = values["seed"].as<std::uint64_t>(),
        .length = std::chrono::milliseconds(static_cast<std::int64_t>(values["seconds"].as<double>() * 1000)),
        .binaries = binariesFolder(),
        .workFolder = values["work"].as<std::string>(),
        .progress = [](std::string_view line) { std::cerr << line << '\n'; },
    });
    const auto json = bench::encodeResult(result);
    if (values.count("json") != 0)
        writeFile(values["json"].as<std::string>(), json.dump(2) + "\n");
    std::cout << bench::summarize(json);
    return bench::isHarmless(result) ? 0 : 1;
}

int runOverhead(const Words& words)
{
    options::options_description description("amaranthhall-bench overhead [options]\n\nMeasures one daemon against direct connections to the stand-ins.\n\nOptions");
    description.add_options()("help", "shows this text")("seconds", options::value<double>()->default_value(3), "length of each part")("callers", options::value<std::size_t>()->default_value(32), "callers of the throughput part")("idle", options::value<std::size_t>()->default_value(1000), "idle callers")("json", options::value<std::string>(), "file for the result");
    options::variables_map values;
    options::store(options::command_line_parser(words).options(description).run(), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    const auto json = bench::measureOverhead({
        .binaries = binariesFolder(),
        .workFolder = "results/overhead",
        .callers = values["callers"].as<std::size_t>(),
        .idleCallers = values["idle"].as<std::size_t>(),
        .length = std::chrono::milliseconds(static_cast<std::int64_t>(values["seconds"].as<double>() * 1000)),
    });
    if (values.count("json") != 0)
        writeFile(values["json"].as<std::string>(), json.dump(2) + "\n");
    std::cout << json.dump(2) << '\n';
    return 0;
}

int runReport(const Words& words)
{
    if (words.size() != 2) {
        std::cerr << "usage: amaranthhall-bench report RESULT.json FOLDER\n";
        return 2;
    }
    const auto result = readResult(words[0]);
    writeFile(words[1] + "/report.md", bench::writeReport(result));
    writeFile(words[1] + "/timeline.svg", bench::plotTimeline(result));
    return 0;
}

int runCompare(const Words& words)
{
    if (words.size() != 2) {
        std::cerr << "usage: amaranthhall-bench compare A.json B.json\n";
        return 2;
    }
    std::cout << bench::compareResults(readResult(words[0]), readResult(words[1]));
    return 0;
}

void show(const std::string& text, const rig::Answer& answer)
{
    std::cout << text << "\n  -> " << (answer.succeeded ? answer.tag : answer.sqlstate + " " + answer.message) << '\n';
    for (const auto& row : answer.rows) {
        for (const auto& value : row)
            std::cout << "  " << value;
        std::cout << '\n';
    }
}

bool runShown(rig::Caller& caller, const std::string& text)
{
    const auto answer = caller.run(text);
    show(text, answer);
    return answer.succeeded;
}

int runDemo(const Words&)
{
    rig::Cluster cluster({ .binaries = binariesFolder(), .workFolder = "results/demo", .daemons = 3 });
    rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger");
    bool succeeded = caller.isConnected();
    for (const std::string text : { "CREATE TABLE orders (id integer primary key, coach text)", "INSERT INTO orders VALUES (1, 'hearse')", "SELECT id, coach FROM orders" })
        succeeded = runShown(caller, text) && succeeded;
    auto& primary = cluster.primaryOf(1);
    std::cout << "-- kill -9 of the primary, upstream " << primary.row.id.name << '\n';
    primary.process->kill();
    const auto begin = Clock::now();
    succeeded = runShown(caller, "INSERT INTO orders VALUES (2, 'limousine')") && succeeded;
    std::cout << "-- that write waited " << std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin).count() << " ms for upstream " << cluster.primaryOf(1).row.id.name << '\n';
    rig::Caller other(cluster.daemons().back().callerPort, "coach-ledger");
    succeeded = runShown(other, "SELECT id, coach FROM orders ORDER BY id") && succeeded;
    return succeeded ? 0 : 1;
}

struct Command {
    std::string_view name;
    std::string_view help;
    int (*run)(const Words&);
};

constexpr std::array<Command, 5> commands { {
    { "demo", "a cluster, a write, a failover, and what a caller sees of it", runDemo },
    { "experiment", "load and faults on a cluster; counts broken promises", runExperiment },
    { "overhead", "latency, throughput and memory that one daemon adds", runOverhead },
    { "report", "a result as Markdown and SVG", runReport },
    { "compare", "two results side by side with ratios", runCompare },
} };

int runProgram(const Words& words)
{
    for (const auto& command : commands) {
        if (!words.empty() && words.front() == command.name)
            return command.run({ words.begin() + 1, words.end() });
    }
    std::cout << "usage: amaranthhall-bench COMMAND [options]\n\n";
    for (const auto& command : commands)
        std::cout << "  " << command.name << std::string(12 - command.name.size(), ' ') << command.help << '\n';
    return words.empty() || words.front() != "--help" ? 2 : 0;
}

}

int main(int count, char** arguments)
{
    telemetry::setLogLevel(telemetry::LogLevel::Error);
    try {
        return runProgram({ arguments + 1, arguments + count });
    } catch (const std::exception& exception) {
        std::cerr << "amaranthhall-bench: " << exception.what() << '\n';
    }
    return 2;
}

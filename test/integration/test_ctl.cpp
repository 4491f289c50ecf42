#include "amaranthhall/ctl/command_line.hpp"
#include "amaranthhall/rig/http_call.hpp"
#include "integration/test_cluster.hpp"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

struct Ended {
    int code { 0 };
    std::string output;
};

std::string addressOf(const rig::DaemonNode& daemon)
{
    return "127.0.0.1:" + std::to_string(daemon.adminPort);
}

Ended runCtl(const rig::DaemonNode& daemon, std::vector<std::string> words)
{
    words.insert(words.end(), { "--daemon", addressOf(daemon) });
    std::ostringstream output;
    const auto code = ctl::runCommandLine(words, output, output);
    return { .code = static_cast<int>(code), .output = output.str() };
}

/// Repeats a command until it ends with a code, for at most 20 s.
Ended awaitCtl(const rig::DaemonNode& daemon, const std::vector<std::string>& words, int code)
{
    const auto deadline = Clock::now() + 20s;
    auto ended = runCtl(daemon, words);
    while (ended.code != code && Clock::now() < deadline) {
        std::this_thread::sleep_for(100ms);
        ended = runCtl(daemon, words);
    }
    return ended;
}

}

TEST_GROUP(Ctl) {};

TEST(Ctl, ATableGoesThroughASpreadsheetAndBack)
{
    auto options = integration::makeOptions("ctl-table");
    options.daemons = 3;
    rig::Cluster cluster(options);
    const auto& daemon = cluster.daemons().front();
    const auto file = options.workFolder + "/table.csv";

    const auto shown = runCtl(daemon, { "table", "show", "--format", "csv" });
    LONGS_EQUAL(0, shown.code);
    std::ofstream(file) << shown.output;
    STRCMP_EQUAL("version 1 is in force; nothing differs\n", runCtl(daemon, { "table", "diff", file }).output.c_str());

    STRCMP_EQUAL("in force everywhere: version 2\n", runCtl(daemon, { "table", "set", "upstream", "coach-ledger/1/a", "weight=50" }).output.c_str());
    const auto differs = runCtl(cluster.daemons()[1], { "table", "diff", file });
    LONGS_EQUAL(5, differs.code);
    STRCMP_CONTAINS("upstream coach-ledger/1/a: weight: 50 -> 100", differs.output.c_str());

    const auto conflict = runCtl(daemon, { "table", "apply", file, "--expect-version", "1" });
    LONGS_EQUAL(1, conflict.code);
    STRCMP_CONTAINS("refused: version 2 is in force, not 1", conflict.output.c_str());
    STRCMP_CONTAINS("upstream coach-ledger/1/a: weight: 50 -> 100", conflict.output.c_str());

    STRCMP_EQUAL("in force everywhere: version 3\n", runCtl(daemon, { "table", "apply", file, "--expect-version", "2", "--edit-id", "back" }).output.c_str());
    STRCMP_EQUAL("in force everywhere: version 3\n", runCtl(cluster.daemons()[2], { "table", "apply", file, "--expect-version", "2", "--edit-id", "back" }).output.c_str());
    const auto history = runCtl(daemon, { "table", "history" });
    STRCMP_CONTAINS("edit back through vm-01", history.output.c_str());
    STRCMP_CONTAINS("upstream coach-ledger/1/a: weight: 100 -> 50", history.output.c_str());
}

TEST(Ctl, StatusNamesADaemonThatIsNotHeard)
{
    auto options = integration::makeOptions("ctl-status");
    options.daemons = 3;
    rig::Cluster cluster(options);
    const auto& daemon = cluster.daemons().front();
    LONGS_EQUAL(0, awaitCtl(daemon, { "status" }, 0).code);
    cluster.daemons()[2].process->kill();
    const auto ended = awaitCtl(daemon, { "status" }, 5);
    LONGS_EQUAL(5, ended.code);
    STRCMP_CONTAINS("! vm-03", ended.output.c_str());
}

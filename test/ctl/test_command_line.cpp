#include "amaranthhall/ctl/command_line.hpp"
#include "amaranthhall/ctl/fleet.hpp"
#include "amaranthhall/ctl/text_table.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace amaranthhall;

TEST_GROUP(CommandLine)
{
    std::ostringstream output;
    std::ostringstream errors;

    int execute(const std::vector<std::string>& words) { return static_cast<int>(ctl::runCommandLine(words, output, errors)); }
};

TEST(CommandLine, HelpNamesEveryCommandAndTheExitCodes)
{
    LONGS_EQUAL(0, execute({ "--help" }));
    for (const auto& command : ctl::listCommands())
        STRCMP_CONTAINS(std::string(command.name).c_str(), output.str().c_str());
    STRCMP_CONTAINS("Exit codes", output.str().c_str());
    LONGS_EQUAL(0, execute({ "table", "set", "--help" }));
    STRCMP_CONTAINS("max_stale=5s", output.str().c_str());
}

TEST(CommandLine, AMistypedCommandIsCorrected)
{
    LONGS_EQUAL(2, execute({ "table", "aply", "file.csv" }));
    STRCMP_CONTAINS("did you mean 'table apply'?", errors.str().c_str());
}

TEST(CommandLine, AWrongDaemonAddressIsNamed)
{
    LONGS_EQUAL(2, execute({ "status", "--daemon", "vm-1:9187" }));
    STRCMP_CONTAINS("'vm-1:9187' is not the address of a daemon", errors.str().c_str());
}

TEST(CommandLine, AnUnreachableDaemonIsToldClearly)
{
    LONGS_EQUAL(4, execute({ "status", "--daemon", "127.0.0.1:1" }));
    STRCMP_EQUAL("amaranthctl: no daemon can be reached at 127.0.0.1:1; is this the address `listen.admin` of its settings, and is it running?\n", errors.str().c_str());
}

TEST(CommandLine, AWrongFileIsRefusedBeforeAnythingIsSent)
{
    const auto file = (std::filesystem::temp_directory_path() / "amaranthhall-wrong-table.csv").string();
    std::ofstream(file) << "kind,name,database,max_stale\nservice,coach-ledger,ledger,5\n";
    LONGS_EQUAL(1, execute({ "table", "apply", file, "--expect-version", "1", "--daemon", "127.0.0.1:1" }));
    STRCMP_CONTAINS("line 2: service coach-ledger: max_stale: '5' is not a duration", errors.str().c_str());
}

TEST(CommandLine, ColumnsAreAligned)
{
    STRCMP_EQUAL("vm     zone\nvm-10  ba\n", ctl::layOut({ { "vm", "zone" }, { "vm-10", "ba" } }).c_str());
}

TEST(CommandLine, DifferencesTellWhoBelievesWhat)
{
    std::vector<ctl::Belief> beliefs;
    ctl::addBelief(beliefs, "table version", "7", "vm-1");
    ctl::addBelief(beliefs, "table version", "8", "vm-2");
    ctl::addBelief(beliefs, "table version", "7", "vm-3");
    ctl::addBelief(beliefs, "term of s/1", "2", "vm-1");
    const auto lines = ctl::explainDifferences(beliefs);
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("table version: 7 on vm-1, vm-3; 8 on vm-2", lines.front().c_str());
}

#pragma once

#include "amaranthhall/ctl/daemon_client.hpp"
#include "amaranthhall/ctl/exit_code.hpp"

#include <boost/program_options.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace amaranthhall::ctl {

/// @brief What a command gets.
struct Invocation {
    std::vector<std::string> words; ///< After the command's own words.
    boost::program_options::variables_map options;
    DaemonClient daemons { {} };
    bool json { false };
    std::ostream& output;
    std::ostream& errors;
};

/// @brief One command.
struct Command {
    std::string_view name; ///< One or two words, such as `table show`.
    std::string_view arguments;
    std::string_view summary;
    std::string_view help; ///< Paragraphs with an example.
    bool needsDaemon { true };
    ExitCode (*run)(Invocation& invocation) { nullptr };
};

/// @brief Lists all commands in the order in which help shows them.
[[nodiscard]] const std::vector<Command>& listCommands();

/// @brief Runs the command line without the program's name.
[[nodiscard]] ExitCode runCommandLine(const std::vector<std::string>& words, std::ostream& output, std::ostream& errors);

/// @brief Writes the script that completes command lines in bash.
[[nodiscard]] std::string bashCompletion();

}

#pragma once

#include "amaranthhall/kernel/settings_error.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <utility>

namespace amaranthhall::program {

/// @brief Texts of a program that runs by a settings file.
struct SettingsProgram {
    std::string name;
    std::string purpose;
};

/**
 * @brief Reads the command line and the settings file, and runs a daemon by them.
 * @param load Reads a file; gives the settings or what is wrong.
 * @param run Runs the daemon with the file's name and its settings; gives the exit code.
 * @return The exit code: 2 for a wrong command line or file.
 */
template <typename Load, typename Run>
[[nodiscard]] int runSettingsProgram(const SettingsProgram& program, int count, char** arguments, Load load, Run run)
{
    namespace options = boost::program_options;
    // The HTTP libraries write without MSG_NOSIGNAL; a connection that its other end has closed is an error, not an end.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        options::options_description description(program.name + ": " + program.purpose);
        description.add_options()("help,h", "shows this text")("settings,s", options::value<std::string>(), "settings file (YAML)")("check-config", "checks the settings and ends");
        options::variables_map values;
        options::store(options::parse_command_line(count, arguments, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        if (values.count("settings") == 0)
            throw options::error("--settings is required");
        const auto file = values["settings"].as<std::string>();
        const auto settings = load(file);
        if (!settings) {
            std::cerr << kernel::formatError(file, settings.error()) << '\n';
            return 2;
        }
        if (values.count("check-config") != 0) {
            std::cout << file << ": correct\n";
            return 0;
        }
        telemetry::openLog(telemetry::parseLogLevel(settings->logLevel));
        return run(file, *settings);
    } catch (const std::exception& exception) {
        std::cerr << program.name << ": " << exception.what() << '\n';
    }
    return 2;
}

}

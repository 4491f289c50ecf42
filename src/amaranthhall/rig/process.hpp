#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace amaranthhall::rig {

/// @brief A process that the rig has started; it is killed when its owner goes.
class Process {
public:
    /**
     * @brief Starts a program whose standard output is JSON lines.
     * @param program Path of the program.
     * @param logFile File that keeps its output.
     */
    Process(const std::string& program, const std::vector<std::string>& arguments, std::string logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    [[nodiscard]] pid_t id() const noexcept { return this->processId; }

    [[nodiscard]] bool isRunning();

    /// @brief Sends a signal to this process.
    void signal(int number) const;

    /// @brief Kills the process and waits until it has gone.
    void kill();

    /// @brief Waits for the process to end by itself; gives its exit code, or nothing at the timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);

    /// @brief Waits for a log line of an event; throws std::runtime_error at the timeout or if the process ends.
    nlohmann::json awaitEvent(std::string_view event, std::chrono::milliseconds timeout);

    /// @brief Gives all log lines of an event so far.
    [[nodiscard]] std::vector<nlohmann::json> events(std::string_view event) const;

    [[nodiscard]] const std::string& log() const noexcept { return this->logFile; }

private:
    pid_t processId { -1 };
    std::string logFile;
    std::optional<int> exitCode;
};

}

#include "amaranthhall/rig/process.hpp"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace amaranthhall::rig {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pollInterval = 5ms;

    /// Processes that still have an owner; an exception that nobody catches destroys no owner.
    std::set<pid_t>& ownedProcesses()
    {
        static std::set<pid_t> processes;
        return processes;
    }

    void killOwnedProcesses()
    {
        for (const auto process : ownedProcesses())
            ::kill(process, SIGKILL);
    }

    [[noreturn]] void endWithProcesses()
    {
        killOwnedProcesses();
        std::abort();
    }

    void own(pid_t process)
    {
        ownedProcesses().insert(process);
        std::set_terminate(endWithProcesses);
    }

    pid_t spawnProgram(const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
    {
        std::vector<std::string> words { program };
        words.insert(words.end(), arguments.begin(), arguments.end());
        std::vector<char*> raw;
        for (auto& word : words)
            raw.push_back(word.data());
        raw.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        pid_t started = -1;
        const auto status = posix_spawn(&started, program.c_str(), &actions, nullptr, raw.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (status != 0)
            throw std::runtime_error("cannot start " + program);
        return started;
    }

}

Process::Process(const std::string& program, const std::vector<std::string>& arguments, std::string usedLogFile)
    : processId(spawnProgram(program, arguments, usedLogFile))
    , logFile(std::move(usedLogFile))
{
    own(this->processId);
}

Process::~Process()
{
    this->kill();
    ownedProcesses().erase(this->processId);
}

bool Process::isRunning()
{
    return !this->wait(0ms).has_value();
}

void Process::signal(int number) const
{
    if (!this->exitCode)
        ::kill(this->processId, number);
}

void Process::kill()
{
    if (this->exitCode)
        return;
    this->signal(SIGKILL);
    int status = 0;
    waitpid(this->processId, &status, 0);
    this->exitCode = status;
}

std::optional<int> Process::wait(std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!this->exitCode) {
        int status = 0;
        if (waitpid(this->processId, &status, WNOHANG) == this->processId) {
            this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= until)
            return std::nullopt;
        std::this_thread::sleep_for(pollInterval);
    }
    return this->exitCode;
}

nlohmann::json Process::awaitEvent(std::string_view event, std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (true) {
        const bool wasRunning = this->isRunning();
        if (const auto found = this->events(event); !found.empty())
            return found.front();
        if (!wasRunning)
            throw std::runtime_error("the process ended before " + std::string(event) + "; see " + this->logFile);
        if (std::chrono::steady_clock::now() >= until)
            throw std::runtime_error("no " + std::string(event) + " in time; see " + this->logFile);
        std::this_thread::sleep_for(pollInterval);
    }
}

std::vector<nlohmann::json> Process::events(std::string_view event) const
{
    std::vector<nlohmann::json> found;
    std::ifstream stream(this->logFile);
    std::string line;
    while (std::getline(stream, line)) {
        auto json = nlohmann::json::parse(line, nullptr, false);
        if (json.is_object() && json.value("event", "") == event)
            found.push_back(std::move(json));
    }
    return found;
}

}

#pragma once

// Starts gateways as the deploy file says, each as a process with an address of its own on the loopback network.

#include "http_server.hpp"
#include "record.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// A folder for settings and logs that is removed in the end.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(name.data()))
            throw std::runtime_error("no temporary folder");
        this->path = name;
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(this->path, ignored);
    }

    std::filesystem::path path;
};

struct GatewayOptions {
    std::string vm;
    std::string zone;
    std::string host;
    int port { 0 }; ///< First of five.
    std::vector<std::string> seeds;
    std::string store;
    std::string orders;
};

class Gateway {
public:
    Gateway(Record& usedRecord, const TemporaryFolder& folder, GatewayOptions usedOptions)
        : record(usedRecord)
        , options(std::move(usedOptions))
        , settings((folder.path / (this->options.vm + ".yaml")).string())
        , log((folder.path / (this->options.vm + ".log")).string())
    {
        const auto address = [this](int offset) { return "\"" + this->endpoint(offset).text() + "\""; };
        std::ofstream file(this->settings);
        file << "vm:\n  id: \"" << this->options.vm << "\"\n  zone: \"" << this->options.zone << "\"\n  cores: 0.17\nlisten:\n  callers: " << address(0) << "\n  ready: " << address(1) << "\n  peers: " << address(2)
             << "\n  relay: " << address(3) << "\n  metrics: " << address(4) << "\nseeds: [";
        for (std::size_t i = 0; i < this->options.seeds.size(); ++i)
            file << (i > 0 ? "," : "") << "\"" << this->options.seeds[i] << "\"";
        file << "]\nplatform:\n  store: \"" << this->options.store << "\"\n  orders: \"" << this->options.orders << "\"\ndrain:\n  daemon: \"6s\"\n  upstream: \"7000ms\"\n";
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway() { this->kill(); }

    [[nodiscard]] Endpoint endpoint(int offset) const { return { .host = this->options.host, .port = this->options.port + offset }; }
    [[nodiscard]] Endpoint callers() const { return this->endpoint(0); }
    [[nodiscard]] const std::string& vm() const { return this->options.vm; }
    [[nodiscard]] pid_t pid() const { return this->process; }

    /// Must be called by the main thread, as the process ends with the thread that started it.
    void start()
    {
        this->record.say(this->options.vm + " is started");
        this->process = fork();
        if (this->process != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl("target/bin/amaranthhall-gateway", "target/bin/amaranthhall-gateway", "--settings", this->settings.c_str(), nullptr);
        _exit(127);
    }

    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }

    /// Returns how the process ended, once it has.
    std::optional<int> ended()
    {
        int status = 0;
        if (this->process <= 0 || waitpid(this->process, &status, WNOHANG) != this->process)
            return std::nullopt;
        this->process = -1;
        return status;
    }

    void kill()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = -1;
    }

    [[nodiscard]] bool isReady() const { return httpStatus(this->endpoint(1), "/v1/ready", Milliseconds(500)) == 200; }

private:
    Record& record;
    GatewayOptions options;
    std::string settings;
    std::string log;
    pid_t process { -1 };
};

/// Returns a port such that it and the next ones are free on an address.
inline int findFreePorts(const std::string& host, int count)
{
    for (int base = 21000 + static_cast<int>(getpid()) % 200 * 50; base < 60000; base += count) {
        bool isFree = true;
        for (int i = 0; i < count && isFree; ++i) {
            try {
                Endpoint endpoint { .host = host, .port = base + i };
                listenOn(endpoint);
            } catch (const std::runtime_error&) {
                isFree = false;
            }
        }
        if (isFree)
            return base;
    }
    throw std::runtime_error("no free ports");
}

/// Waits until all gateways are ready.
inline bool waitUntilReady(const std::vector<std::unique_ptr<Gateway>>& gateways, Milliseconds limit)
{
    const auto deadline = Clock::now() + limit;
    for (const auto& gateway : gateways) {
        while (!gateway->isReady()) {
            if (Clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(Milliseconds(100));
        }
    }
    return true;
}

}

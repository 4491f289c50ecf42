#pragma once

#include "loop.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// @brief Values of a settings template by name; a list has several, what is missing has none.
using Fields = std::map<std::string, std::vector<std::string>>;

/// @brief Fills in a template as DEPLOY.md describes: values, sections, separators.
inline std::string render(std::string text, const Fields& fields, const std::string& current = {}, bool isLast = true)
{
    std::string out;
    for (;;) {
        const auto begin = text.find("{{");
        if (begin == std::string::npos)
            return out + text;
        out += text.substr(0, begin);
        const auto end = text.find("}}", begin);
        const auto name = text.substr(begin + 2, end - begin - 2);
        text.erase(0, end + 2);
        const auto valuesOf = [&](const std::string& wanted) { return fields.contains(wanted) ? fields.at(wanted) : std::vector<std::string>(); };
        if (name == ",")
            out += isLast ? "" : ",";
        else if (name == ".")
            out += current;
        else if (name.starts_with("#")) {
            const auto section = name.substr(1);
            const auto close = "{{/" + section + "}}";
            const auto length = text.find(close);
            const auto body = text.substr(0, length);
            text.erase(0, length + close.size());
            const auto values = valuesOf(section);
            for (std::size_t i = 0; i < values.size(); ++i)
                out += render(body, fields, values[i], i + 1 == values.size());
        } else if (const auto values = valuesOf(name); !values.empty())
            out += values.front();
    }
}

/// @brief A gateway process with settings made from the template of the deploy file.
class Gateway {
public:
    struct Options {
        std::string vm;
        std::string zone;
        std::string host; ///< A loopback address of its own, as ports are the same on all VMs.
        std::uint16_t firstPort { 0 }; ///< Of five.
        std::vector<std::string> seedHosts;
        std::uint16_t storePort { 0 };
        std::uint16_t cloudPort { 0 };
        std::string folder; ///< Temporary folder for settings and output.
    };

    explicit Gateway(Options usedOptions)
        : options(std::move(usedOptions))
    {
        std::ofstream(this->settingsFile()) << this->settings();
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    ~Gateway() { this->kill(); }

    void start()
    {
        this->process = fork();
        if (this->process != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the process ends with the case, however that ends
        const auto output = this->options.folder + "/" + this->options.vm + ".log";
        const int descriptor = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(descriptor, STDOUT_FILENO);
        dup2(descriptor, STDERR_FILENO);
        const auto file = this->settingsFile();
        execl("target/bin/amaranthhall-gateway", "amaranthhall-gateway", "--settings", file.c_str(), nullptr);
        _exit(127);
    }

    void signal(int number) const
    {
        if (this->process > 0)
            ::kill(this->process, number);
    }

    void kill()
    {
        if (this->process <= 0)
            return;
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
        waitpid(std::exchange(this->process, -1), nullptr, 0);
    }

    /// @brief Returns whether the process runs; collects it if it has ended.
    [[nodiscard]] bool isRunning()
    {
        if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process)
            this->process = -1;
        return this->process > 0;
    }

    /// @brief Asks the readiness probe, as the platform does.
    [[nodiscard]] bool isReady() const
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval limit { .tv_sec = 0, .tv_usec = 200'000 };
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        auto address = socketAddress(this->options.host, this->portOf(1));
        std::string answer(64, '\0');
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
            constexpr std::string_view request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            static_cast<void>(!send(descriptor, request.data(), request.size(), MSG_NOSIGNAL));
            const auto count = recv(descriptor, answer.data(), answer.size(), 0);
            answer.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        ::close(descriptor);
        return answer.find(" 200") != std::string::npos;
    }

    [[nodiscard]] const std::string& vm() const { return this->options.vm; }
    [[nodiscard]] const std::string& host() const { return this->options.host; }
    [[nodiscard]] std::uint16_t callerPort() const { return this->portOf(0); }
    [[nodiscard]] pid_t pid() const { return this->process; }

private:
    [[nodiscard]] std::string settingsFile() const { return this->options.folder + "/" + this->options.vm + ".yaml"; }
    [[nodiscard]] std::uint16_t portOf(unsigned index) const { return static_cast<std::uint16_t>(this->options.firstPort + index); }

    [[nodiscard]] std::string at(const std::string& host, unsigned index) const { return host + ":" + std::to_string(this->portOf(index)); }

    /// Fills in deploy/settings.yaml.in for a small deployment.
    [[nodiscard]] std::string settings() const
    {
        std::vector<std::string> seeds;
        for (const auto& host : this->options.seedHosts)
            seeds.push_back(this->at(host, 2));
        const Fields fields {
            { "node", { this->options.vm } },
            { "zone", { this->options.zone } },
            { "ip", { this->options.host } },
            { "limits.cpu_share", { "0.17" } },
            { "limits.memory_mb", { "182" } },
            { "limits.max_fds", { "3010" } },
            { "listen.front", { this->at(this->options.host, 0) } },
            { "listen.ready", { this->at(this->options.host, 1) } },
            { "listen.control", { this->at(this->options.host, 2) } },
            { "port_range.0", { std::to_string(this->portOf(3)) } },
            { "port_range.1", { std::to_string(this->portOf(4)) } },
            { "seeds", seeds },
            { "platform.address", { "127.0.0.1:" + std::to_string(this->options.storePort) } },
            { "cloud.address", { "127.0.0.1:" + std::to_string(this->options.cloudPort) } },
            { "bounds.grace_s", { "6" } },
            { "bounds.drain_ms", { "7000" } },
        };
        std::ifstream file("deploy/settings.yaml.in");
        std::ostringstream text;
        text << file.rdbuf();
        return render(text.str(), fields);
    }

    Options options;
    pid_t process { -1 };
};

/// @brief Returns the first of `count` consecutive ports that are free on all the given addresses.
inline std::uint16_t findPorts(const std::vector<std::string>& hosts, unsigned count)
{
    const auto isFree = [&](const std::string& host, std::uint16_t port, int type) {
        const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        auto address = socketAddress(host, port);
        const bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        return isBound;
    };
    for (unsigned first = 20'000 + static_cast<unsigned>(getpid()) % 2'000 * count; first < 32'000; first += count) {
        bool isUsable = true;
        for (const auto& host : hosts) {
            for (unsigned i = 0; i < count && isUsable; ++i)
                isUsable = isFree(host, static_cast<std::uint16_t>(first + i), SOCK_STREAM) && isFree(host, static_cast<std::uint16_t>(first + i), SOCK_DGRAM);
        }
        if (isUsable)
            return static_cast<std::uint16_t>(first);
    }
    throw std::runtime_error("no free ports");
}

}

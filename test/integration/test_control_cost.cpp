#include "integration/test_cluster.hpp"

#include "amaranthhall/rig/http_call.hpp"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr auto settleTimePerDaemon = 1s; // each daemon's arrival is passed on for a while
constexpr auto measuredTime = 10s;

/// What one daemon has used so far, or the difference of two of these.
struct Usage {
    double cpuSeconds { 0 };
    double bytes { 0 };
};

double readCpu(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    constexpr int userTimeField = 11;
    for (int i = 0; i < userTimeField; ++i)
        fields >> field;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double readAnonymousMegabytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("RssAnon:"))
            return std::stod(line.substr(8)) / 1024;
    }
    return 0;
}

double readBytes(const rig::DaemonNode& daemon)
{
    const auto answer = rig::callHttp(daemon.adminPort, { .path = "/metrics" });
    double bytes = 0;
    std::istringstream lines(answer ? answer->body : "");
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("amaranthhall_peer_bytes_total{"))
            bytes += std::stod(line.substr(line.rfind(' ')));
    }
    return bytes;
}

Usage measure(rig::Cluster& cluster)
{
    Usage usage;
    for (const auto& daemon : cluster.daemons()) {
        usage.cpuSeconds += readCpu(daemon.process->id());
        usage.bytes += readBytes(daemon);
    }
    return usage;
}

std::size_t chooseDaemons()
{
    const auto* text = std::getenv("AMARANTHHALL_CONTROL_DAEMONS");
    return text ? std::stoul(text) : 15;
}

}

TEST_GROUP(ControlCost) {};

TEST(ControlCost, StaysWithinTheBudgetOfADaemon)
{
    auto options = integration::makeOptions("control-cost");
    options.daemons = chooseDaemons();
    rig::Cluster cluster(options);
    std::this_thread::sleep_for(settleTimePerDaemon * options.daemons);
    const auto before = measure(cluster);
    std::this_thread::sleep_for(measuredTime);
    const auto after = measure(cluster);
    const auto perDaemonAndSecond = 1 / static_cast<double>(options.daemons) / std::chrono::duration<double>(measuredTime).count();
    const auto kilobytes = (after.bytes - before.bytes) * perDaemonAndSecond / 1000;
    const auto corePercent = (after.cpuSeconds - before.cpuSeconds) * perDaemonAndSecond * 100;
    const auto megabytes = readAnonymousMegabytes(cluster.daemons().front().process->id());
    std::cout << "\ncontrol: daemons=" << options.daemons << " kB/s=" << kilobytes << " core%=" << corePercent << " MB=" << megabytes << '\n';
    CHECK(kilobytes <= 10);
    CHECK(megabytes <= 32);
}

#pragma once

#include "client_crowd.hpp"

#include "amaranthhall/rig/process.hpp"
#include "platform/standin/fleet_store.hpp"
#include "platform/standin/line_group.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::integration {

/// @brief Gateways as processes with a stand-in store and one stand-in service, so that requests are answered.
class ServedFleet {
public:
    struct Options {
        std::string name; ///< Of the folder for settings and logs.
        std::size_t daemons { 1 }; ///< With three, two are homes of the service and one relays.
        std::size_t memory { 32 }; ///< Of each VM, in MB.
        std::size_t descriptors { 512 }; ///< Limit of open descriptors of each process.
        std::chrono::milliseconds work { 2 }; ///< Of each statement at an upstream.
    };

    /// @brief Endpoints of a daemon.
    enum class Port : std::uint8_t {
        Callers,
        Ready,
        Peers,
        Relay,
        Metrics,
    };

    /// @brief Starts the processes and runs until each answers a request; throws std::runtime_error if one does not.
    explicit ServedFleet(const Options& options);
    ~ServedFleet();

    [[nodiscard]] kernel::Loop& events() noexcept { return this->loop; }

    [[nodiscard]] kernel::Address address(std::size_t daemon, Port port) const;

    /// @brief Returns the daemon that relays its callers' statements; the only one if there is one.
    [[nodiscard]] std::size_t relaying() const;

    /// @brief Runs the loop.
    void runFor(Duration span);

    /// @brief Runs the loop until the crowds neither send nor receive any more, for some seconds at most.
    void settle(const std::vector<const ClientCrowd*>& crowds);

    /// @brief Returns whether a request in a session of its own is answered, in one of repeated attempts.
    [[nodiscard]] bool answersOrdinaryRequest(std::size_t daemon);

    /// @brief Returns whether an HTTP endpoint answers, in one of repeated attempts.
    [[nodiscard]] bool answersHttp(std::size_t daemon, Port port, std::string_view path);

    /// @brief Closes all connections of the upstreams, which then accept new ones.
    void restartUpstreams();

    [[nodiscard]] std::size_t size() const noexcept { return this->processes.size(); }
    [[nodiscard]] bool isRunning(std::size_t daemon) { return this->processes[daemon]->isRunning(); }

    /// @brief Returns the largest resident memory that a process has had, in bytes.
    [[nodiscard]] std::uint64_t peakMemory(std::size_t daemon) const;

    /// @brief Returns the number of open descriptors of a process.
    [[nodiscard]] std::size_t openDescriptors(std::size_t daemon) const;

private:
    void registerUpstream(std::size_t index);
    void writeConfiguration();
    void startDaemon(std::size_t index);

    Options options;
    std::string folder;
    kernel::Loop loop;
    fleet::standin::LineGroup group;
    fleet::standin::FleetStore store;
    std::vector<std::unique_ptr<rig::Process>> processes;
    std::uint64_t beats { 0 };
};

}

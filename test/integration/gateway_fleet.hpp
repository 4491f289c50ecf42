#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/rig/process.hpp"
#include "amaranthhall/standin/fault_proxy.hpp"
#include "platform/standin/fleet_store.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::integration {

/// @brief Gateways as processes without upstreams, each with a proxied way of its own to a stand-in of the store.
class GatewayFleet {
public:
    struct Options {
        std::string name; ///< Of the folder for settings and logs.
        std::size_t daemons { 6 };
        std::vector<std::string> programs; ///< Path of each daemon's program; the one beside this program if empty.
    };

    explicit GatewayFleet(const Options& options);

    /// @brief Starts or restarts a daemon, with another program if one is given.
    void start(std::size_t daemon, const std::string& program = {});

    /// @brief Runs the loop, and with it store and proxy.
    void runFor(Duration span);

    /// @brief Writes a configuration with a route for each database.
    void writeConfiguration(std::uint64_t version, const std::vector<std::string>& databases = {});

    /// @brief Restores the store from a copy of some time ago; operators write again later.
    void restoreStore(Duration age, Duration rewriteAfter) { this->store.restoreCopy(age, rewriteAfter); }

    /// @brief Writes bytes as the registration of an upstream.
    void writeUpstream(const std::string& id, const std::string& value);

    /// @brief Refuses a daemon's connections to the store.
    void refuseStore(std::size_t daemon);

    /// @brief Lets a daemon's connections to the store go silent.
    void silenceStore(std::size_t daemon);

    /// @brief Returns the daemons that follow the store's feeds by their own logs.
    [[nodiscard]] std::vector<std::size_t> followers() const;

    /// @brief Returns whether a daemon has applied a configuration.
    [[nodiscard]] bool hasApplied(std::size_t daemon, std::uint64_t version) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->daemons.size(); }
    [[nodiscard]] bool isRunning(std::size_t daemon) { return this->daemons[daemon].process->isRunning(); }
    [[nodiscard]] const rig::Process& process(std::size_t daemon) const { return *this->daemons[daemon].process; }

    /// @brief Path of the gateway of this build.
    [[nodiscard]] static std::string ownProgram();

    /// @brief Programs of a fleet in which every second daemon is of another build, if AMARANTHHALL_OTHER_GATEWAY names one; else all are of this build.
    [[nodiscard]] static std::vector<std::string> mixedPrograms(std::size_t daemons);

private:
    struct Daemon {
        std::string vm;
        std::string settings;
        std::string program;
        std::unique_ptr<rig::Process> process;
        int starts { 0 };
    };

    void addDaemon(std::size_t index, const std::string& program);

    std::string folder;
    kernel::Loop loop;
    fleet::standin::FleetStore store;
    standin::FaultProxy proxy;
    std::vector<Daemon> daemons;
};

}

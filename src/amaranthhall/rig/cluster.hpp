#pragma once

#include "amaranthhall/rig/process.hpp"
#include "amaranthhall/table/rows.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::rig {

/// @brief What a cluster consists of.
struct ClusterOptions {
    std::string binaries; ///< Folder of the programs.
    std::string workFolder; ///< Folder for settings and logs; made if it does not exist.
    std::string service { "coach-ledger" };
    std::vector<std::string> zones { "lautoka", "nadi", "ba" };
    std::size_t instances { 1 };
    std::size_t daemons { 1 };
    std::chrono::milliseconds connectDelay { 0 };
    std::uint32_t connectionLimit { 30 };
};

/// @brief One started upstream.
struct UpstreamNode {
    table::UpstreamRow row;
    std::unique_ptr<Process> process;
};

/// @brief One started daemon.
struct DaemonNode {
    std::string vm;
    std::string zone;
    std::uint16_t callerPort { 0 };
    std::uint16_t peerPort { 0 };
    std::uint16_t adminPort { 0 };
    std::unique_ptr<Process> process;
};

/// @brief Daemons and stand-ins as processes on loopback, each on a free port.
class Cluster {
public:
    explicit Cluster(ClusterOptions options);

    [[nodiscard]] std::vector<UpstreamNode>& upstreams() noexcept { return this->upstreamNodes; }
    [[nodiscard]] std::vector<DaemonNode>& daemons() noexcept { return this->daemonNodes; }

    /// @brief Gives the port of the stand-in platform.
    [[nodiscard]] std::uint16_t platformPort() const noexcept { return this->platformNodePort; }

    /// @brief Starts one more daemon, in the zone of its turn, and puts it on the platform's list of VMs.
    DaemonNode& addDaemon();

    /// @brief Waits until all running daemons are ready; throws std::runtime_error after 20 s.
    void awaitReady();

    /// @brief Sets faults of the stand-in platform, such as `{"down": true}`.
    void setPlatformFaults(const nlohmann::json& faults) const;

    /// @brief Gives the table that was applied at the start.
    [[nodiscard]] const table::TableImage& firstTable() const noexcept { return this->table; }

private:
    void startPlatform();
    void startGroup(std::size_t instance);
    void applyTable();
    [[nodiscard]] std::string writeSettings(const DaemonNode& node) const;

    ClusterOptions options;
    table::TableImage table;
    std::unique_ptr<Process> platform;
    std::uint16_t platformNodePort { 0 };
    std::vector<UpstreamNode> upstreamNodes;
    std::vector<DaemonNode> daemonNodes;
};

}

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
    bool traces { false }; ///< Each daemon writes its spans to traceFile().
    bool faultProxy { false }; ///< Puts a fault proxy before each upstream and into each replica feed.
    std::uint64_t seed { 1 }; ///< Of the fault proxy's jitter.
};

/// @brief One started upstream.
struct UpstreamNode {
    table::UpstreamRow row; ///< As the table has it; with a fault proxy, the address is the proxy's.
    std::uint16_t realPort { 0 };
    std::unique_ptr<Process> process;
    bool isFrozen { false };
};

/// @brief One started daemon.
struct DaemonNode {
    std::string vm;
    std::string zone;
    std::uint16_t callerPort { 0 };
    std::uint16_t peerPort { 0 };
    std::uint16_t adminPort { 0 };
    std::unique_ptr<Process> process;
    bool isFrozen { false };
};

/// @brief Daemons and stand-ins as processes on loopback, each on a free port.
class Cluster {
public:
    explicit Cluster(ClusterOptions options);

    [[nodiscard]] std::vector<UpstreamNode>& upstreams() noexcept { return this->upstreamNodes; }
    [[nodiscard]] std::vector<DaemonNode>& daemons() noexcept { return this->daemonNodes; }

    [[nodiscard]] const ClusterOptions& settings() const noexcept { return this->options; }

    /// @brief Gives the file of a daemon's spans.
    [[nodiscard]] std::string traceFile(const DaemonNode& node) const;

    /// @brief Starts one more daemon, in the zone of its turn, and puts it on the platform's list of VMs.
    DaemonNode& addDaemon();

    /// @brief Waits until all running daemons are ready; throws std::runtime_error after 20 s.
    void awaitReady();

    /// @brief Sets faults of the stand-in platform, such as `{"down": true}`.
    void setPlatformFaults(const nlohmann::json& faults) const;

    /// @brief Gives the table that was applied at the start.
    [[nodiscard]] const table::TableImage& firstTable() const noexcept { return this->table; }

    /// @brief Finds the primary of the highest term by asking the upstreams themselves; throws std::runtime_error if there is none in time.
    [[nodiscard]] UpstreamNode& primaryOf(std::size_t instance);

    /// @brief Stops a process by SIGSTOP until resume().
    void freeze(UpstreamNode& node);
    void freeze(DaemonNode& node);
    void resume(UpstreamNode& node);
    void resume(DaemonNode& node);

    /// @brief Resumes all that is frozen.
    void resumeAll();

    /// @brief Holds back all bytes between an upstream and the others of its group.
    void cutReplication(const UpstreamNode& node) const;

    /// @brief Holds back all bytes between an upstream and every other daemon.
    void cutFromHalfTheDaemons(const UpstreamNode& node) const;

    /// @brief Ends all partitions; what was held back arrives.
    void healNetwork() const;

    /// @brief Lets the replicas of an instance receive and apply records late.
    void setLag(std::size_t instance, std::chrono::milliseconds feed, std::chrono::milliseconds apply);

    /// @brief Takes the platform's store down, or up again.
    void setStoreDown(bool isDown) const;

    /// @brief Takes a daemon's VM off the platform's list.
    void removeVm(const DaemonNode& node) const;

private:
    void startPlatform();
    void startFaultProxy();
    void applyTable();
    void startGroup(std::size_t instance);
    [[nodiscard]] UpstreamNode startUpstream(std::size_t instance, std::size_t index);
    void connectPeers(std::size_t first);
    [[nodiscard]] kernel::Address addRoute(const std::string& name, std::uint16_t port) const;
    void hold(const std::string& route, const std::string& match) const;
    [[nodiscard]] UpstreamNode* askForPrimary(std::size_t instance);
    [[nodiscard]] std::string writeSettings(const DaemonNode& node) const;

    ClusterOptions options;
    table::TableImage table;
    std::vector<UpstreamNode> upstreamNodes;
    std::vector<DaemonNode> daemonNodes;
    std::unique_ptr<Process> proxy;
    std::uint16_t proxyPort { 0 };
    std::unique_ptr<Process> platform;
    std::uint16_t platformPort { 0 };
};

}

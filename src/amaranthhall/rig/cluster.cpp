#include "amaranthhall/rig/cluster.hpp"

#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/http_call.hpp"
#include "amaranthhall/table/table_json.hpp"

#include <array>
#include <filesystem>
#include <fstream>
#include <thread>

namespace amaranthhall::rig {

namespace {

    using namespace std::chrono_literals;

    constexpr auto startTimeout = 20s;
    constexpr auto pollInterval = 20ms;
    constexpr std::array<const char*, 3> upstreamNames { "a", "b", "c" };

    std::uint16_t readPort(const nlohmann::json& line, const char* field)
    {
        return line.at(field).get<std::uint16_t>();
    }

}

Cluster::Cluster(ClusterOptions usedOptions)
    : options(std::move(usedOptions))
{
    std::filesystem::create_directories(this->options.workFolder);
    this->startPlatform();
    this->table.version = 1;
    this->table.services.push_back({ .name = this->options.service, .database = this->options.service });
    for (std::size_t i = 1; i <= this->options.instances; ++i)
        this->startGroup(i);
    for (std::size_t i = 0; i < this->options.daemons; ++i)
        this->addDaemon();
    if (this->options.daemons == 0)
        return;
    this->applyTable();
    this->awaitReady();
}

void Cluster::startPlatform()
{
    this->platform = std::make_unique<Process>(this->options.binaries + "/amaranthhall-standin", std::vector<std::string> { "platform" }, this->options.workFolder + "/platform.log");
    this->platformNodePort = readPort(this->platform->awaitEvent("standin.listening", startTimeout), "port");
}

void Cluster::setPlatformFaults(const nlohmann::json& faults) const
{
    postJson(this->platformNodePort, "/admin/faults", faults);
}

void Cluster::applyTable()
{
    const nlohmann::json edit { { "edit_id", "first" }, { "expect_version", 0 }, { "table", nlohmann::json::parse(table::encodeTable(this->table)) } };
    postJson(this->daemonNodes.front().adminPort, "/v1/table/edit", edit);
}

void Cluster::awaitReady()
{
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    for (const auto& node : this->daemonNodes) {
        while (node.process->isRunning()) {
            const auto answer = callHttp(node.adminPort, { .path = "/readyz" });
            if (answer && answer->status == 200)
                break;
            if (std::chrono::steady_clock::now() > deadline)
                throw std::runtime_error(node.vm + " is not ready: " + (answer ? answer->body : "no answer"));
            std::this_thread::sleep_for(pollInterval);
        }
    }
}

void Cluster::startGroup(std::size_t instance)
{
    const auto first = this->upstreamNodes.size();
    for (std::size_t i = 0; i < upstreamNames.size(); ++i) {
        const auto label = "upstream-" + std::to_string(instance) + "-" + upstreamNames[i];
        std::vector<std::string> arguments { "upstream", "--name", label, "--connect-delay", std::to_string(this->options.connectDelay.count()) + "ms" };
        if (i == 0)
            arguments.emplace_back("--primary");
        auto process = std::make_unique<Process>(this->options.binaries + "/amaranthhall-standin", arguments, this->options.workFolder + "/" + label + ".log");
        const auto port = readPort(process->awaitEvent("standin.listening", startTimeout), "port");
        table::UpstreamRow row {
            .id = { .group = { .service = this->options.service, .instance = std::to_string(instance) }, .name = upstreamNames[i] },
            .address = { .host = "127.0.0.1", .port = port },
            .zone = this->options.zones[i % this->options.zones.size()],
            .connectionLimit = this->options.connectionLimit,
        };
        this->table.upstreams.push_back(row);
        this->upstreamNodes.push_back({ .row = std::move(row), .process = std::move(process) });
    }
    for (auto i = first; i < this->upstreamNodes.size(); ++i) {
        std::string peers;
        for (auto other = first; other < this->upstreamNodes.size(); ++other) {
            if (other != i)
                peers += (peers.empty() ? "" : ",") + kernel::formatAddress(this->upstreamNodes[other].row.address);
        }
        Caller(this->upstreamNodes[i].row.address.port, "control").run("SELECT ok FROM standin_peers(" + peers + ")");
    }
}

DaemonNode& Cluster::addDaemon()
{
    DaemonNode node { .vm = "vm-" + std::to_string(this->daemonNodes.size() + 1), .zone = this->options.zones[this->daemonNodes.size() % this->options.zones.size()] };
    const auto settings = this->writeSettings(node);
    node.process = std::make_unique<Process>(this->options.binaries + "/amaranthhalld", std::vector<std::string> { "--settings", settings }, this->options.workFolder + "/" + node.vm + ".log");
    const auto listening = node.process->awaitEvent("daemon.listening", startTimeout);
    node.callerPort = readPort(listening, "caller_port");
    node.peerPort = readPort(listening, "peer_port");
    node.adminPort = readPort(listening, "admin_port");
    postJson(this->platformNodePort, "/admin/vms", { { "id", node.vm }, { "region", "viti-west" }, { "zone", node.zone }, { "peer", "127.0.0.1:" + std::to_string(node.peerPort) }, { "admin", "127.0.0.1:" + std::to_string(node.adminPort) } });
    this->daemonNodes.push_back(std::move(node));
    return this->daemonNodes.back();
}

std::string Cluster::writeSettings(const DaemonNode& node) const
{
    const auto file = this->options.workFolder + "/" + node.vm + ".yaml";
    std::ofstream stream(file);
    stream << "vm: { id: " << node.vm << ", region: viti-west, zone: " << node.zone << " }\n"
           << "listen: { caller: 127.0.0.1:0, peer: 127.0.0.1:0, admin: 127.0.0.1:0 }\n"
           << "platform: { address: 127.0.0.1:" << this->platformNodePort << " }\n"
           << "peers: { keys: [ 0123456789abcdef0123456789abcdef ] }\n"
           << "upstreams: { user: amaranthhall, tls: disable }\n"
           << "callers: { trust_loopback: true }\n";
    return file;
}

}

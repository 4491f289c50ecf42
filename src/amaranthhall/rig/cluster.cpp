#include "amaranthhall/rig/cluster.hpp"

#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/http_call.hpp"
#include "amaranthhall/standin/fault_rule.hpp"
#include "amaranthhall/table/table_json.hpp"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace amaranthhall::rig {

namespace {

    using namespace std::chrono_literals;

    constexpr auto startTimeout = 20s;
    constexpr auto pollInterval = 20ms;
    constexpr auto primaryTimeout = 20s;
    constexpr std::array<const char*, 3> upstreamNames { "a", "b", "c" };

    std::string daemonRoute(const group::UpstreamId& id)
    {
        return "daemons " + group::formatId(id);
    }

    std::string feedRoute(const group::UpstreamId& from, const group::UpstreamId& to)
    {
        return "feed " + group::formatId(from) + " " + to.name;
    }

    std::string vmName(std::size_t number)
    {
        return (number < 10 ? "vm-0" : "vm-") + std::to_string(number);
    }

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
    this->startFaultProxy();
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
    this->platformPort = readPort(this->platform->awaitEvent("standin.listening", startTimeout), "port");
}

void Cluster::setPlatformFaults(const nlohmann::json& faults) const
{
    postJson(this->platformPort, "/admin/faults", faults);
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

void Cluster::startFaultProxy()
{
    if (!this->options.faultProxy)
        return;
    this->proxy = std::make_unique<Process>(this->options.binaries + "/amaranthhall-standin", std::vector<std::string> { "fault-proxy", "--seed", std::to_string(this->options.seed) }, this->options.workFolder + "/fault-proxy.log");
    this->proxyPort = readPort(this->proxy->awaitEvent("standin.listening", startTimeout), "port");
}

UpstreamNode Cluster::startUpstream(std::size_t instance, std::size_t index)
{
    const std::string name(upstreamNames.at(index));
    const auto label = "upstream-" + std::to_string(instance) + "-" + name;
    std::vector<std::string> arguments { "upstream", "--name", label, "--connect-delay", std::to_string(this->options.connectDelay.count()) + "ms" };
    if (index == 0)
        arguments.emplace_back("--primary");
    auto process = std::make_unique<Process>(this->options.binaries + "/amaranthhall-standin", arguments, this->options.workFolder + "/" + label + ".log");
    const auto port = readPort(process->awaitEvent("standin.listening", startTimeout), "port");
    table::UpstreamRow row {
        .id = { .group = { .service = this->options.service, .instance = std::to_string(instance) }, .name = name },
        .zone = this->options.zones[index % this->options.zones.size()],
        .connectionLimit = this->options.connectionLimit,
    };
    row.address = this->addRoute(daemonRoute(row.id), port);
    return { .row = std::move(row), .realPort = port, .process = std::move(process) };
}

void Cluster::startGroup(std::size_t instance)
{
    const auto first = this->upstreamNodes.size();
    for (std::size_t i = 0; i < upstreamNames.size(); ++i) {
        this->upstreamNodes.push_back(this->startUpstream(instance, i));
        this->table.upstreams.push_back(this->upstreamNodes.back().row);
    }
    this->connectPeers(first);
}

void Cluster::connectPeers(std::size_t first)
{
    for (auto i = first; i < this->upstreamNodes.size(); ++i) {
        std::string peers;
        for (auto other = first; other < this->upstreamNodes.size(); ++other) {
            if (other == i)
                continue;
            const auto address = this->addRoute(feedRoute(this->upstreamNodes[i].row.id, this->upstreamNodes[other].row.id), this->upstreamNodes[other].realPort);
            peers += (peers.empty() ? "" : ",") + kernel::formatAddress(address);
        }
        Caller(this->upstreamNodes[i].realPort, "control").run("SELECT ok FROM standin_peers(" + peers + ")");
    }
}

kernel::Address Cluster::addRoute(const std::string& name, std::uint16_t port) const
{
    const kernel::Address target { .host = "127.0.0.1", .port = port };
    if (!this->proxy)
        return target;
    const auto answer = postJson(this->proxyPort, "/routes", { { "name", name }, { "target", kernel::formatAddress(target) } });
    return { .host = "127.0.0.1", .port = answer.at("port").get<std::uint16_t>() };
}

DaemonNode& Cluster::addDaemon()
{
    DaemonNode node { .vm = vmName(this->daemonNodes.size() + 1), .zone = this->options.zones[this->daemonNodes.size() % this->options.zones.size()] };
    const auto settings = this->writeSettings(node);
    node.process = std::make_unique<Process>(this->options.binaries + "/amaranthhalld", std::vector<std::string> { "--settings", settings }, this->options.workFolder + "/" + node.vm + ".log");
    const auto listening = node.process->awaitEvent("daemon.listening", startTimeout);
    node.callerPort = readPort(listening, "caller_port");
    node.peerPort = readPort(listening, "peer_port");
    node.adminPort = readPort(listening, "admin_port");
    postJson(this->platformPort, "/admin/vms", { { "id", node.vm }, { "region", "viti-west" }, { "zone", node.zone }, { "peer", "127.0.0.1:" + std::to_string(node.peerPort) }, { "admin", "127.0.0.1:" + std::to_string(node.adminPort) } });
    this->daemonNodes.push_back(std::move(node));
    return this->daemonNodes.back();
}

UpstreamNode& Cluster::primaryOf(std::size_t instance)
{
    const auto until = Clock::now() + primaryTimeout;
    while (Clock::now() < until) {
        if (auto* found = this->askForPrimary(instance))
            return *found;
        std::this_thread::sleep_for(50ms);
    }
    throw std::runtime_error("instance " + std::to_string(instance) + " has no primary");
}

UpstreamNode* Cluster::askForPrimary(std::size_t instance)
{
    UpstreamNode* best = nullptr;
    unsigned long long bestTerm = 0;
    for (auto& node : this->upstreamNodes) {
        if (node.row.id.group.instance != std::to_string(instance) || node.isFrozen || !node.process->isRunning())
            continue;
        const auto answer = Caller(node.realPort, "control").run("SELECT role, term FROM ah_status()");
        if (!answer.succeeded || answer.rows.empty())
            continue;
        const auto term = std::stoull(answer.rows[0].at(1));
        if (answer.rows[0].at(0) == "primary" && (!best || term > bestTerm)) {
            best = &node;
            bestTerm = term;
        }
    }
    return best;
}

void Cluster::freeze(UpstreamNode& node)
{
    node.isFrozen = true;
    node.process->signal(SIGSTOP);
}

void Cluster::freeze(DaemonNode& node)
{
    node.isFrozen = true;
    node.process->signal(SIGSTOP);
}

void Cluster::resume(UpstreamNode& node)
{
    node.process->signal(SIGCONT);
    node.isFrozen = false;
}

void Cluster::resume(DaemonNode& node)
{
    node.process->signal(SIGCONT);
    node.isFrozen = false;
}

void Cluster::resumeAll()
{
    for (auto& node : this->upstreamNodes)
        this->resume(node);
    for (auto& node : this->daemonNodes)
        this->resume(node);
}

void Cluster::hold(const std::string& route, const std::string& match) const
{
    const standin::DirectionFault held { .hold = true };
    postJson(this->proxyPort, "/rules", nlohmann::json::parse(standin::encodeRule({ .route = route, .match = match, .toTarget = held, .toSource = held })));
}

void Cluster::cutReplication(const UpstreamNode& node) const
{
    for (const auto& other : this->upstreamNodes) {
        if (other.row.id.group != node.row.id.group || other.row.id == node.row.id)
            continue;
        this->hold(feedRoute(node.row.id, other.row.id), "");
        this->hold(feedRoute(other.row.id, node.row.id), "");
    }
}

void Cluster::cutFromHalfTheDaemons(const UpstreamNode& node) const
{
    for (std::size_t i = 0; i < this->daemonNodes.size(); i += 2)
        this->hold(daemonRoute(node.row.id), this->daemonNodes[i].vm);
}

void Cluster::healNetwork() const
{
    if (this->proxy)
        static_cast<void>(callHttp(this->proxyPort, { .method = "DELETE", .path = "/rules" }));
}

void Cluster::setLag(std::size_t instance, std::chrono::milliseconds feed, std::chrono::milliseconds apply)
{
    for (auto& node : this->upstreamNodes) {
        if (node.row.id.group.instance == std::to_string(instance) && !node.isFrozen && node.process->isRunning())
            Caller(node.realPort, "control").run("SELECT ok FROM standin_lag(" + std::to_string(feed.count()) + ", " + std::to_string(apply.count()) + ")");
    }
}

void Cluster::setStoreDown(bool isDown) const
{
    if (this->platformPort != 0)
        postJson(this->platformPort, "/admin/faults", { { "down", isDown } });
}

void Cluster::removeVm(const DaemonNode& node) const
{
    if (this->platformPort != 0)
        static_cast<void>(callHttp(this->platformPort, { .method = "DELETE", .path = "/admin/vms", .query = "id=" + node.vm }));
}

std::string Cluster::traceFile(const DaemonNode& node) const
{
    return this->options.workFolder + "/" + node.vm + ".trace.jsonl";
}

std::string Cluster::writeSettings(const DaemonNode& node) const
{
    const auto file = this->options.workFolder + "/" + node.vm + ".yaml";
    std::ofstream stream(file);
    stream << "vm: { id: " << node.vm << ", region: viti-west, zone: " << node.zone << " }\n"
           << "listen: { caller: 127.0.0.1:0, peer: 127.0.0.1:0, admin: 127.0.0.1:0 }\n"
           << "platform: { address: 127.0.0.1:" << this->platformPort << " }\n"
           << "peers: { keys: [ 0123456789abcdef0123456789abcdef ] }\n"
           << "upstreams: { user: amaranthhall, tls: disable }\n"
           << "callers: { trust_loopback: true }\n"
           << (this->options.traces ? "traces: { file: " + this->traceFile(node) + " }\n" : "");
    return file;
}

}

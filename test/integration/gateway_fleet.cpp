#include "gateway_fleet.hpp"

#include "platform/platform_row_reader.hpp"
#include "platform/standin/fleet_rows.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace amaranthhall::integration {

namespace {

    constexpr int portBase = 41'000;
    constexpr int portSpan = 18'000;
    constexpr int portsOfAFleet = 10;

    /// Each daemon has an address of its own on the loopback network, so that all use the same ports.
    std::string hostOf(std::size_t daemon)
    {
        return "127.0.2." + std::to_string(daemon + 1);
    }

    std::string routeOf(std::size_t daemon)
    {
        return "store/" + std::to_string(daemon);
    }

}

std::string GatewayFleet::ownProgram()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "amaranthhall-gateway").string();
}

std::vector<std::string> GatewayFleet::mixedPrograms(std::size_t daemons)
{
    std::vector<std::string> programs(daemons, ownProgram());
    const auto* other = std::getenv("AMARANTHHALL_OTHER_GATEWAY");
    for (std::size_t i = 0; other && i < daemons; i += 2)
        programs[i] = other;
    return programs;
}

GatewayFleet::GatewayFleet(const Options& options)
    : folder((std::filesystem::temp_directory_path() / ("amaranthhall-fleet-" + options.name)).string())
    , store(this->loop, [](const auto&, const auto&) { return true; })
    , proxy(this->loop, { .listen = { .host = "127.0.0.1" } })
{
    std::filesystem::create_directories(this->folder);
    for (std::size_t i = 0; i < options.daemons; ++i)
        this->addDaemon(i, i < options.programs.size() ? options.programs[i] : ownProgram());
}

void GatewayFleet::addDaemon(std::size_t index, const std::string& program)
{
    const auto base = portBase + (static_cast<int>(getpid()) * portsOfAFleet) % portSpan;
    const auto host = hostOf(index);
    const auto endpoint = [&host, base](int offset) { return '"' + host + ":" + std::to_string(base + offset) + '"'; };
    const auto storePort = this->proxy.addRoute(routeOf(index), { .host = "127.0.0.1", .port = this->store.port() });
    Daemon daemon { .vm = "vm" + std::to_string(index), .settings = this->folder + "/vm" + std::to_string(index) + ".yaml", .program = program };
    std::ofstream(daemon.settings) << "vm: { id: \"" << daemon.vm << "\", zone: \"a\" }\nlisten: { callers: " << endpoint(0) << ", ready: " << endpoint(1) << ", peers: " << endpoint(2) << ", relay: " << endpoint(3)
                                   << ", metrics: " << endpoint(4) << " }\nseeds: [\"" << hostOf(0) << ":" << base + 2 << "\"]\nplatform: { store: \"127.0.0.1:" << storePort << "\", orders: \"127.0.0.1:" << this->store.port() << "\" }\n";
    this->daemons.push_back(std::move(daemon));
}

void GatewayFleet::start(std::size_t index, const std::string& program)
{
    auto& daemon = this->daemons[index];
    if (!program.empty())
        daemon.program = program;
    daemon.process.reset();
    daemon.process = std::make_unique<rig::Process>(daemon.program, std::vector<std::string> { "--settings", daemon.settings }, this->folder + "/" + daemon.vm + "." + std::to_string(++daemon.starts) + ".log");
}

void GatewayFleet::runFor(Duration span)
{
    const auto end = this->loop.after(span, [this] { this->loop.stop(); });
    this->loop.run();
}

void GatewayFleet::writeConfiguration(std::uint64_t version, const std::vector<std::string>& databases)
{
    catalog::Configuration configuration { .version = version };
    for (const auto& database : databases)
        configuration.routes[database] = { .database = database, .service = "svc" };
    configuration.services["svc"] = { .name = "svc", .maximumConnections = 60 };
    const fleet::PlatformRowReader rows;
    this->store.put(rows.configurationTable(), rows.configurationKey(), fleet::standin::encodeConfiguration(configuration));
}

void GatewayFleet::writeUpstream(const std::string& id, const std::string& value)
{
    this->store.put(fleet::PlatformRowReader().upstreamTable(), id, value);
}

void GatewayFleet::refuseStore(std::size_t daemon)
{
    this->proxy.addRule({ .route = routeOf(daemon), .cut = true });
}

void GatewayFleet::silenceStore(std::size_t daemon)
{
    this->proxy.addRule({ .route = routeOf(daemon), .toTarget = { .drop = true }, .toSource = { .drop = true } });
}

std::vector<std::size_t> GatewayFleet::followers() const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const auto& process = *this->daemons[i].process;
        if (process.events("store.following").size() > process.events("store.not_following").size())
            found.push_back(i);
    }
    return found;
}

bool GatewayFleet::hasApplied(std::size_t daemon, std::uint64_t version) const
{
    const auto applied = this->daemons[daemon].process->events("configuration.applied");
    return std::any_of(applied.begin(), applied.end(), [version](const auto& line) { return line.value("configuration", std::uint64_t { 0 }) >= version; });
}

}

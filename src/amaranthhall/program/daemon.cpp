#include "amaranthhall/admin/admin_server.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/membership/io/member_service.hpp"
#include "amaranthhall/peer/http_peer_network.hpp"
#include "amaranthhall/platform/http_platform.hpp"
#include "amaranthhall/session/caller_listener.hpp"
#include "amaranthhall/share/io/share_service.hpp"
#include "amaranthhall/table/io/table_service.hpp"
#include "amaranthhall/telemetry/log.hpp"
#include "amaranthhall/telemetry/metrics.hpp"
#include "amaranthhall/telemetry/tracer.hpp"
#include "amaranthhall/upstream/batched_confirmer.hpp"
#include "amaranthhall/upstream/group_monitor.hpp"
#include "amaranthhall/upstream/pooled_dispatcher.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <utility>

namespace {

namespace options = boost::program_options;
using namespace amaranthhall;

/// Reads the settings again and puts in force what can be without a restart.
void reloadSettings(const std::string& file, const kernel::Settings& running)
{
    const auto loaded = kernel::loadSettings(file);
    if (!loaded) {
        telemetry::logEvent(telemetry::LogLevel::Error, "settings.refused", { { "problem", kernel::formatError(file, loaded.error()) } });
        return;
    }
    telemetry::setLogLevel(telemetry::parseLogLevel(loaded->logLevel));
    std::string needsRestart;
    for (const auto key : kernel::findRestartKeys(running, *loaded))
        needsRestart += (needsRestart.empty() ? "" : ", ") + std::string(key);
    telemetry::logEvent(telemetry::LogLevel::Info, "settings.reloaded", { { "log_level", loaded->logLevel }, { "needs_restart", needsRestart } });
}

int runDaemon(const std::string& file, const kernel::Settings& settings)
{
    kernel::Loop loop;
    kernel::Registry registry;
    registry.add(std::make_unique<telemetry::Metrics>());
    registry.add(std::make_unique<telemetry::Tracer>(settings.traceFile));
    auto& admin = registry.add(std::make_unique<admin::AdminServer>(loop, registry, settings));
    registry.add(std::make_unique<platform::HttpPlatform>(loop, registry, settings.platform));
    auto& peers = registry.add(std::make_unique<peer::HttpPeerNetwork>(loop, registry, peer::PeerOptions { .vm = settings.vm.id, .listen = settings.listen.peer, .keys = settings.peerKeys }));
    registry.add(std::make_unique<membership::MemberService>(loop, registry, membership::MemberOptions { .vm = settings.vm, .admin = { .host = settings.listen.admin.host, .port = admin.port() } }));
    registry.add(std::make_unique<table::TableService>(loop, registry, settings.vm));
    auto& shares = registry.add(std::make_unique<share::ShareService>(loop, registry, share::ShareServiceOptions { .vm = settings.vm.id, .upstreams = settings.upstreams }));
    registry.add(std::make_unique<upstream::GroupMonitor>(loop, registry, settings));
    registry.add(std::make_unique<upstream::PooledDispatcher>(loop, registry, settings));
    registry.add(std::make_unique<upstream::BatchedConfirmer>(loop, registry, settings.vm.zone));
    auto& callers = registry.add(std::make_unique<session::CallerListener>(loop, registry, settings));
    admin.addReadinessCheck([&shares] { return shares.isReady() ? std::nullopt : std::optional<std::string>("no connection share yet"); });
    registry.start();
    telemetry::logEvent(telemetry::LogLevel::Info, "daemon.listening", { { "vm", settings.vm.id }, { "caller_port", callers.port() }, { "peer_port", peers.listenAddress().port }, { "admin_port", admin.port() } });
    bool isDraining = false;
    const auto terminate = loop.onSignal(SIGTERM, [&] {
        if (std::exchange(isDraining, true))
            callers.cutNow();
        else
            registry.drain([&loop] { loop.stop(); });
    });
    const auto reload = loop.onSignal(SIGHUP, [&] { reloadSettings(file, settings); });
    loop.run();
    registry.stop();
    return 0;
}

int runProgram(int count, char** arguments)
{
    options::options_description description("amaranthhalld: database proxy with session consistency");
    description.add_options()("help,h", "shows this text")("settings,s", options::value<std::string>(), "settings file (YAML)")("check-config", "checks the settings and ends");
    options::variables_map values;
    options::store(options::parse_command_line(count, arguments, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    if (values.count("settings") == 0)
        throw options::error("--settings is required");
    const auto file = values["settings"].as<std::string>();
    const auto settings = kernel::loadSettings(file);
    if (!settings) {
        std::cerr << kernel::formatError(file, settings.error()) << '\n';
        return 2;
    }
    if (values.count("check-config") != 0) {
        std::cout << file << ": correct\n";
        return 0;
    }
    telemetry::openLog(telemetry::parseLogLevel(settings->logLevel));
    return runDaemon(file, *settings);
}

}

int main(int count, char** arguments)
{
    try {
        return runProgram(count, arguments);
    } catch (const std::exception& exception) {
        std::cerr << "amaranthhalld: " << exception.what() << '\n';
    }
    return 2;
}

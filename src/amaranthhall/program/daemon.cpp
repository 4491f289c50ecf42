#include "amaranthhall/admin/admin_server.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/registry.hpp"
#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/membership/io/member_service.hpp"
#include "amaranthhall/peer/http_peer_network.hpp"
#include "amaranthhall/platform/http_platform.hpp"
#include "amaranthhall/program/settings_program.hpp"
#include "amaranthhall/session/caller_listener.hpp"
#include "amaranthhall/share/io/share_service.hpp"
#include "amaranthhall/table/io/table_service.hpp"
#include "amaranthhall/telemetry/log.hpp"
#include "amaranthhall/telemetry/metrics.hpp"
#include "amaranthhall/telemetry/tracer.hpp"
#include "amaranthhall/upstream/batched_confirmer.hpp"
#include "amaranthhall/upstream/group_monitor.hpp"
#include "amaranthhall/upstream/pooled_dispatcher.hpp"

#include <csignal>
#include <utility>

namespace {

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

int runLoaded(const std::string& file, const kernel::Settings& settings)
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

}

int main(int count, char** arguments)
{
    return program::runSettingsProgram({ .name = "amaranthhalld", .purpose = "database proxy with session consistency" }, count, arguments, kernel::loadSettings, runLoaded);
}

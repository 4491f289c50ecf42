#include "amaranthhall/gateway/gateway.hpp"
#include "amaranthhall/program/settings_program.hpp"
#include "amaranthhall/telemetry/log.hpp"
#include "platform/line_link.hpp"
#include "platform/line_server.hpp"
#include "platform/platform_promoter.hpp"
#include "platform/platform_row_reader.hpp"
#include "platform/readiness_endpoint.hpp"
#include "platform/store_client.hpp"

#include <csignal>
#include <malloc.h>

namespace {

using namespace amaranthhall;

/// Returns large buffers to the system as soon as they are freed; by default, the allocator keeps up to 32 MiB for reuse.
void limitAllocator()
{
    constexpr int largeBuffer = 128 << 10; // bytes
    constexpr int unusedTop = 1 << 20; // bytes; less would be given back and taken again as the load varies
    mallopt(M_MMAP_THRESHOLD, largeBuffer);
    mallopt(M_TRIM_THRESHOLD, unusedTop);
}

int runLoaded(const std::string& file, const gateway::GatewaySettings& settings)
{
    limitAllocator();
    kernel::Loop loop;
    fleet::StoreClient store(loop, settings.store);
    telemetry::ZoneTraffic traffic;
    fleet::LineLinkFactory links(loop, traffic);
    fleet::PlatformPromoter promoter(loop, settings.promotionEndpoint);
    const fleet::PlatformRowReader rows;
    gateway::Gateway gateway(loop, settings, { .store = store, .links = links, .promoter = promoter, .rows = rows, .traffic = traffic });
    fleet::LineServer callers(loop, settings.callers, gateway.sessionContext());
    gateway.onConfigurationApplied([&callers] { callers.reviewSessions(); });
    const fleet::ReadinessEndpoint readinessEndpoint(
        loop, settings.ready, [&gateway] { return gateway.isReady(); }, gateway.readinessLimits());
    gateway.start();
    const auto terminate = loop.onSignal(SIGTERM, [&] { gateway.drain(callers, [&loop] { loop.stop(); }); });
    const auto reload = loop.onSignal(SIGHUP, [&] {
        const auto loaded = gateway::loadGatewaySettings(file);
        if (!loaded) {
            telemetry::logEvent(telemetry::LogLevel::Error, "settings.refused", { { "problem", kernel::formatError(file, loaded.error()) } });
            return;
        }
        telemetry::setLogLevel(telemetry::parseLogLevel(loaded->logLevel));
        telemetry::logEvent(telemetry::LogLevel::Info, "settings.reloaded", { { "log_level", loaded->logLevel } });
    });
    loop.run();
    telemetry::logEvent(telemetry::LogLevel::Info, "daemon.stopped", { { "vm", settings.vm } });
    return 0;
}

}

int main(int count, char** arguments)
{
    return program::runSettingsProgram({ .name = "amaranthhall-gateway", .purpose = "the proxy for callers and upstreams of the platform" }, count, arguments, gateway::loadGatewaySettings, runLoaded);
}

#include "amaranthhall/gateway/gateway.hpp"
#include "amaranthhall/telemetry/log.hpp"
#include "platform/line_link.hpp"
#include "platform/line_server.hpp"
#include "platform/promoter.hpp"
#include "platform/readers.hpp"
#include "platform/ready_probe.hpp"
#include "platform/store_client.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace amaranthhall;

int runGateway(const std::string& file, const gateway::GatewaySettings& settings)
{
    kernel::Loop loop;
    fleet::StoreClient store(loop, settings.store);
    fleet::LineLinkFactory links(loop);
    fleet::CloudPromoter promoter(loop, settings.orders);
    const fleet::PlatformRows rows;
    gateway::Gateway gateway(loop, settings, { .store = store, .links = links, .promoter = promoter, .rows = rows });
    fleet::LineServer callers(loop, settings.callers, gateway.sessions());
    const fleet::ReadyProbe probe(loop, settings.ready, [&gateway] { return gateway.isReady(); });
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

int runProgram(int count, char** arguments)
{
    options::options_description description("amaranthhall-gateway: the proxy for callers and upstreams of the platform");
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
    const auto settings = gateway::loadGatewaySettings(file);
    if (!settings) {
        std::cerr << kernel::formatError(file, settings.error()) << '\n';
        return 2;
    }
    if (values.count("check-config") != 0) {
        std::cout << file << ": correct\n";
        return 0;
    }
    telemetry::openLog(telemetry::parseLogLevel(settings->logLevel));
    return runGateway(file, *settings);
}

}

int main(int count, char** arguments)
{
    try {
        return runProgram(count, arguments);
    } catch (const std::exception& exception) {
        std::cerr << "amaranthhall-gateway: " << exception.what() << '\n';
    }
    return 2;
}

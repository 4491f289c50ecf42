#include "amaranthhall/kernel/duration_text.hpp"
#include "amaranthhall/standin/fault_proxy.hpp"
#include "amaranthhall/standin/platform_server.hpp"
#include "amaranthhall/standin/upstream_server.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace amaranthhall;

kernel::Address requireAddress(const std::string& text)
{
    const auto address = kernel::parseAddress(text);
    if (!address)
        throw options::error("'" + text + "' is not an address such as 127.0.0.1:5432");
    return *address;
}

std::chrono::milliseconds requireDuration(const std::string& text)
{
    const auto duration = kernel::parseDuration(text);
    if (!duration)
        throw options::error("'" + text + "' is not a duration such as 10ms");
    return *duration;
}

int runUpstream(const std::vector<std::string>& arguments)
{
    options::options_description description("amaranthhall-standin upstream");
    description.add_options()("help", "shows this text")("name", options::value<std::string>()->default_value("a"), "name of the upstream")("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address to listen on; port 0 takes a free one")("primary", options::bool_switch(), "starts as primary of term 1")("connect-delay", options::value<std::string>()->default_value("0ms"), "time that a new connection takes")("connection-limit", options::value<std::uint32_t>()->default_value(100), "connections taken at most")("slots", options::value<std::uint32_t>()->default_value(2), "replicas that may follow")("password", options::value<std::string>()->default_value(""), "password asked for; none if empty");
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).run(), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    kernel::Loop loop;
    standin::UpstreamServer server(loop,
        {
            .name = values["name"].as<std::string>(),
            .listen = requireAddress(values["listen"].as<std::string>()),
            .connectDelay = requireDuration(values["connect-delay"].as<std::string>()),
            .connectionLimit = values["connection-limit"].as<std::uint32_t>(),
            .slots = values["slots"].as<std::uint32_t>(),
            .startsAsPrimary = values["primary"].as<bool>(),
            .password = values["password"].as<std::string>(),
        });
    telemetry::logEvent(telemetry::LogLevel::Info, "standin.listening", { { "role", "upstream" }, { "port", server.port() } });
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

int runFaultProxy(const std::vector<std::string>& arguments)
{
    options::options_description description("amaranthhall-standin fault-proxy");
    description.add_options()("help", "shows this text")("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address for orders by HTTP")("seed", options::value<std::uint64_t>()->default_value(1), "seed of the jitter");
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).run(), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    kernel::Loop loop;
    standin::FaultProxy proxy(loop, { .listen = requireAddress(values["listen"].as<std::string>()), .seed = values["seed"].as<std::uint64_t>() });
    telemetry::logEvent(telemetry::LogLevel::Info, "standin.listening", { { "role", "fault-proxy" }, { "port", proxy.port() } });
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

int runPlatform(const std::vector<std::string>& arguments)
{
    options::options_description description("amaranthhall-standin platform");
    description.add_options()("help", "shows this text")("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "address to listen on; port 0 takes a free one")("writes-per-second", options::value<std::uint32_t>()->default_value(400), "writes admitted in a second")("reads-per-second", options::value<std::uint32_t>()->default_value(2000), "reads admitted in a second");
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).run(), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    kernel::Loop loop;
    const standin::PlatformServer server(loop,
        {
            .listen = requireAddress(values["listen"].as<std::string>()),
            .limits = { .writesPerSecond = values["writes-per-second"].as<std::uint32_t>(), .readsPerSecond = values["reads-per-second"].as<std::uint32_t>() },
        });
    telemetry::logEvent(telemetry::LogLevel::Info, "standin.listening", { { "role", "platform" }, { "port", server.port() } });
    const auto terminate = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

}

int main(int count, char** arguments)
{
    telemetry::openLog(telemetry::LogLevel::Info);
    try {
        const std::vector<std::string> words(arguments + 1, arguments + count);
        if (!words.empty() && words.front() == "upstream")
            return runUpstream({ words.begin() + 1, words.end() });
        if (!words.empty() && words.front() == "fault-proxy")
            return runFaultProxy({ words.begin() + 1, words.end() });
        if (!words.empty() && words.front() == "platform")
            return runPlatform({ words.begin() + 1, words.end() });
        std::cerr << "usage: amaranthhall-standin upstream|fault-proxy|platform [--help]\n";
    } catch (const std::exception& exception) {
        std::cerr << "amaranthhall-standin: " << exception.what() << '\n';
    }
    return 2;
}

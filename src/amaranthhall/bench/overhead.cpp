#include "amaranthhall/bench/overhead.hpp"

#include "amaranthhall/bench/closed_loop.hpp"
#include "amaranthhall/rig/caller.hpp"
#include "amaranthhall/rig/cluster.hpp"
#include "amaranthhall/rig/process_usage.hpp"

#include <memory>
#include <stdexcept>
#include <thread>

namespace amaranthhall::bench {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr std::size_t instances = 3; // so that nine stand-ins, not one, have to keep up with the daemon
    constexpr auto statement = "SELECT id, coach FROM orders WHERE id = 1";
    constexpr auto settleTime = 500ms;

    Json encodeLatency(const ClosedLoopResult& result)
    {
        return { { "p50", result.latency.quantile(0.5) }, { "p99", result.latency.quantile(0.99) }, { "answered", result.answered }, { "failed", result.failed } };
    }

    void prepareData(rig::Cluster& cluster)
    {
        for (std::size_t i = 1; i <= instances; ++i) {
            rig::Caller caller(cluster.daemons().front().callerPort, "coach-ledger:" + std::to_string(i));
            const bool isDone = caller.run("CREATE TABLE orders (id integer primary key, coach text)").succeeded && caller.run("INSERT INTO orders VALUES (1, 'hearse')").succeeded;
            if (!isDone)
                throw std::runtime_error("the table cannot be made");
        }
    }

    ClosedLoopOptions daemonLoop(rig::Cluster& cluster, std::size_t callers, std::chrono::milliseconds length)
    {
        ClosedLoopOptions options { .targets = { { .host = "127.0.0.1", .port = cluster.daemons().front().callerPort } }, .callers = callers, .statement = statement, .length = length };
        for (std::size_t i = 1; i <= instances; ++i)
            options.databases.push_back("coach-ledger:" + std::to_string(i));
        return options;
    }

    ClosedLoopOptions directLoop(rig::Cluster& cluster, std::size_t callers, std::chrono::milliseconds length)
    {
        ClosedLoopOptions options { .databases = { "coach-ledger" }, .callers = callers, .statement = statement, .length = length };
        for (const auto& node : cluster.upstreams())
            options.targets.push_back({ .host = "127.0.0.1", .port = node.realPort });
        return options;
    }

    Json measureThroughput(rig::Cluster& cluster, const OverheadOptions& options)
    {
        const auto process = cluster.daemons().front().process->id();
        rig::ProcessUsage before;
        const auto result = runClosedLoop(daemonLoop(cluster, options.callers, options.length), [&] { before = rig::readUsage(process); });
        const auto used = rig::readUsage(process).processor - before.processor;
        return {
            { "callers", options.callers },
            { "per_second", static_cast<double>(result.answered) / result.seconds.count() },
            { "processor_share", used / result.seconds },
            { "per_processor_second", static_cast<double>(result.answered) / used.count() },
            { "latency_ms", encodeLatency(result) },
        };
    }

    Json measureIdleCallers(rig::Cluster& cluster, std::size_t count)
    {
        const auto& daemon = cluster.daemons().front();
        const auto before = rig::readUsage(daemon.process->id()).residentBytes;
        std::vector<std::unique_ptr<rig::Caller>> callers;
        for (std::size_t i = 0; i < count; ++i)
            callers.push_back(std::make_unique<rig::Caller>(daemon.callerPort, "coach-ledger:1"));
        std::this_thread::sleep_for(settleTime);
        const auto after = rig::readUsage(daemon.process->id()).residentBytes;
        return { { "callers", count }, { "bytes_each", static_cast<double>(after - std::min(before, after)) / static_cast<double>(count) } };
    }

}

nlohmann::json measureOverhead(const OverheadOptions& options)
{
    rig::Cluster cluster({ .binaries = options.binaries, .workFolder = options.workFolder, .instances = instances, .daemons = 1 });
    prepareData(cluster);
    const auto nothing = [] {};
    const auto direct = runClosedLoop(directLoop(cluster, 1, options.length), nothing);
    const auto proxied = runClosedLoop(daemonLoop(cluster, 1, options.length), nothing);
    Json json {
        { "direct_ms", encodeLatency(direct) },
        { "daemon_ms", encodeLatency(proxied) },
        { "added_p50_ms", proxied.latency.quantile(0.5) - direct.latency.quantile(0.5) },
        { "added_p99_ms", proxied.latency.quantile(0.99) - direct.latency.quantile(0.99) },
    };
    json["idle"] = measureIdleCallers(cluster, options.idleCallers);
    json["throughput"] = measureThroughput(cluster, options);
    return json;
}

}

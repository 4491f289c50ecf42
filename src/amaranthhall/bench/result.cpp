#include "amaranthhall/bench/result.hpp"

#include "amaranthhall/bench/latency.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhall::bench {

namespace {

    using Json = nlohmann::json;

    Json encodeQuantiles(const Quantiles& quantiles)
    {
        return { { "p50", quantiles.p50 }, { "p99", quantiles.p99 }, { "max", quantiles.max }, { "count", quantiles.count } };
    }

    Json encodeFault(const FaultNote& fault)
    {
        Json json { { "second", fault.second }, { "what", fault.what } };
        if (fault.gapMillis)
            json["gap_ms"] = *fault.gapMillis;
        return json;
    }

    Json encodeSecond(const SecondCount& second)
    {
        return { { "acknowledged", second.acknowledged }, { "reads", second.reads }, { "refused", second.refused }, { "unknown", second.unknown } };
    }

    SecondCount& secondOf(RunResult& result, Time begin, Time moment)
    {
        const auto index = static_cast<std::size_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::seconds>(moment - begin).count()));
        if (result.timeline.size() <= index)
            result.timeline.resize(index + 1);
        return result.timeline[index];
    }

    void addWrite(RunResult& result, const WriteRecord& write, SecondCount& second)
    {
        switch (write.told) {
        case Told::Acknowledged:
            ++result.acknowledged;
            ++second.acknowledged;
            break;
        case Told::NotRun:
            ++result.refused;
            ++second.refused;
            break;
        case Told::Unknown:
            ++result.unknown;
            ++second.unknown;
            break;
        }
    }

    Quantiles fromHistogram(const LatencyHistogram& histogram)
    {
        return { .p50 = histogram.quantile(0.5), .p99 = histogram.quantile(0.99), .max = histogram.quantile(1), .count = histogram.count() };
    }

}

Quantiles computeQuantiles(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const auto rank = [&](double share) {
        const auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
        return values[std::min(index, values.size() - 1)];
    };
    return { .p50 = rank(0.5), .p99 = rank(0.99), .max = values.back(), .count = values.size() };
}

nlohmann::json encodeResult(const RunResult& result)
{
    Json json {
        { "experiment", result.experiment },
        { "profile", result.profile },
        { "seed", result.seed },
        { "seconds", result.seconds },
        { "lost", result.harm.lost },
        { "doubled", result.harm.doubled },
        { "mixed", result.harm.mixed },
        { "stale_reads", result.harm.staleReads },
        { "false_not_run", result.harm.falseNotRun },
        { "acknowledged", result.acknowledged },
        { "unknown", result.unknown },
        { "refused", result.refused },
        { "reads_served", result.readsServed },
        { "reads_refused", result.readsRefused },
        { "failover_gap_ms", encodeQuantiles(result.failoverGap) },
        { "write_latency_ms", encodeQuantiles(result.writeLatency) },
        { "read_latency_ms", encodeQuantiles(result.readLatency) },
        { "faults", Json::array() },
        { "connections", Json::array() },
        { "timeline", Json::array() },
    };
    json["replica_read_share"] = result.replicaReadShare ? Json(*result.replicaReadShare) : Json();
    for (const auto& fault : result.faults)
        json["faults"].push_back(encodeFault(fault));
    for (const auto& use : result.connections)
        json["connections"].push_back({ { "upstream", use.upstream }, { "most", use.most }, { "limit", use.limit } });
    for (const auto& second : result.timeline)
        json["timeline"].push_back(encodeSecond(second));
    return json;
}

bool isHarmless(const RunResult& result)
{
    const bool keepsLimits = std::all_of(result.connections.begin(), result.connections.end(), [](const auto& use) { return use.most <= use.limit; });
    return keepsLimits && result.harm == HarmCounts {};
}

void addHistory(RunResult& result, const History& history, Time begin)
{
    LatencyHistogram writes;
    LatencyHistogram reads;
    for (const auto& write : history.writes) {
        addWrite(result, write, secondOf(result, begin, write.ended));
        if (write.told == Told::Acknowledged)
            writes.add(write.ended - write.arrived);
    }
    for (const auto& read : history.reads) {
        ++(read.succeeded ? result.readsServed : result.readsRefused);
        if (!read.succeeded)
            continue;
        ++secondOf(result, begin, read.ended).reads;
        reads.add(read.ended - read.arrived);
    }
    result.writeLatency = fromHistogram(writes);
    result.readLatency = fromHistogram(reads);
}

}

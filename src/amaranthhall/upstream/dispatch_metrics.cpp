#include "amaranthhall/upstream/dispatch_metrics.hpp"

#include <string_view>

namespace amaranthhall::upstream {

namespace {

    constexpr std::array<std::string_view, 3> grantNames { "write", "read_replica", "read_primary" };
    constexpr std::array<std::string_view, 3> shedNames { "queue_full", "group_share_full", "too_slow" };

}

DispatchMetrics::DispatchMetrics(telemetry::Metrics& metrics)
    : registry(metrics)
    , timeouts(&metrics.counter("amaranthhall_dispatch_timeouts_total", "Work that got no connection by its deadline."))
{
    for (std::size_t i = 0; i < this->grants.size(); ++i)
        this->grants[i] = &metrics.counter("amaranthhall_dispatch_grants_total", "Links granted, by kind of work and target.", { { "kind", grantNames[i] } });
    for (std::size_t i = 0; i < this->sheds.size(); ++i)
        this->sheds[i] = &metrics.counter("amaranthhall_dispatch_shed_total", "Work refused at once, by reason.", { { "reason", shedNames[i] } });
    for (std::size_t i = 0; i < this->skipped.size(); ++i)
        this->skipped[i] = &metrics.counter("amaranthhall_route_skips_total", "Upstreams not used for a piece of work, by reason.", { { "reason", routing::toText(static_cast<routing::SkipReason>(i)) } });
}

prometheus::Gauge& DispatchMetrics::openGauge(const group::UpstreamId& id)
{
    const auto name = group::formatId(id);
    return this->registry.gauge("amaranthhall_upstream_connections", "Connections that are open or being opened.", { { "upstream", name } });
}

prometheus::Gauge& DispatchMetrics::busyGauge(const group::UpstreamId& id)
{
    const auto name = group::formatId(id);
    return this->registry.gauge("amaranthhall_upstream_connections_busy", "Connections that are lent.", { { "upstream", name } });
}

void DispatchMetrics::countSkips(const std::array<std::uint8_t, routing::skipReasonCount>& skips)
{
    for (std::size_t i = 0; i < skips.size(); ++i) {
        if (skips[i] > 0)
            this->skipped[i]->Increment(skips[i]);
    }
}

}

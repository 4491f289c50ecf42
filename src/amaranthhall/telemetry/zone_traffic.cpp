#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <chrono>
#include <utility>

namespace amaranthhall::telemetry {

namespace {

    constexpr int averagingWeight = 8; // a measurement enters the average with 1/8
    constexpr std::string_view unknownZone = "unknown";
    constexpr std::array<std::string_view, 5> kindNames { "relay", "upstream", "gossip", "quota", "rows" };

    std::size_t indexOf(TrafficKind kind) noexcept
    {
        return static_cast<std::size_t>(kind);
    }

}

ZoneTraffic::Zone& ZoneTraffic::zoneOf(std::string_view name)
{
    const auto found = this->zones.find(name);
    if (found != this->zones.end())
        return found->second;
    return this->zones[this->zones.size() < maximumZones ? std::string(name) : std::string()];
}

ZoneTraffic::Bytes& ZoneTraffic::bytes(TrafficKind kind, std::string_view zone)
{
    return this->zoneOf(zone).bytes.at(indexOf(kind));
}

void ZoneTraffic::noteHost(std::string_view host, std::string_view zone)
{
    const auto found = this->zoneOfHost.find(host);
    if (found == this->zoneOfHost.end()) {
        if (this->zoneOfHost.size() < maximumHosts)
            this->zoneOfHost.emplace(host, zone);
    } else if (found->second != zone)
        found->second = zone;
}

ZoneTraffic::Bytes& ZoneTraffic::bytesOfHost(TrafficKind kind, std::string_view host)
{
    const auto found = this->zoneOfHost.find(host);
    return this->bytes(kind, found == this->zoneOfHost.end() ? std::string_view() : std::string_view(found->second));
}

void ZoneTraffic::noteRoundTrip(std::string_view zone, Duration roundTrip)
{
    auto& average = this->zoneOf(zone).roundTrip;
    average = average ? (*average * (averagingWeight - 1) + roundTrip) / averagingWeight : roundTrip;
}

std::optional<Duration> ZoneTraffic::roundTrip(std::string_view zone) const
{
    const auto found = this->zones.find(zone);
    return found == this->zones.end() ? std::nullopt : found->second.roundTrip;
}

double ZoneTraffic::bytesPerExchange(TrafficKind kind) const noexcept
{
    std::uint64_t bytes = 0;
    std::uint64_t exchanges = 0;
    for (const auto& [name, zone] : this->zones) {
        const auto& counted = zone.bytes.at(indexOf(kind));
        bytes += counted.sent + counted.received;
        exchanges += counted.exchanges;
    }
    return exchanges == 0 ? 0 : static_cast<double>(bytes) / static_cast<double>(exchanges);
}

void ZoneTraffic::publish(Metrics& metrics, std::string_view ownZone)
{
    constexpr std::string_view metric = "amaranthhall_zone_bytes_total";
    constexpr std::string_view help = "Bytes exchanged with each zone, without headers of the network; each counted by one daemon";
    for (auto& [name, zone] : this->zones) {
        const std::string_view label = name.empty() ? unknownZone : std::string_view(name);
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            const auto& now = zone.bytes.at(kind);
            const auto before = std::exchange(zone.published.at(kind), now);
            if (now.sent != before.sent)
                metrics.counter(metric, help, { { "kind", kindNames.at(kind) }, { "direction", "sent" }, { "from", ownZone }, { "to", label } }).Increment(static_cast<double>(now.sent - before.sent));
            if (now.received != before.received)
                metrics.counter(metric, help, { { "kind", kindNames.at(kind) }, { "direction", "received" }, { "from", label }, { "to", ownZone } }).Increment(static_cast<double>(now.received - before.received));
        }
        if (zone.roundTrip)
            metrics.gauge("amaranthhall_zone_round_trip_seconds", "Average round-trip time of connections to each zone", { { "zone", label } }).Set(std::chrono::duration<double>(*zone.roundTrip).count());
    }
}

}

// Zones in the choice of an upstream: what leaving the daemon's zone costs.

#include "amaranthhall/engine/dispatcher.hpp"

namespace amaranthhall::engine {

Duration Dispatcher::crossingCost(std::string_view zone) const
{
    if (zone == this->options.zone)
        return Duration::zero();
    if (!this->options.traffic)
        return placement::crossingCost({});
    const auto& traffic = *this->options.traffic;
    return placement::crossingCost({
        .roundTrip = traffic.roundTrip(zone),
        .ownRoundTrip = traffic.roundTrip(this->options.zone),
        .bytes = this->options.bytePrice == Duration::zero() ? 0 : traffic.bytesPerExchange(telemetry::TrafficKind::Upstream),
        .pricePerKilobyte = this->options.bytePrice,
    });
}

}

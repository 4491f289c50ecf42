#pragma once

#include "amaranthhall/placement/placement.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace amaranthhall::placement {

/// @brief What a statement that crosses to another zone costs.
struct CrossingCosts {
    std::optional<Duration> roundTrip; ///< Within the own zone, and to the other one; std::nullopt if not measured.
    std::optional<Duration> ownRoundTrip;
    double bytes { 0 }; ///< Of a statement and its reply.
    Duration pricePerKilobyte {}; ///< Latency that a statement may gain for each kilobyte that does not cross.
};

/// @brief Returns the latency that a crossing adds, including the price of its bytes; at least, and without measurements, that of two zones nearby.
[[nodiscard]] Duration crossingCost(const CrossingCosts& costs) noexcept;

/**
 * @brief Adds to the candidates outside a zone the cost of leaving it, if an upstream of the zone is fit to serve the statement.
 *
 * The upstreams of a service rarely differ in speed by more than the noise of their average latencies, so without this cost most statements cross for nothing.
 * The cost is the expected time of a statement on the zone's own upstream: it is left when the statements of this daemon alone double its expected time.
 *
 * @return False if no upstream of the zone is fit; nothing is added then.
 */
bool preferZone(std::span<Candidate> candidates, std::string_view zone, Time now);

}

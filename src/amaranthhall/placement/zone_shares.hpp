#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthhall::placement {

/// @brief What one zone can serve of the statements of a service that any upstream may run. All loads are of all daemons together.
struct ZoneState {
    std::string_view zone;
    double capacity { 0 }; ///< Slots of the upstreams that can be used.
    double used { 0 }; ///< Slots in use, on average.
    double waiting { 0 }; ///< Statements that wait at the upstreams.
    double leaderFraction { 0 }; ///< Fraction of the capacity that is the leader's.
    std::uint32_t freshUpstreams { 0 }; ///< Upstreams that hold recent enough positions.
    Duration crossing {}; ///< Cost of the way there; see crossingCost().
    Duration age {}; ///< Age of the oldest of these figures.
};

/// @brief The statements to be divided.
struct ZoneDemand {
    double slots { 0 }; ///< That the statements arriving in the own zone occupy, wherever they run.
    Duration serviceTime {}; ///< Of a statement that does not wait.
};

/// @brief Fractions of a zone's statements by the zone to which they are sent.
struct ZoneShares {
    std::vector<std::pair<std::string, double>> shares; ///< By zone, sorted; they add up to 1. Empty while nothing was decided.

    [[nodiscard]] double of(std::string_view zone) const noexcept;

    /// @brief Returns the zone of a statement by a number that is uniform in [0, 1) and the same for all attempts; empty if nothing was decided.
    [[nodiscard]] std::string_view zoneAt(double position) const noexcept;
};

/**
 * @brief Divides the statements of a zone among the zones.
 *
 * Each part goes where it waits least, the way included, given the parts before it. The load of the own zone is taken from its demand, which does not depend on
 * the division, so the division does not oscillate. All other zones are expected to change what they send to a zone as this one does, so that they do not flood it together.
 * The result is approached over about a second; a zone that can't serve loses its share at once. Old figures of a zone can't raise its share.
 *
 * @param elapsed Time since `previous` was decided.
 */
[[nodiscard]] ZoneShares decideShares(const ZoneShares& previous, std::span<const ZoneState> zones, std::string_view ownZone, const ZoneDemand& demand, Duration elapsed);

/// @brief Expected wait of a statement for one of `slots` slots of which `used` are in use on average.
[[nodiscard]] Duration expectedWait(double slots, double used, Duration serviceTime) noexcept;

/// @brief What a daemon knows of one upstream.
struct UpstreamFigures {
    std::string_view zone;
    double slots { 1 };
    double runningHere { 0 }; ///< Statements of this daemon on it, on average.
    Duration latency {}; ///< Average latency that this daemon observes.
    bool isUsable { false };
    bool isFresh { true };
    bool isLeader { false };
    bool isOverloaded { false }; ///< It has just refused a statement for overload.
    std::optional<double> runningElsewhere; ///< Statements of other daemons on it; std::nullopt if they report none.
    double waitingElsewhere { 0 }; ///< Statements of other daemons that wait at it.
    Duration age {}; ///< Of the figures of other daemons.
};

/// @brief The daemon that makes up zone states from its figures.
struct FiguresContext {
    std::string_view ownZone;
    double peersInZone { 1 }; ///< Daemons of the own zone that send to the upstreams, this one included; they are taken to send as much.
    double typicalUse { 0 }; ///< Long-term use of the own zone's capacity, as a fraction; other zones are taken to be alike unless their load is known.
};

/// @brief Sums the figures of upstreams up by zone; crossing costs are left to the caller.
[[nodiscard]] std::vector<ZoneState> summariseZones(std::span<const UpstreamFigures> upstreams, const FiguresContext& context);

/// @brief Returns the slots that the statements of the own zone occupy.
[[nodiscard]] ZoneDemand measureDemand(std::span<const UpstreamFigures> upstreams, const FiguresContext& context);

}

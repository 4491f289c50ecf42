#pragma once

#include "amaranthhall/group/group_state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthhall::group {

/// @brief Why a watcher suspects that its group has no working primary.
enum class Suspicion : std::uint8_t {
    None,
    Refused, ///< The primary refuses connections.
    TimedOut, ///< The primary has not replied to a probe within the timeout.
    Isolated, ///< The primary replies to probes, but no replica receives replication data from it.
    NoPrimary, ///< The highest term has no known primary.
};

/// @brief Returns why a group's primary is suspected, judging by this watcher's observations.
[[nodiscard]] Suspicion evaluateSuspicion(const GroupState& state, Time now) noexcept;

/// @brief Returns the primary if no replica receives replication data from it and a majority of the upstreams can replace it.
[[nodiscard]] std::optional<std::string> isolatedPrimary(const GroupState& state);

}

#pragma once

#include "amaranthhall/group/group_event.hpp"
#include "amaranthhall/group/group_state.hpp"
#include "amaranthhall/kernel/random.hpp"

#include <string_view>

namespace amaranthhall::group {

/// @brief Interval of the Ticked event.
constexpr auto tickInterval = std::chrono::milliseconds(50);

/// @brief Returns the interval between two probes of an upstream: short for the primary, and for all upstreams while the group is not stable.
[[nodiscard]] Duration probeInterval(const GroupState& state, std::string_view upstream) noexcept;

/**
 * @brief Applies one event to the state and returns the resulting actions.
 *
 * A watcher suspects the primary when it refuses connections, leaves a probe unanswered for longer than the timeout,
 * reaches no replica, or is unknown. A failover attempt starts once a second watcher agrees. A sole watcher uses longer
 * timeouts instead.
 *
 * @param now Current time; must not be earlier than in the previous call.
 */
[[nodiscard]] GroupActions step(GroupState& state, const GroupEvent& event, Time now, Random& random);

}

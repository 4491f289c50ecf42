#pragma once

#include "amaranthhall/group/group_event.hpp"
#include "amaranthhall/group/group_state.hpp"
#include "amaranthhall/kernel/random.hpp"

#include <string_view>

namespace amaranthhall::group {

/// @brief Interval of Ticked.
constexpr auto tickInterval = std::chrono::milliseconds(50);

/// @brief Gives how long to wait between two probes of an upstream: the primary is asked often, and all while something is wrong.
[[nodiscard]] Duration probeInterval(const GroupState& state, std::string_view upstream) noexcept;

/**
 * @brief Decides what follows from one event.
 *
 * A watcher suspects the primary when it refuses connections, leaves a probe unanswered for the
 * suspicion time, reaches no replica, or is unknown. An attempt begins when a second watcher
 * agrees; a watcher that is alone waits longer instead.
 *
 * @param now The present moment; must not be earlier than in the call before.
 */
[[nodiscard]] GroupActions step(GroupState& state, const GroupEvent& event, Time now, Random& random);

}

#pragma once

#include "amaranthhall/group/group_state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthhall::group {

/// @brief Why a watcher thinks that its group has no working primary.
enum class Suspicion : std::uint8_t {
    None,
    Refused, ///< The primary refuses connections.
    TimedOut, ///< The primary has not answered in time.
    Isolated, ///< The primary answers, but no replica hears from it.
    NoPrimary, ///< The highest term has no known primary.
};

/// @brief Judges a group by what its watcher has seen.
[[nodiscard]] Suspicion evaluateSuspicion(const GroupState& state, Time now) noexcept;

/// @brief Gives the primary that no replica hears from, if there is one.
[[nodiscard]] std::optional<std::string> isolatedPrimary(const GroupState& state);

}

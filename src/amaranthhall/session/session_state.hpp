#pragma once

#include "amaranthhall/session/request_key.hpp"
#include "amaranthhall/session/session_settings.hpp"
#include "amaranthhall/upstream/dispatcher.hpp"

#include <chrono>
#include <optional>

namespace amaranthhall::session {

/// @brief What a session keeps from one statement to the next.
struct SessionState {
    group::GroupId group;
    pgwire::TransactionStatus transaction { pgwire::TransactionStatus::Idle };
    upstream::Assignment assignment; ///< The link of the open transaction; without one, a failed transaction is over upstream.
    bool wrote { false }; ///< The open transaction may have written.
    SessionSettings settings;
    std::optional<group::LogPoint> seen; ///< The newest point that the caller has seen.
    std::optional<std::chrono::milliseconds> maxStale; ///< As set by the caller.
    KeyProgress key;
};

/// @brief Raises the newest point that the caller has seen.
inline void raiseSeen(SessionState& state, const std::optional<group::LogPoint>& point)
{
    if (point && (!state.seen || *state.seen < *point))
        state.seen = point;
}

}

#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthhall::engine {

/// @brief Why a statement did not succeed; used both for upstream errors and for replies to callers.
enum class ReplyCode : std::uint8_t {
    None, ///< Success.
    Busy, ///< Not run: no capacity.
    Lagging, ///< Not run: the upstream's log has not reached the required position.
    ReadOnly, ///< Not run: the upstream is not the leader.
    Misrouted, ///< Not run: a different upstream is listening at this address.
    TooManyConnections, ///< Not run: the upstream's connection limit is reached.
    Aborted, ///< The transaction was rolled back.
    UnknownStatement, ///< Not run: no prepared statement has this name.
    Failed, ///< Ran and failed.
    TimedOut, ///< May have run.
    InDoubt, ///< Outcome unknown: may have run and may have been committed.
    UnknownDatabase,
    Malformed,
    TooLarge,
    NotAuthorised,
    Other, ///< A code unknown to this version.
};

/// @brief Returns whether a code guarantees that the statement did not run.
[[nodiscard]] constexpr bool impliesNotRun(ReplyCode code) noexcept
{
    switch (code) {
    case ReplyCode::Busy:
    case ReplyCode::Lagging:
    case ReplyCode::ReadOnly:
    case ReplyCode::Misrouted:
    case ReplyCode::TooManyConnections:
    case ReplyCode::UnknownStatement:
        return true;
    default:
        return false;
    }
}

/// @brief Returns the name of a code for logs and metrics.
[[nodiscard]] std::string_view nameOf(ReplyCode code) noexcept;

}

#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthhall::engine {

/// @brief Why a statement did not succeed; the same set serves upstreams' errors and answers to callers.
enum class ReplyCode : std::uint8_t {
    None, ///< Success.
    Busy, ///< Not run: no capacity.
    Lagging, ///< Not run: the log lacks the wanted position.
    ReadOnly, ///< Not run: the upstream does not lead.
    Misrouted, ///< Not run: another upstream listens at this address.
    TooManyConnections, ///< Not run: the upstream's connection limit is reached.
    Aborted, ///< The transaction was rolled back.
    UnknownStatement, ///< Not run: no prepared statement of this name.
    Failed, ///< Ran and failed.
    TimedOut, ///< May have run.
    InDoubt, ///< May have run and may have been committed.
    UnknownDatabase,
    Malformed,
    TooLarge,
    NotAuthorised,
    Other, ///< A code that this version does not know.
};

/// @brief Tells whether a code says that the statement did not run.
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

/// @brief Gives the name of a code for logs and metrics.
[[nodiscard]] std::string_view nameOf(ReplyCode code) noexcept;

}

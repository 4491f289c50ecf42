#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace amaranthhall::routing {

/// @brief Why an upstream was not used for a request.
enum class SkipReason : std::uint8_t {
    Unreachable, ///< It does not reply to probes, or it has no idle connection and connecting to it has just failed.
    Draining, ///< The platform is about to remove it.
    WrongRole, ///< It reports another role than the group view expects.
    ZeroWeight, ///< Its configured read weight is 0.
    Lag, ///< It has not applied the log point that the request requires.
    UnknownFreshness, ///< The age of its data is unknown.
    Stale, ///< Its data is older than the request allows.
    NoConnection, ///< All its connections are in use.
};

inline constexpr std::size_t skipReasonCount = 8;

/// @brief Returns the metric label of a reason, such as `unknown_freshness`.
[[nodiscard]] std::string_view toText(SkipReason reason) noexcept;

}

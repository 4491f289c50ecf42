#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace amaranthhall::routing {

/// @brief Why an upstream does not serve a piece of work.
enum class SkipReason : std::uint8_t {
    Unreachable, ///< It does not answer, or connecting to it has just failed.
    Draining, ///< The platform is about to take it away.
    WrongRole, ///< It says that it has another role than the group's view gives it.
    ZeroWeight, ///< The table gives it no reads.
    Lag, ///< It does not show the point that the work needs.
    UnknownFreshness, ///< Nothing is known of the age of its data.
    Stale, ///< Its data is older than the work allows.
    NoConnection, ///< All its connections are lent.
};

/// @brief Number of reasons.
inline constexpr std::size_t skipReasonCount = 8;

/// @brief Names a reason as the metrics do, such as `unknown_freshness`.
[[nodiscard]] std::string_view toText(SkipReason reason) noexcept;

}

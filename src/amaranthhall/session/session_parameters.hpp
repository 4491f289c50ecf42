#pragma once

#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/session/session_state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief Tells whether a parameter is the daemon's own, which no upstream hears of.
[[nodiscard]] bool isOwnParameter(std::string_view name) noexcept;

/**
 * @brief Gives one of the daemon's own parameters a value.
 * @param isReset Gives it its default; the value is not looked at.
 * @return The error if there is no such parameter or the value is refused.
 */
[[nodiscard]] std::optional<pgwire::ErrorFields> setOwnParameter(SessionState& state, const kernel::Settings& settings, const statement::Assignment& assignment);

/// @brief Gives the value of one of the daemon's own parameters, empty if it has none.
[[nodiscard]] std::string showOwnParameter(const SessionState& state, const kernel::Settings& settings, std::string_view name);

}

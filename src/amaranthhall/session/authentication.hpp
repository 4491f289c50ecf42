#pragma once

#include "amaranthhall/kernel/settings.hpp"
#include "amaranthhall/session/scram.hpp"
#include "amaranthhall/session/startup.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief What follows an authentication message.
struct AuthenticationStep {
    std::optional<StartupError> error;
    std::string frames; ///< To be sent.
    bool isDone { false };
};

/// @brief Authenticates one caller by SCRAM-SHA-256.
class Authentication {
public:
    /// @brief Begins for the user that a startup message names.
    Authentication(StartupMessage message, const kernel::Settings& settings);

    /// @brief Gives the frames that ask the caller to begin.
    [[nodiscard]] static std::string request();

    /// @brief Takes the body of one password message.
    [[nodiscard]] AuthenticationStep take(std::string_view body);

    [[nodiscard]] const StartupMessage& startup() const noexcept { return this->message; }

private:
    [[nodiscard]] AuthenticationStep takeFirst(std::string_view body);
    [[nodiscard]] AuthenticationStep refuse() const;

    StartupMessage message;
    ScramExchange exchange;
    bool isBegun { false };
};

}

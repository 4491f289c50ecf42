#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/table/rows.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace amaranthhall::session {

/// @brief Kinds of a connection's first message.
enum class StartupKind : std::uint8_t {
    Session,
    Ssl,
    Gss,
    Cancel,
};

/// @brief Names a session to a CancelRequest.
struct CancelKey {
    std::int32_t process { 0 };
    std::int32_t secret { 0 };

    friend bool operator==(const CancelKey&, const CancelKey&) = default;
};

/// @brief A connection's first message.
struct StartupMessage {
    StartupKind kind { StartupKind::Session };
    CancelKey cancel; ///< For Cancel.
    std::string user;
    std::string database;
    std::vector<std::pair<std::string, std::string>> parameters; ///< All others, those of `options` among them.
};

/// @brief Why a session is refused at its start.
struct StartupError {
    std::string sqlstate;
    std::string message;
    std::string hint;
};

/// @brief Reads a connection's first message, without its length.
[[nodiscard]] tl::expected<StartupMessage, StartupError> parseStartup(std::string_view body);

/// @brief Finds the group that a database name of the form `service` or `service:instance` means.
[[nodiscard]] tl::expected<group::GroupId, StartupError> resolveGroup(const table::TableImage& image, std::string_view database);

}

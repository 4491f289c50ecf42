#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/group/log_point.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief What a caller has seen of a group, so that any daemon can serve its next read.
struct SessionToken {
    group::GroupId group;
    group::LogPoint point;

    friend bool operator==(const SessionToken&, const SessionToken&) = default;
};

/// @brief Writes a token and signs it by HMAC-SHA256.
[[nodiscard]] std::string encodeToken(const SessionToken& token, std::string_view key);

/// @brief Reads a token; gives nothing if it is malformed or none of the keys signed it.
[[nodiscard]] std::optional<SessionToken> decodeToken(std::string_view text, std::span<const std::string> keys);

}

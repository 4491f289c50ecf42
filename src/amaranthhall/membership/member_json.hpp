#pragma once

#include "amaranthhall/membership/member.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthhall::membership {

/// @brief Returns the name of a state, such as `suspected`.
[[nodiscard]] std::string_view stateName(MemberState state) noexcept;

/// @brief Encodes a member as an array: id, incarnation, state, region, zone, peer address, admin address.
[[nodiscard]] nlohmann::json encodeMember(const Member& member);

/// @brief Decodes the output of encodeMember(); returns nothing if it is malformed.
[[nodiscard]] std::optional<Member> decodeMember(const nlohmann::json& value);

[[nodiscard]] nlohmann::json encodeMembers(std::span<const Member> members);

/// @brief Decodes an array of members and skips malformed entries.
[[nodiscard]] std::vector<Member> decodeMembers(const nlohmann::json& value);

}

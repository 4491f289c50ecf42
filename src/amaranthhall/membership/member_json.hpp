#pragma once

#include "amaranthhall/membership/member.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthhall::membership {

/// @brief Names a state, such as `suspected`.
[[nodiscard]] std::string_view stateName(MemberState state) noexcept;

/// @brief Writes a member as a short list: id, incarnation, state, region, zone, peer and admin address.
[[nodiscard]] nlohmann::json encodeMember(const Member& member);

/// @brief Reads what encodeMember() wrote; gives nothing if it is malformed.
[[nodiscard]] std::optional<Member> decodeMember(const nlohmann::json& value);

/// @brief Writes a list of members.
[[nodiscard]] nlohmann::json encodeMembers(std::span<const Member> members);

/// @brief Reads a list of members and leaves out the malformed.
[[nodiscard]] std::vector<Member> decodeMembers(const nlohmann::json& value);

}

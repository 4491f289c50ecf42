#include "amaranthhall/membership/member_json.hpp"

namespace amaranthhall::membership {

namespace {

    constexpr std::size_t fieldCount = 7;

    bool isValidMember(const nlohmann::json& value)
    {
        if (!value.is_array() || value.size() != fieldCount || !value[1].is_number_unsigned() || !value[2].is_number_unsigned())
            return false;
        for (const std::size_t index : { 0, 3, 4, 5, 6 }) {
            if (!value[index].is_string())
                return false;
        }
        return value[2].get<std::uint64_t>() <= static_cast<std::uint64_t>(MemberState::Dead);
    }

}

std::string_view stateName(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return {};
}

nlohmann::json encodeMember(const Member& member)
{
    return nlohmann::json::array({ member.id, member.incarnation, static_cast<unsigned>(member.state), member.region, member.zone, kernel::formatAddress(member.peer), kernel::formatAddress(member.admin) });
}

std::optional<Member> decodeMember(const nlohmann::json& value)
{
    if (!isValidMember(value))
        return std::nullopt;
    const auto peer = kernel::parseAddress(value[5].get<std::string>());
    const auto admin = kernel::parseAddress(value[6].get<std::string>());
    if (!peer)
        return std::nullopt;
    return Member {
        .id = value[0],
        .incarnation = value[1],
        .state = static_cast<MemberState>(value[2].get<unsigned>()),
        .region = value[3],
        .zone = value[4],
        .peer = *peer,
        .admin = admin.value_or(kernel::Address {}),
    };
}

nlohmann::json encodeMembers(std::span<const Member> members)
{
    auto list = nlohmann::json::array();
    for (const auto& member : members)
        list.push_back(encodeMember(member));
    return list;
}

std::vector<Member> decodeMembers(const nlohmann::json& value)
{
    std::vector<Member> members;
    if (!value.is_array())
        return members;
    for (const auto& entry : value) {
        if (auto member = decodeMember(entry))
            members.push_back(std::move(*member));
    }
    return members;
}

}

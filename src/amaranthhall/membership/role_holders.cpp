#include "amaranthhall/membership/role_holders.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace amaranthhall::membership {

namespace {

    struct Candidate {
        const Member* member;
        std::uint64_t score;
    };

    std::vector<Candidate> rankLiveMembers(std::span<const Member> members, std::string_view key)
    {
        std::vector<Candidate> ranked;
        for (const auto& member : members) {
            if (member.state == MemberState::Live)
                ranked.push_back({ &member, hashing::rendezvousScore(member.id, key) });
        }
        std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
            return left.score != right.score ? left.score > right.score : left.member->id < right.member->id;
        });
        return ranked;
    }

}

std::vector<const Member*> chooseRoleHolders(std::span<const Member> members, std::string_view key, std::size_t count)
{
    const auto ranked = rankLiveMembers(members, key);
    std::vector<const Member*> chosen;
    std::vector<const Member*> others;
    std::set<std::string_view> zones;
    for (const auto& candidate : ranked) {
        auto& list = zones.insert(candidate.member->zone).second ? chosen : others;
        list.push_back(candidate.member);
    }
    chosen.insert(chosen.end(), others.begin(), others.end());
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

}

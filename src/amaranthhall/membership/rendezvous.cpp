#include "amaranthhall/membership/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace amaranthhall::membership {

namespace {

    // FNV-1a with a final mix (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
    // std::hash may differ between builds, and all daemons have to agree.
    constexpr std::uint64_t fnvOffset = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

    std::uint64_t mix(std::uint64_t value) noexcept
    {
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    std::uint64_t addText(std::uint64_t hash, std::string_view text) noexcept
    {
        for (const unsigned char byte : text)
            hash = (hash ^ byte) * fnvPrime;
        return hash;
    }

    struct Candidate {
        const Member* member;
        std::uint64_t score;
    };

    std::vector<Candidate> rankLive(std::span<const Member> members, std::string_view key)
    {
        std::vector<Candidate> ranked;
        for (const auto& member : members) {
            if (member.state == MemberState::Live)
                ranked.push_back({ &member, rendezvousScore(member.id, key) });
        }
        std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
            return left.score != right.score ? left.score > right.score : left.member->id < right.member->id;
        });
        return ranked;
    }

}

std::uint64_t rendezvousScore(std::string_view memberId, std::string_view key) noexcept
{
    auto hash = addText(fnvOffset, memberId);
    hash = addText(hash, std::string_view("\0", 1));
    return mix(addText(hash, key));
}

double weightedScore(std::string_view memberId, std::string_view key, double weight) noexcept
{
    // -weight / ln(u) of a uniform u is the weighted form of rendezvous hashing (Schindelhauer and Schomaker, 2005).
    constexpr double range = 0x1p64;
    const double uniform = (static_cast<double>(rendezvousScore(memberId, key)) + 0.5) / range;
    return -weight / std::log(std::min(uniform, 1 - 0x1p-53));
}

std::vector<const Member*> chooseHolders(std::span<const Member> members, std::string_view key, std::size_t count)
{
    const auto ranked = rankLive(members, key);
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

#include "amaranthhall/quota/electorate.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"
#include "amaranthhall/quota/support.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace amaranthhall::quota {

namespace {

    using namespace std::chrono_literals;

    // Less than the registry's removal timeout, and more than its liveness timeout and the interval of the observations.
    constexpr Duration recentActivity = 8s;

}

void Electorate::update(const gossip::PeerRegistry& peers, Time now)
{
    for (auto& [vm, member] : this->members) {
        if (member.lostAt == Time::max() && !peers.all().contains(vm))
            member.lostAt = now;
    }
    std::erase_if(this->members, [](const auto& item) { return item.second.lostAt != Time::max() && item.second.lostAt - item.second.lastActivity < recentActivity; });
    for (const auto& [vm, peer] : peers.all()) {
        auto& member = this->members[vm];
        member.cores = peer.profile.cores;
        member.lastActivity = std::max(peer.lastActivity, peer.addedAt);
        member.lostAt = Time::max();
    }
    ++this->changeCount;
}

void Electorate::observe(const gossip::PeerRegistry& peers, Time now)
{
    for (const auto& [vm, peer] : peers.all()) {
        const auto found = this->members.find(vm);
        if (found != this->members.end())
            found->second.lastActivity = std::max(peer.lastActivity, peer.addedAt);
    }
    const auto removed = std::erase_if(this->members, [now](const auto& item) { return item.second.lostAt != Time::max() && now - item.second.lostAt > voteRetention; });
    this->changeCount += removed > 0 ? 1 : 0;
}

std::vector<std::string> Electorate::voters(std::string_view organisation, const Member& self) const
{
    const auto key = std::string("quota/").append(organisation);
    std::vector<std::pair<double, std::string_view>> scores;
    scores.reserve(this->members.size() + 1);
    scores.emplace_back(hashing::weightedScore(self.vm, key, self.cores), self.vm);
    for (const auto& [vm, member] : this->members)
        scores.emplace_back(hashing::weightedScore(vm, key, member.cores), vm);
    const auto kept = std::min(maximumVoters, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept), scores.end(), std::greater<>());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < kept; ++i)
        names.emplace_back(scores[i].second);
    return names;
}

}

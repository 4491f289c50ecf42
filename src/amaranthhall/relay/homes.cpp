#include "amaranthhall/relay/homes.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace amaranthhall::relay {

namespace {

    constexpr std::size_t linksPerHome = 3; // to each upstream: for its slots, plus one for an idle open transaction
    constexpr std::size_t linksPerHomeOfOrganisations = 6; // to each upstream: more organisations of a home find theirs open, as not all need one at the same time
    constexpr std::uint32_t reserveDivisor = 2; // one connection in this many stays free, for restarted daemons while the upstream still holds their dead connections
    constexpr std::size_t minimumHomes = 2; // the service survives the loss of one
    constexpr std::size_t minimumHomesByServices = 3; // lower bound on the homes of a service, however many services there are
    constexpr std::size_t targetServicesPerDaemon = 12; // services of which an average daemon is a home
    constexpr std::size_t maximumHomes = 12; // homes that start at the same time then open their connections within a fraction of a second
    constexpr std::size_t busyThreshold = 4; // outstanding statements of one requester; from here on, a round trip to another zone is shorter than the wait

    constexpr std::size_t candidatesPerHome = 4; // enough that every zone can fill its share

    bool ranksBefore(const Candidate& left, const Candidate& right)
    {
        return std::tie(left.score, left.daemon->vm) > std::tie(right.score, right.daemon->vm);
    }

    Candidate makeCandidate(std::string_view key, const Daemon& daemon)
    {
        return { .score = hashing::weightedScore(daemon.vm, key, daemon.cores), .daemon = &daemon };
    }

    std::string hashKey(std::string_view service)
    {
        return "home/" + std::string(service);
    }

    /// Returns how often a statement crosses zones: to the home, and from there to the leader.
    unsigned crossings(const HomeState& home, const Requester& requester)
    {
        const unsigned toHome = home.zone == requester.zone ? 0 : 1;
        const bool crossesToLeader = !requester.leaderZone.empty() && home.zone != requester.leaderZone;
        return toHome + (crossesToLeader ? requester.leaderRoundTrips : 0);
    }

    /// Ranks a home by whether it reaches the leader; 0 is best.
    int reachRank(const HomeState& home, const Requester& requester)
    {
        if (!requester.needsLeader)
            return 0;
        const bool isProven = home.reach == engine::LeaderReachability::Reachable;
        if (requester.prefersProvenReach && !isProven)
            return home.reach == engine::LeaderReachability::Unreachable ? 2 : 1;
        return home.reach == engine::LeaderReachability::Unreachable ? 1 : 0;
    }

}

FleetSize measureFleet(std::span<const Daemon* const> daemons)
{
    std::set<std::string_view> zones;
    for (const auto* daemon : daemons)
        zones.insert(daemon->zone);
    return { .daemons = daemons.size(), .zones = zones.size() };
}

HomeCount countHomes(const FleetSize& fleet, const HomeLimits& limits)
{
    const auto links = limits.hasOrganisations ? linksPerHomeOfOrganisations : linksPerHome;
    const auto byConnections = std::clamp<std::size_t>(limits.connections / reserveDivisor / links, minimumHomes, maximumHomes);
    const auto byServices = std::max(minimumHomesByServices, targetServicesPerDaemon * fleet.daemons / std::max<std::size_t>(1, limits.services));
    return { .homes = std::min({ fleet.daemons, byConnections, byServices }), .zones = fleet.zones };
}

Ranking rankDaemons(std::string_view service, std::span<const Daemon* const> daemons, const HomeCount& count)
{
    const auto key = hashKey(service);
    Ranking ranking;
    ranking.reserve(daemons.size());
    for (const auto* daemon : daemons)
        ranking.push_back(makeCandidate(key, *daemon));
    const auto kept = std::min(ranking.size(), count.homes * candidatesPerHome);
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(kept), ranking.end(), ranksBefore);
    return { ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(kept) };
}

bool insertDaemon(Ranking& ranking, std::string_view service, const Daemon& daemon, const HomeCount& count)
{
    const auto kept = count.homes * candidatesPerHome;
    const auto candidate = makeCandidate(hashKey(service), daemon);
    const auto position = std::upper_bound(ranking.begin(), ranking.end(), candidate, ranksBefore);
    if (position == ranking.end() && ranking.size() >= kept)
        return false;
    ranking.insert(position, candidate);
    if (ranking.size() > kept)
        ranking.pop_back();
    return true;
}

std::vector<std::string> homesFromRanking(const Ranking& ranking, const HomeCount& count)
{
    const auto maximumPerZone = (count.homes + count.zones - 1) / std::max<std::size_t>(1, count.zones);
    std::vector<std::string> homes;
    std::vector<std::string> overflow;
    std::map<std::string_view, std::size_t> countByZone;
    for (const auto& candidate : ranking) {
        const bool isZoneFull = countByZone[candidate.daemon->zone] >= maximumPerZone;
        if (!isZoneFull)
            ++countByZone[candidate.daemon->zone];
        (isZoneFull ? overflow : homes).push_back(candidate.daemon->vm);
    }
    homes.insert(homes.end(), overflow.begin(), overflow.end());
    homes.resize(std::min(homes.size(), count.homes));
    return homes;
}

std::vector<std::string> selectHomes(std::string_view service, std::span<const Daemon> daemons, const HomeLimits& limits)
{
    std::vector<const Daemon*> all;
    for (const auto& daemon : daemons)
        all.push_back(&daemon);
    const auto count = countHomes(measureFleet(all), limits);
    return homesFromRanking(rankDaemons(service, all, count), count);
}

std::optional<std::size_t> homeOfOrganisation(std::span<const std::string> homes, std::string_view affinityKey)
{
    const auto best = std::max_element(homes.begin(), homes.end(), [&](const auto& left, const auto& right) { return hashing::rendezvousScore(left, affinityKey) < hashing::rendezvousScore(right, affinityKey); });
    return best == homes.end() ? std::nullopt : std::optional(static_cast<std::size_t>(best - homes.begin()));
}

std::string organisationKey(std::string_view service, std::string_view organisation)
{
    return organisation.empty() ? std::string() : std::string("organisation/").append(organisation).append("/").append(service);
}

std::optional<std::size_t> chooseHomeForStatement(std::span<const HomeState> homes, const Requester& requester)
{
    const auto rankOf = [&](const HomeState& home) {
        const auto affinity = hashing::rendezvousScore(home.vm, requester.vm);
        const auto organisationRank = requester.affinityKey.empty() ? 0 : std::numeric_limits<std::uint64_t>::max() - hashing::rendezvousScore(home.vm, requester.affinityKey);
        return std::tuple(home.isAvoided, reachRank(home, requester), home.isSilent, organisationRank, home.outstanding >= busyThreshold, crossings(home, requester), home.zone != requester.zone, home.outstanding, affinity);
    };
    const auto best = std::min_element(homes.begin(), homes.end(), [&](const auto& left, const auto& right) { return rankOf(left) < rankOf(right); });
    if (best == homes.end() || best->isAvoided)
        return std::nullopt;
    return static_cast<std::size_t>(best - homes.begin());
}

}

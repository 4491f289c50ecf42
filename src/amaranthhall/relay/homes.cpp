#include "amaranthhall/relay/homes.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace amaranthhall::relay {

namespace {

    constexpr std::size_t linksOfAHome = 3; // to each upstream: for its slots, and for a transaction that rests
    constexpr std::uint32_t keptFree = 2; // one connection of so many stays free, for daemons that start anew beside dead connections
    constexpr std::size_t fewestHomes = 2; // one may be lost
    constexpr std::size_t fewestOfMany = 3; // homes of a service, however many services there are
    constexpr std::size_t servicesOfADaemon = 12; // that an average one is a home of
    constexpr std::size_t mostHomes = 12; // all that start at once open their links in a fraction of a second
    constexpr std::size_t busyFrom = 4; // outstanding statements of one daemon; a way to another zone is then the shorter wait

    struct Candidate {
        const Daemon* daemon;
        double score;
    };

    std::vector<Candidate> rank(std::string_view service, std::span<const Daemon> daemons)
    {
        const auto key = "home/" + std::string(service);
        std::vector<Candidate> candidates;
        for (const auto& daemon : daemons)
            candidates.push_back({ .daemon = &daemon, .score = hashing::weightedScore(daemon.vm, key, daemon.cores) });
        std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
            return std::tie(left.score, left.daemon->vm) > std::tie(right.score, right.daemon->vm);
        });
        return candidates;
    }

    /// Ranks a home by what is known of its way to the leader, 0 first.
    int reachRank(const HomeState& home, const Seeker& seeker)
    {
        if (!seeker.needsLeader)
            return 0;
        const bool isProven = home.reach == engine::LeaderReach::Proven;
        if (seeker.seeksProof && !isProven)
            return home.reach == engine::LeaderReach::Denied ? 2 : 1;
        return home.reach == engine::LeaderReach::Denied ? 1 : 0;
    }

    std::size_t countZones(std::span<const Daemon> daemons)
    {
        std::map<std::string_view, int> zones;
        for (const auto& daemon : daemons)
            ++zones[daemon.zone];
        return zones.size();
    }

    std::vector<std::string> names(std::span<const Daemon> daemons)
    {
        std::vector<std::string> all;
        for (const auto& daemon : daemons)
            all.push_back(daemon.vm);
        return all;
    }

    std::size_t countHomes(std::size_t daemons, const HomeLimits& limits)
    {
        const auto byConnections = std::clamp<std::size_t>(limits.connections / keptFree / linksOfAHome, fewestHomes, mostHomes);
        const auto byServices = std::max(fewestOfMany, servicesOfADaemon * daemons / std::max<std::size_t>(1, limits.services));
        return std::min(byConnections, byServices);
    }

}

std::vector<std::string> chooseHomes(std::string_view service, std::span<const Daemon> daemons, const HomeLimits& limits)
{
    const auto count = countHomes(daemons.size(), limits);
    if (daemons.size() <= count)
        return names(daemons);
    const auto zones = countZones(daemons);
    const auto mostInZone = (count + zones - 1) / zones;
    std::vector<std::string> homes;
    std::vector<std::string> spare;
    std::map<std::string_view, std::size_t> inZone;
    for (const auto& candidate : rank(service, daemons)) {
        const bool isFull = inZone[candidate.daemon->zone] >= mostInZone;
        if (!isFull)
            ++inZone[candidate.daemon->zone];
        (isFull ? spare : homes).push_back(candidate.daemon->vm);
    }
    homes.insert(homes.end(), spare.begin(), spare.end());
    homes.resize(count);
    return homes;
}

std::optional<std::size_t> chooseHome(std::span<const HomeState> homes, const Seeker& seeker)
{
    const auto rankOf = [&](const HomeState& home) {
        const auto affinity = hashing::rendezvousScore(home.vm, seeker.vm);
        return std::tuple(home.isAvoided, reachRank(home, seeker), home.isSilent, home.outstanding >= busyFrom, home.zone != seeker.zone, home.outstanding, affinity);
    };
    const auto best = std::min_element(homes.begin(), homes.end(), [&](const auto& left, const auto& right) { return rankOf(left) < rankOf(right); });
    if (best == homes.end() || best->isAvoided)
        return std::nullopt;
    return static_cast<std::size_t>(best - homes.begin());
}

}

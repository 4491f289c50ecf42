#pragma once

#include "amaranthhall/engine/relay.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::relay {

/// @brief A live daemon that may hold connections to upstreams.
struct Daemon {
    std::string vm;
    std::string zone;
    double cores { 1 }; ///< Of its VM.
};

/// @brief Limits on the number of homes of a service.
struct HomeLimits {
    std::uint32_t connections { 0 }; ///< Allowed by each upstream of the service.
    std::size_t services { 1 }; ///< Number of services in the whole fleet.
    bool hasOrganisations { false }; ///< Connections belong to organisations.
};

/// @brief Number of homes of a service, and the zones over which they are distributed.
struct HomeCount {
    std::size_t homes { 0 };
    std::size_t zones { 1 }; ///< Zones that have daemons.

    friend bool operator==(const HomeCount&, const HomeCount&) = default;
};

/// @brief Size of the fleet, as far as the number of homes depends on it.
struct FleetSize {
    std::size_t daemons { 0 };
    std::size_t zones { 0 };
};

/// @brief Counts the daemons and their zones.
[[nodiscard]] FleetSize measureFleet(std::span<const Daemon* const> daemons);

/// @brief Computes how many homes a service has.
[[nodiscard]] HomeCount countHomes(const FleetSize& fleet, const HomeLimits& limits);

/// @brief A daemon that may be selected as a home of a service.
struct Candidate {
    double score { 0 }; ///< Weighted rendezvous hash; the highest scores are selected.
    const Daemon* daemon { nullptr };
};

/// @brief The best candidates for a service, best first.
using Ranking = std::vector<Candidate>;

/// @brief Ranks the daemons for a service and keeps only as many as the selection needs.
[[nodiscard]] Ranking rankDaemons(std::string_view service, std::span<const Daemon* const> daemons, const HomeCount& count);

/**
 * @brief Inserts an added daemon into a ranking, with the same result as rankDaemons().
 * @return True if the ranking changed.
 */
bool insertDaemon(Ranking& ranking, std::string_view service, const Daemon& daemon, const HomeCount& count);

/// @brief Selects the homes: the best candidates, with at most an even share per zone while other zones have candidates.
[[nodiscard]] std::vector<std::string> homesFromRanking(const Ranking& ranking, const HomeCount& count);

/**
 * @brief Selects the homes of a service: the daemons that hold the connections to its upstreams.
 *
 * Each home gets enough connections that an idle open transaction does not block it, and half of the connections that an upstream
 * allows stay free. Weighted rendezvous hashing makes all daemons select the same homes; larger VMs are selected more often, and
 * each zone gets an even share of the homes. The other daemons relay to them.
 *
 * With many services per daemon, each service has fewer homes, so that the load of a daemon does not grow with the fleet.
 *
 * @param daemons All daemons.
 */
[[nodiscard]] std::vector<std::string> selectHomes(std::string_view service, std::span<const Daemon> daemons, const HomeLimits& limits);

/// @brief State of a home as seen by the daemon that wants to relay a statement.
struct HomeState {
    std::string_view vm;
    std::string_view zone;
    bool isAvoided { false }; ///< The connection to it has recently failed or stalled.
    bool isSilent { false }; ///< Gossip has no recent sign of life of it.
    engine::LeaderReachability reach { engine::LeaderReachability::Unknown };
    std::size_t outstanding { 0 }; ///< Statements and open transactions it runs for this daemon.
};

/// @brief The daemon that wants to relay a statement, and the requirements of the statement.
struct Requester {
    std::string_view vm;
    std::string_view zone;
    bool needsLeader { false };
    std::string_view leaderZone; ///< Zone of the service's leader; empty if unknown.
    unsigned leaderRoundTrips { 0 }; ///< That the statement takes between home and leader.
    std::string_view affinityKey; ///< Of the organisation and service for which the statement runs; empty if any home is as good as another.
    bool prefersProvenReach { false }; ///< The leader was not reached on the usual path, so homes known to reach it go first.
};

/// @brief Returns the home that runs an organisation's statements while it is available; std::nullopt if there are no homes.
[[nodiscard]] std::optional<std::size_t> homeOfOrganisation(std::span<const std::string> homes, std::string_view affinityKey);

/// @brief Returns the key by which an organisation's homes of a service are ranked; empty for no organisation.
[[nodiscard]] std::string organisationKey(std::string_view service, std::string_view organisation);

/**
 * @brief Chooses the home for a statement: the least loaded one of those from which it crosses zones least often, unless all of them are busy.
 *
 * That is the requester's zone, but the leader's zone for a statement that takes several round trips to the leader.
 *
 * A home whose connection has just failed is never chosen: a daemon that reaches no home should open connections of its own.
 *
 * The statements of an organisation go to the home with the highest score for it, in any zone, as the links there can't be used for another organisation.
 *
 * Ties are broken by a hash of requester and home, so that daemons spread their statements over idle homes.
 *
 * @return Index of the home; nothing if none is usable.
 */
[[nodiscard]] std::optional<std::size_t> chooseHomeForStatement(std::span<const HomeState> homes, const Requester& requester);

}

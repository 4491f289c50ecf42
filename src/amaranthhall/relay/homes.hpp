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

/// @brief What bounds the number of homes of a service.
struct HomeLimits {
    std::uint32_t connections { 0 }; ///< That each upstream of the service allows.
    std::size_t services { 1 }; ///< Of the whole fleet.
};

/// @brief How many homes a service has, and how they spread.
struct HomeCount {
    std::size_t homes { 0 };
    std::size_t zones { 1 }; ///< That have daemons.

    friend bool operator==(const HomeCount&, const HomeCount&) = default;
};

/// @brief What the number of homes depends on, of all daemons.
struct FleetSize {
    std::size_t daemons { 0 };
    std::size_t zones { 0 };
};

/// @brief Measures a fleet.
[[nodiscard]] FleetSize measureFleet(std::span<const Daemon* const> daemons);

/// @brief Gives how many homes a service has.
[[nodiscard]] HomeCount countHomes(const FleetSize& fleet, const HomeLimits& limits);

/// @brief A daemon that may become a home of a service.
struct Candidate {
    double score { 0 }; ///< The higher, the sooner it is chosen.
    const Daemon* daemon { nullptr };
};

/// @brief The best candidates of a service, the best one first.
using Ranking = std::vector<Candidate>;

/// @brief Ranks the daemons for a service; more than can become homes are left out.
[[nodiscard]] Ranking rankDaemons(std::string_view service, std::span<const Daemon* const> daemons, const HomeCount& count);

/**
 * @brief Takes a daemon that has come into a ranking, as rankDaemons() would.
 * @return True if it is one of the best.
 */
bool insertDaemon(Ranking& ranking, std::string_view service, const Daemon& daemon, const HomeCount& count);

/// @brief Names the homes: the best candidates, but no more of a zone than its part while others have any.
[[nodiscard]] std::vector<std::string> homesFromRanking(const Ranking& ranking, const HomeCount& count);

/**
 * @brief Chooses the daemons that hold the connections to the upstreams of a service.
 *
 * A few do, each with enough links that a transaction which rests does not block it, and half of the connections stays free. They
 * are drawn by rendezvous hashing, so that all daemons choose alike, and the others relay to them. Larger VMs are drawn more often,
 * and each zone gets an even share of the homes.
 *
 * Where there are many services for each daemon, each has fewer homes, so that what a daemon holds does not grow with the fleet.
 *
 * @param daemons All daemons.
 */
[[nodiscard]] std::vector<std::string> selectHomes(std::string_view service, std::span<const Daemon> daemons, const HomeLimits& limits);

/// @brief A home as seen from a daemon that has a statement for it.
struct HomeState {
    std::string_view vm;
    std::string_view zone;
    bool isAvoided { false }; ///< The way to it has failed or fallen silent lately.
    bool isSilent { false }; ///< No daemon has heard of it lately.
    engine::LeaderReach reach { engine::LeaderReach::Unknown };
    std::size_t outstanding { 0 }; ///< Statements and open transactions that it runs for this daemon.
};

/// @brief The daemon that has a statement, and what it needs.
struct Requester {
    std::string_view vm;
    std::string_view zone;
    bool needsLeader { false };
    bool prefersProvenReach { false }; ///< The leader was not reached by the usual way, so that one goes before that is known to reach it.
};

/**
 * @brief Chooses the home for a statement: one in the daemon's own zone, unless all those are busy, and among them the least busy.
 *
 * None is chosen to which the way has just failed: a daemon that reaches no home is better off with links of its own.
 *
 * Daemons differ in the home that they take first, so that idle homes share the load.
 *
 * @return Index of the home; nothing if there is none that can be used.
 */
[[nodiscard]] std::optional<std::size_t> chooseHomeForStatement(std::span<const HomeState> homes, const Requester& requester);

}

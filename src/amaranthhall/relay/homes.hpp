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
[[nodiscard]] std::vector<std::string> chooseHomes(std::string_view service, std::span<const Daemon> daemons, const HomeLimits& limits);

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
struct Seeker {
    std::string_view vm;
    std::string_view zone;
    bool needsLeader { false };
    bool seeksProof { false }; ///< The leader was not reached by the usual way, so that one goes before that is known to reach it.
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
[[nodiscard]] std::optional<std::size_t> chooseHome(std::span<const HomeState> homes, const Seeker& seeker);

}

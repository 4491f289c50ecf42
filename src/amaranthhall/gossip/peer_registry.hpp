#pragma once

#include "amaranthhall/gossip/vm_profile.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Another daemon.
struct Peer {
    VmProfile profile;
    Time lastActivity; ///< Of its last datagram.
    Time addedAt; ///< When this daemon learned of it.
};

/// @brief The other daemons that this one knows.
class PeerRegistry {
public:
    static constexpr Duration livenessTimeout = std::chrono::milliseconds(1500); ///< A peer that was heard within this is alive.
    static constexpr Duration largeFleetLivenessTimeout = std::chrono::milliseconds(4000); ///< The same where news of most peers come by others.
    static constexpr std::size_t largeFleetSize = 30; ///< Peers from which on few datagrams come from each of them.
    static constexpr std::size_t otherZonesDivisor = 5; ///< In a large fleet one of so many drawn peers is in another zone.
    static constexpr Duration removalTimeout = std::chrono::seconds(10); ///< A peer that was not heard for this is dropped.
    static constexpr std::size_t hugeFleetSize = 500; ///< Peers from which on news of one come seldom.
    static constexpr Duration hugeFleetRemovalTimeout = std::chrono::seconds(30); ///< The span after which a peer of such a fleet is dropped.

    /// @brief Takes in that a peer exists.
    void add(std::string_view vm, const VmProfile& profile, Time now);

    /// @brief Takes in a datagram of a peer.
    void noteActivity(std::string_view vm, const VmProfile& profile, Time now);

    /// @brief Takes in that another daemon has heard of a peer, by its short id.
    void noteIndirectActivity(std::uint32_t id, Time lastActivity) noexcept;

    /// @brief Draws peers by their short ids, with the time since they were heard of, to tell others.
    [[nodiscard]] std::vector<std::pair<std::uint32_t, Duration>> sampleActivityAges(std::size_t count, Time now, Random& random) const;

    /// @brief Drops a peer that has left.
    void remove(std::string_view vm);

    /// @brief Drops peers that were silent for long.
    void removeInactive(Time now);

    /// @brief Draws peers to send to, live and silent ones alike; in a large fleet most of them in the given zone.
    [[nodiscard]] std::vector<kernel::Address> samplePeers(std::size_t count, std::string_view zone, Random& random) const;

    /// @brief Gives the names of the peers that are alive.
    [[nodiscard]] std::vector<std::string> liveNames(Time now) const;

    /// @brief Gives all peers by name.
    [[nodiscard]] const std::map<std::string, Peer, std::less<>>& all() const noexcept { return this->peers; }

    /// @brief Gives a number that changes when a peer comes, goes or changes its profile.
    [[nodiscard]] std::uint64_t membershipVersion() const noexcept { return this->changeCount; }

    [[nodiscard]] bool isLive(std::string_view vm, Time now) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return this->peers.size(); }
    [[nodiscard]] std::optional<kernel::Address> addressOf(std::string_view vm) const noexcept;

private:
    Peer& findOrAdd(std::string_view vm, const VmProfile& profile, Time now);
    [[nodiscard]] Duration currentLivenessTimeout() const noexcept { return this->peers.size() > largeFleetSize ? largeFleetLivenessTimeout : livenessTimeout; }

    [[nodiscard]] Duration currentRemovalTimeout() const noexcept { return this->peers.size() > hugeFleetSize ? hugeFleetRemovalTimeout : removalTimeout; }

    std::map<std::string, Peer, std::less<>> peers;
    std::unordered_map<std::uint32_t, Peer*> byId; ///< Into `peers`, by short id.
    std::uint64_t changeCount { 0 };
};

/**
 * @brief Ranks this daemon among the live ones for a task, 0 first, the same way on all daemons.
 * @param task Name of the task, so that tasks spread over daemons.
 */
[[nodiscard]] std::size_t rendezvousRank(std::string_view task, std::string_view self, const std::vector<std::string>& others);

}

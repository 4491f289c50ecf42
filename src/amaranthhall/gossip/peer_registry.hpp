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
    Time lastActivity; ///< When its last datagram was received, here or by another daemon that reported it.
    Time addedAt; ///< When this daemon first learned of it.
};

/// @brief The other daemons that this one knows.
class PeerRegistry {
public:
    static constexpr Duration livenessTimeout = std::chrono::milliseconds(1500); ///< A peer with activity within this time is live.
    static constexpr Duration largeFleetLivenessTimeout = std::chrono::milliseconds(4000); ///< The same in a large fleet, where activity of most peers is reported by others.
    static constexpr std::size_t largeFleetSize = 30; ///< With more peers than this, few datagrams come directly from each of them.
    static constexpr std::size_t zonedFleetSize = 12; ///< With more peers than this, most sampled peers are in the own zone, which passes on what it learns of the others.
    static constexpr std::size_t otherZonesDivisor = 5; ///< One of five sampled peers is then in another zone.
    static constexpr Duration removalTimeout = std::chrono::seconds(10); ///< A peer without activity for this time is removed.
    static constexpr std::size_t hugeFleetSize = 500; ///< With more peers than this, activity of each of them is rarely reported.
    static constexpr Duration hugeFleetRemovalTimeout = std::chrono::seconds(30); ///< Removal timeout in such a fleet.

    /// @brief Adds a peer or updates its profile, without counting as activity.
    void add(std::string_view vm, const VmProfile& profile, Time now);

    /// @brief Records a datagram from a peer; adds the peer or updates its profile.
    void noteActivity(std::string_view vm, const VmProfile& profile, Time now);

    /// @brief Records activity of a peer that another daemon reports, by its short id; unknown peers are ignored.
    void noteIndirectActivity(std::uint32_t id, Time lastActivity) noexcept;

    /// @brief Returns a random sample of the live peers: short id and time since the last activity.
    [[nodiscard]] std::vector<std::pair<std::uint32_t, Duration>> sampleActivityAges(std::size_t count, Time now, Random& random) const;

    /// @brief Removes a peer that has left.
    void remove(std::string_view vm);

    /// @brief Removes peers without activity for the removal timeout.
    void removeInactive(Time now);

    /// @brief Addresses of peers; in a small fleet, zones are not distinguished and all are in `sameZone`.
    struct Sample {
        std::vector<kernel::Address> sameZone;
        std::vector<kernel::Address> otherZones;
    };

    /// @brief Returns a random sample of peers, live or not; unless the fleet is small, most of them are in the given zone.
    [[nodiscard]] Sample samplePeers(std::size_t count, std::string_view zone, Random& random) const;

    /// @brief Returns the names of the live peers.
    [[nodiscard]] std::vector<std::string> liveNames(Time now) const;

    /// @brief Returns all peers, live or not, by name.
    [[nodiscard]] const std::map<std::string, Peer, std::less<>>& all() const noexcept { return this->peers; }

    /// @brief Returns a number that changes when a peer is added or removed or its profile changes.
    [[nodiscard]] std::uint64_t membershipVersion() const noexcept { return this->changeCount; }

    [[nodiscard]] bool isLive(std::string_view vm, Time now) const noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return this->peers.size(); }
    [[nodiscard]] std::optional<kernel::Address> addressOf(std::string_view vm) const noexcept;

private:
    Peer& findOrAdd(std::string_view vm, const VmProfile& profile, Time now);
    [[nodiscard]] Duration currentLivenessTimeout() const noexcept { return this->peers.size() > largeFleetSize ? largeFleetLivenessTimeout : livenessTimeout; }

    [[nodiscard]] Duration currentRemovalTimeout() const noexcept { return this->peers.size() > hugeFleetSize ? hugeFleetRemovalTimeout : removalTimeout; }

    std::map<std::string, Peer, std::less<>> peers;
    std::unordered_map<std::uint32_t, Peer*> byId; ///< Points into `peers`, by short id.
    std::uint64_t changeCount { 0 };
};

/**
 * @brief Returns the rank of this daemon for a task by rendezvous hashing; 0 is first. All daemons that know the same peers agree on the ranks.
 * @param task Name of the task; different tasks rank the daemons differently, which spreads them.
 */
[[nodiscard]] std::size_t rendezvousRank(std::string_view task, std::string_view self, const std::vector<std::string>& others);

}

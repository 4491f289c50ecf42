#pragma once

#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/kernel/datagram_socket.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Exchanges digests with other daemons by UDP datagrams.
class GossipNode {
public:
    /// @brief Peers that receive the reports of the same services.
    struct Audience {
        std::vector<std::string> peers;
        std::vector<std::string> services; ///< Sorted.
        std::size_t senders { 1 }; ///< Number of daemons that send reports of these services to these peers, including this one.
        bool isOtherZone { false }; ///< The peers are in other zones than this daemon.
    };

    /**
     * @brief Returns the number of rounds per datagram to an audience.
     *
     * The interval grows with the number of senders, so that the rate at which a peer receives datagrams is bounded for services with many homes.
     */
    [[nodiscard]] static unsigned roundsPerSend(const Audience& audience) noexcept;

    /// @brief Functions that the owner of a node provides.
    struct Callbacks {
        std::function<void(Digest&)> fill; ///< Adds the local state to an outgoing digest.
        std::function<void(const Digest&)> received; ///< A digest has arrived.
        std::function<bool(std::string_view)> otherDatagram { [](auto) { return false; } }; ///< Handles a datagram that is no digest; returns whether it did.
        std::function<const std::vector<Audience>&()> audiences; ///< Peers that hold links to the same services.
    };

    struct Options {
        std::string vm;
        VmProfile profile; ///< Profile of this daemon's VM.
        std::vector<kernel::Address> seeds; ///< Daemons that are asked for the addresses of others.
        std::uint64_t seed { 0 }; ///< Seed of the random choice of peers.
    };

    GossipNode(kernel::Loop& loop, Options options, Callbacks callbacks, telemetry::ZoneTraffic& traffic);

    /// @brief Requests digests and peer addresses from the seeds every 40 ms until stopDiscovery() is called.
    void startDiscovery();
    void stopDiscovery() { this->discoveryTimer.reset(); }

    /// @brief Sends a digest to many peers and to all audiences in the next iteration of the loop.
    void sendUrgently();

    /// @brief Sends a digest to many peers at once.
    void sendWidely() { this->sendRound(urgentFanOut); }

    /// @brief Sends a datagram that is no digest to the address on which a daemon receives digests.
    void sendDatagram(const kernel::Address& to, std::string_view bytes) { this->socket.send(to, bytes); }

    [[nodiscard]] PeerRegistry& peers() noexcept { return this->registry; }

private:
    static constexpr std::size_t urgentFanOut = 40; ///< Peers that receive an urgent digest.

    void sendRound(std::size_t fanOut);
    void receive(std::string_view bytes);
    void sendToAudiences(bool isUrgent);
    [[nodiscard]] bool isDue(const Audience& audience, const Digest& filtered) const;
    [[nodiscard]] bool hasUnsentReports(const Digest& digest) const;
    void recordSent(const Digest& digest);
    void excludeAudienceLeaders(Digest& digest) const;
    [[nodiscard]] Digest makeDigest();
    void addActivityAges(Digest& digest);
    void send(std::span<const kernel::Address> targets, const Digest& digest);
    void noteFormat(const Digest& digest);
    [[nodiscard]] WireFormat formatOf(const kernel::Address& peer) const noexcept { return this->plainPeers.contains(peer) ? WireFormat::PlainVersions : WireFormat::VersionsWithEra; }

    kernel::Loop& loop;
    Options options;
    Callbacks callbacks;
    PeerRegistry registry;
    std::map<std::string, freshness::Micros, std::less<>> lastSentEvidence; ///< By service: time of the leader evidence that was last sent to an audience.
    unsigned audienceRound { 0 };
    telemetry::ZoneTraffic& traffic;
    std::set<kernel::Address> plainPeers; ///< Daemons that read WireFormat::PlainVersions only.
    Random random;
    kernel::DatagramSocket socket;
    kernel::Registration timer;
    kernel::Registration audienceTimer;
    kernel::Registration urgentTimer;
    kernel::Registration discoveryTimer;
};

}

#pragma once

#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/kernel/datagram_socket.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Tells other daemons what this one knows, and takes in what they know, by datagrams.
class GossipNode {
public:
    /// @brief Peers that are told of some services each time.
    struct Audience {
        std::vector<std::string> peers;
        std::vector<std::string> services; ///< In order.
        std::size_t senders { 1 }; ///< Daemons that tell them of these services, this one among them.
    };

    /**
     * @brief Gives how many rounds lie between two datagrams to an audience.
     *
     * Answers services with many homes: what one of them hears stays the same, however many tell it.
     */
    [[nodiscard]] static unsigned roundsPerSend(const Audience& audience) noexcept;

    /// @brief What a node asks of its owner.
    struct Callbacks {
        std::function<void(Digest&)> fill; ///< Puts in what is to be told.
        std::function<void(const Digest&)> received;
        std::function<const std::vector<Audience>&()> audiences; ///< Peers that hold links to the same services.
    };

    /// @brief How a node is built.
    struct Options {
        std::string vm;
        VmProfile profile; ///< Of this daemon's VM.
        std::vector<kernel::Address> seeds; ///< Daemons to ask for others.
        std::uint64_t seed { 0 }; ///< Of the draws of peers.
    };

    GossipNode(kernel::Loop& loop, Options options, Callbacks callbacks);

    /// @brief Asks the seeds for news and for other daemons every few milliseconds, until it is told to stop.
    void startDiscovery();
    void stopDiscovery() { this->discoveryTimer.reset(); }

    /// @brief Tells news at once, to many peers.
    void sendUrgently();

    [[nodiscard]] PeerRegistry& peers() noexcept { return this->registry; }

private:
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

    kernel::Loop& loop;
    Options options;
    Callbacks callbacks;
    PeerRegistry registry;
    std::map<std::string, freshness::Micros, std::less<>> lastSentEvidence; ///< Moment of the evidence that audiences were last told, by service.
    unsigned audienceRound { 0 };
    Random random;
    kernel::DatagramSocket socket;
    kernel::Registration timer;
    kernel::Registration audienceTimer;
    kernel::Registration urgentTimer;
    kernel::Registration discoveryTimer;
};

}

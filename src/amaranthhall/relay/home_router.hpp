#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/relay.hpp"
#include "amaranthhall/gossip/gossip_node.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/relay/homes.hpp"
#include "amaranthhall/relay/relay_client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::relay {

/// @brief Knows the homes of each service: the daemons that hold connections to its upstreams.
class HomeRouter final : public engine::RelayRouter {
public:
    /// @brief How a router is built.
    struct Options {
        std::string vm;
        std::string zone;
        double cores { 1 }; ///< Of this VM.
        std::uint16_t relayPort { 0 }; ///< The same on all daemons.
    };

    HomeRouter(kernel::Loop& loop, const catalog::Catalog& catalog, gossip::PeerRegistry& peers, Options options);

    [[nodiscard]] bool isHome(std::string_view service) override;
    [[nodiscard]] std::unique_ptr<engine::RelayStream> open(const engine::RelayWant& want) override;
    void noteReach(std::string_view service, const std::string& vm, engine::LeaderReach reach) override;

    /**
     * @brief Chooses the homes anew if daemons, services or their limits have changed since. Between two calls the choice stays.
     * @return True if they had.
     */
    bool refresh();

    /// @brief Gives the services that this daemon is a home of, in order.
    [[nodiscard]] const std::vector<std::string>& homed();

    /// @brief Gives the other homes of those services, where not all daemons are homes; homes of the same services stand together.
    [[nodiscard]] const std::vector<gossip::GossipNode::Audience>& audiences();

    /// @brief Gives the homes of a service.
    [[nodiscard]] const std::vector<std::string>& homes(std::string_view service);

    /// @brief Gives the daemons that share the connections of a service; 0 if this one keeps none.
    [[nodiscard]] std::size_t sharers(std::string_view service);

private:
    /// What the choice depends on.
    struct Basis {
        std::uint64_t membership { 0 };
        std::uint64_t limits { 0 };
        std::size_t services { 0 };

        friend bool operator==(const Basis&, const Basis&) = default;
    };

    /// What was last learned of a home's way to the leader.
    struct Reach {
        engine::LeaderReach reach { engine::LeaderReach::Unknown };
        Time at;
    };

    using Daemons = std::map<std::string, Daemon, std::less<>>;

    /// Daemons that came and went since the last choice.
    struct Membership {
        std::vector<const Daemon*> came;
        std::vector<Daemons::node_type> went; ///< Rankings point to them until they are updated.
    };

    struct Choice {
        HomeCount count;
        Ranking ranking;
        std::vector<std::string> homes;
        bool isHome { false }; ///< This daemon is one of them.
        std::map<std::string, Reach> reaches; ///< By home.
    };

    [[nodiscard]] Basis basis() const noexcept;
    [[nodiscard]] engine::LeaderReach reachOf(const Choice& choice, const std::string& vm, Time now) const;
    [[nodiscard]] Choice& choiceFor(std::string_view service);
    [[nodiscard]] HomeCount countFor(std::string_view service) const;
    void computeWhole(Choice& choice, std::string_view service) const;
    void pick(Choice& choice) const;
    void update(Choice& choice, std::string_view service, const Membership& changes) const;
    [[nodiscard]] Membership takeMembership();
    void listHomed();
    void ensureChosen();
    void listAudiences();

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    gossip::PeerRegistry& peers;
    Options options;
    RelayClient client;
    std::optional<Basis> computedFrom;
    Daemons daemons; ///< This one and its peers, by VM.
    std::vector<const Daemon*> listed; ///< All of them.
    FleetSize fleet;
    std::map<std::string, Choice, std::less<>> chosen; ///< By service.
    std::vector<std::string> homedServices;
    std::vector<gossip::GossipNode::Audience> homeAudiences;
};

}

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

/**
 * @brief Selects the home daemons of each service and opens relay streams to them.
 *
 * The homes of a service are the daemons that hold connections to its upstreams; all other daemons relay statements to a home.
 */
class HomeRouter final : public engine::RelayRouter {
public:
    /// @brief Properties of this daemon.
    struct Options {
        std::string vm;
        std::string zone;
        double cores { 1 }; ///< Of this VM.
        std::uint16_t relayPort { 0 }; ///< All daemons listen on the same port.
        telemetry::ZoneTraffic* traffic { nullptr }; ///< Counts the bytes of relayed statements; may be null.
    };

    HomeRouter(kernel::Loop& loop, const catalog::Catalog& catalog, gossip::PeerRegistry& peers, Options options);

    [[nodiscard]] bool hasLocalConnections(std::string_view service) override;
    [[nodiscard]] bool isHomeOf(std::string_view service, std::string_view organisation) override;
    [[nodiscard]] std::unique_ptr<engine::RelayStream> open(const engine::RelayRequirements& want) override;
    void noteLeaderReachability(std::string_view service, const std::string& vm, engine::LeaderReachability reach) override;

    /**
     * @brief Selects the homes again if daemons, services or their limits have changed since the last call. The selection changes only here.
     * @return True if any of them had changed.
     */
    bool refresh();

    /// @brief Returns the services of which this daemon is a home, sorted by name.
    [[nodiscard]] const std::vector<std::string>& localServices();

    /**
     * @brief Returns the other homes of the services of this daemon, grouped by the set of services they have in common with it.
     *
     * Services of which every daemon is a home are left out.
     */
    [[nodiscard]] const std::vector<gossip::GossipNode::Audience>& audiences();

    /// @brief Returns the homes of a service.
    [[nodiscard]] const std::vector<std::string>& homes(std::string_view service);

    /// @brief Returns the number of daemons that share the connections of a service; 0 if this daemon is not one of them.
    [[nodiscard]] std::size_t sharers(std::string_view service);

private:
    /// Versions of everything the selection depends on.
    struct ChoiceInputs {
        std::uint64_t membership { 0 };
        std::uint64_t limits { 0 };
        std::size_t services { 0 };

        friend bool operator==(const ChoiceInputs&, const ChoiceInputs&) = default;
    };

    /// The last known reachability of the leader from a home.
    struct ReachObservation {
        engine::LeaderReachability reach { engine::LeaderReachability::Unknown };
        Time at;
    };

    using Daemons = std::map<std::string, Daemon, std::less<>>;

    /// Daemons added and removed since the last selection.
    struct MembershipChanges {
        std::vector<const Daemon*> added;
        std::vector<Daemons::node_type> removed; ///< Kept alive because rankings point to them until they are updated.
    };

    struct Choice {
        HomeCount count;
        Ranking ranking;
        std::vector<std::string> homes;
        bool hasLocalConnections { false }; ///< This daemon is one of the homes.
        std::map<std::string, ReachObservation> reaches; ///< By home.
    };

    [[nodiscard]] ChoiceInputs currentInputs() const noexcept;
    [[nodiscard]] bool runsOrganisations(const std::string& vm) const;
    [[nodiscard]] std::string_view leaderZoneOf(std::string_view service) const;
    [[nodiscard]] engine::LeaderReachability knownReach(const Choice& choice, const std::string& vm, Time now) const;
    [[nodiscard]] Choice& choiceFor(std::string_view service);
    [[nodiscard]] HomeCount countFor(std::string_view service) const;
    void recompute(Choice& choice, std::string_view service) const;
    void selectHomesFor(Choice& choice) const;
    void updateChoice(Choice& choice, std::string_view service, const MembershipChanges& changes) const;
    [[nodiscard]] MembershipChanges updateMembership();
    void rebuildLocalServices();
    void ensureComputed();
    void rebuildAudiences();

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    gossip::PeerRegistry& peers;
    Options options;
    RelayClient client;
    std::optional<ChoiceInputs> choiceInputs;
    Daemons daemons; ///< This daemon and its peers, by VM.
    std::vector<const Daemon*> daemonList; ///< Pointers to all elements of `daemons`.
    FleetSize fleetSize;
    std::map<std::string, Choice, std::less<>> choices; ///< By service.
    std::vector<std::string> localServiceNames;
    std::vector<gossip::GossipNode::Audience> audienceList;
};

}

#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/engine/relay.hpp"
#include "amaranthhall/gossip/peer_book.hpp"
#include "amaranthhall/relay/relay_client.hpp"

#include <map>
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

    HomeRouter(kernel::Loop& loop, const catalog::Catalog& catalog, gossip::PeerBook& peers, Options options);

    [[nodiscard]] bool isHome(std::string_view service) override;
    [[nodiscard]] std::unique_ptr<engine::RelayStream> open(std::string_view service, const std::vector<std::string>& tried) override;

    /// @brief Chooses the homes anew from the daemons that are alive now.
    void refresh();

    /// @brief Gives the homes of a service.
    [[nodiscard]] const std::vector<std::string>& homes(std::string_view service);

    /// @brief Gives the daemons that share the connections of a service; 0 if this one keeps none.
    [[nodiscard]] std::size_t sharers(std::string_view service);

private:
    [[nodiscard]] std::vector<std::string> compute(std::string_view service) const;

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    gossip::PeerBook& peers;
    Options options;
    RelayClient client;
    std::map<std::string, std::vector<std::string>, std::less<>> chosen; ///< By service.
};

}

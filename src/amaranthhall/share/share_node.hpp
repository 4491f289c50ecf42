#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/share/lease_grantor.hpp"
#include "amaranthhall/share/share_coordinator.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthhall::share {

/// @brief A renewal that has no answer yet.
struct SentRenewal {
    std::string grantor;
    Epoch epoch { 0 };
    Time sentAt;
};

/// @brief Connection shares of one daemon: its ledger, and its parts as grantor and as dealer.
struct ShareNode {
    Ledger ledger;
    LeaseGrantor grantor;
    ShareCoordinator coordinator;
    ConnectionCounts limits;
    std::vector<membership::Member> members;
    std::map<std::uint64_t, SentRenewal> renewals;
    std::set<std::uint64_t> learnRequestIds;
    Time lastRenewal;
    Time nextRenewal;
    Time nextRead;
    Time nextRebalance;
};

/// @brief Makes the node of a process that holds nothing yet.
[[nodiscard]] ShareNode makeShareNode(const Process& self, const ShareOptions& options);

/// @brief Does what is due; call every 100 ms or so.
void tickNode(ShareNode& node, Time now, Random& random, Actions& actions);

/// @brief Takes in a peer's request; a Reply with the ticket follows at once or later.
void receiveRequest(ShareNode& node, std::uint64_t ticket, const Request& request, Time now, Actions& actions);

/// @brief Takes in the answer to a Send, or nothing if it failed.
void receiveResponse(ShareNode& node, std::uint64_t id, const std::optional<Response>& response, Time now, Actions& actions);

/**
 * @brief Takes in the row as read from the table service.
 * @param startedAt When the read was begun; what it says was true no earlier.
 */
void receiveRow(ShareNode& node, std::uint64_t version, const std::optional<EpochRecord>& record, Time startedAt, Time now);

/// @brief Takes in the list of VMs as read from the platform.
void receiveVms(ShareNode& node, std::set<std::string> vms);

/// @brief Takes in which daemons are here.
void receiveMembers(ShareNode& node, std::span<const membership::Member> members);

/// @brief Takes in the pool's use of an upstream's connections.
void receiveUse(ShareNode& node, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions);

}

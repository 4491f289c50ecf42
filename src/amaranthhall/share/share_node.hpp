#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/share/lease_grantor.hpp"
#include "amaranthhall/share/share_coordinator.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthhall::share {

/// @brief A lease renewal that has no response yet.
struct SentRenewal {
    std::string grantor;
    Epoch epoch { 0 };
    Time sentAt;
};

/// @brief Connection share state of one daemon: its ledger, and its roles as grantor and coordinator.
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

/// @brief Creates the state of a process without any holdings.
[[nodiscard]] ShareNode makeShareNode(const Process& self, const ShareOptions& options);

/// @brief Performs all due work; called periodically, about every 100 ms or more often.
void tickNode(ShareNode& node, Time now, Random& random, Actions& actions);

/// @brief Handles a peer's request. A SendReply with the ticket follows immediately or later.
void receiveRequest(ShareNode& node, std::uint64_t ticket, const Request& request, Time now, Actions& actions);

/// @brief Handles the response to a SendRequest, which is empty if the request failed.
void receiveResponse(ShareNode& node, std::uint64_t id, const std::optional<Response>& response, Time now, Actions& actions);

/**
 * @brief Handles the epoch record as read from the platform's store.
 * @param startedAt Time at which the read began. The record was current at this time or later.
 */
void receiveRow(ShareNode& node, std::uint64_t version, const std::optional<EpochRecord>& record, Time startedAt, Time now);

/// @brief Handles the list of VMs as read from the platform.
void receiveVms(ShareNode& node, std::set<std::string> vms);

/// @brief Updates the members of the fleet.
void receiveMembers(ShareNode& node, std::span<const membership::Member> members);

/// @brief Updates the pool's use of an upstream's connections.
void receiveUse(ShareNode& node, const group::UpstreamId& id, const ShareUse& use, Time now, Actions& actions);

}

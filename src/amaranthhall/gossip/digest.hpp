#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/gossip/vm_profile.hpp"
#include "amaranthhall/gossip/wire_format.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/store/copy_state.hpp"
#include "amaranthhall/store/store.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Evidence that an upstream was the leader of its service. Times are on the store's clock, so that all daemons can compare them.
struct LeaderReport {
    std::string service;
    std::string upstream;
    group::Term term { 0 }; ///< Term of its leadership; the last entry of its log may be of an earlier term.
    group::LogPoint point;
    freshness::Micros at { 0 };
    bool hasRecentAnswer { false }; ///< The sender itself has recently received an answer from that upstream.
};

/// @brief The sender's own suspicion that the primary of a service is down; suspicions of other daemons are not forwarded.
struct SuspicionReport {
    std::string service;
    std::string upstream;
    bool isRefusing { false }; ///< The primary refuses or resets connections, rather than not answering.
};

/// @brief A promotion that a daemon ordered.
struct PromotionReport {
    std::string service;
    std::string candidate;
    store::Version fence; ///< Fencing token of the order.
    freshness::Micros at { 0 };
    bool isLeading { false }; ///< The candidate reports that it is the leader.
    group::Term term { 0 }; ///< Term of its leadership; 0 while it is not the leader.
};

/// @brief An order of promotion that may still be carried out.
struct PendingOrderReport {
    std::string candidate;
    store::Version fence; ///< Fencing token of the order.

    friend bool operator==(const PendingOrderReport&, const PendingOrderReport&) = default;
};

/// @brief The orders of a service that may still be carried out, as the newest row of its lease that the sender knows records them.
struct PendingOrdersReport {
    std::string service;
    store::Version version; ///< Version of the row.
    std::vector<PendingOrderReport> orders;

    friend bool operator==(const PendingOrdersReport&, const PendingOrdersReport&) = default;
};

/// @brief How much a daemon has of each store table.
struct TableCopies {
    store::CopyState configuration;
    store::CopyState upstreams;
    store::CopyState fleet;
};

/// @brief Time since the last known activity of a daemon.
struct ActivityAge {
    std::uint32_t shortId { 0 }; ///< See hashing::shortId().
    std::chrono::milliseconds age { 0 };
};

/// @brief Content of a gossip datagram.
struct Digest {
    std::string vm;
    WireFormat format { WireFormat::VersionsWithEra }; ///< In which it was received.
    VmProfile profile; ///< Profile of the sender's VM.
    bool requestsPeers { false }; ///< The sender requests the addresses of other daemons.
    TableCopies copies;
    std::uint64_t configurationVersion { 0 }; ///< Operators' version of the configuration in force; 0 if the sender has none or does not send it.
    std::vector<LeaderReport> leaders;
    std::vector<SuspicionReport> suspicions;
    std::vector<PromotionReport> orders;
    std::vector<ActivityAge> activityAges; ///< Of a sample of the daemons that the sender considers live.
    std::vector<kernel::Address> peers; ///< Response to `requestsPeers`.
    std::vector<PendingOrdersReport> pendingOrders; ///< Of services with synchronous replicas.
    freshness::Micros pendingOrdersAt { 0 }; ///< Store time up to which the sender tells its own; 0 where no service has synchronous replicas.
};

/**
 * @brief Returns a copy of a digest that has only the reports of the given services; pending orders are kept, as another daemon may know more of its services.
 * @param services Names of services, sorted.
 */
[[nodiscard]] Digest filterServices(const Digest& digest, std::span<const std::string> services);

/// @brief Encodes a digest as MessagePack, in the format that its receivers read.
[[nodiscard]] std::string encodeDigest(const Digest& digest, WireFormat format = WireFormat::VersionsWithEra);

/// @brief Decodes a digest of any format; returns std::nullopt if it is malformed.
[[nodiscard]] std::optional<Digest> decodeDigest(std::string_view bytes);

}

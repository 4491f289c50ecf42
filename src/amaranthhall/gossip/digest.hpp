#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/gossip/vm_profile.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/store/store.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::gossip {

/// @brief Evidence that an upstream led; moments are store time, so that all daemons can compare them.
struct LeaderReport {
    std::string service;
    std::string upstream;
    group::Term term { 0 }; ///< In which it leads; its log may end in an entry of an earlier term.
    group::LogPoint point;
    freshness::Micros at { 0 };
    bool hasRecentAnswer { false }; ///< The sender itself has lately had an answer of that upstream.
};

/// @brief The sender's own suspicion that the primary of a service is down.
struct SuspicionReport {
    std::string service;
    std::string upstream;
    bool isRefusing { false };
};

/// @brief A promotion that was ordered.
struct PromotionReport {
    std::string service;
    std::string candidate;
    store::Version fence;
    freshness::Micros at { 0 };
    bool isLeading { false }; ///< The candidate says that it leads.
    group::Term term { 0 }; ///< In which it leads; 0 while it does not.
};

/// @brief Newest versions of the store's tables that a daemon knows.
struct TableVersions {
    store::Version configuration;
    store::Version upstreams;
    store::Version fleet;
};

/// @brief How long ago a daemon was heard of.
struct ActivityAge {
    std::uint32_t shortId { 0 }; ///< Its short id.
    std::chrono::milliseconds age { 0 };
};

/// @brief What one daemon tells another in a datagram.
struct Digest {
    std::string vm;
    VmProfile profile; ///< Of the sender's VM.
    bool requestsPeers { false }; ///< The sender asks for the addresses of other daemons.
    TableVersions versions;
    std::vector<LeaderReport> leaders;
    std::vector<SuspicionReport> suspicions;
    std::vector<PromotionReport> orders;
    std::vector<ActivityAge> activityAges; ///< Of daemons that the sender has heard of lately.
    std::vector<kernel::Address> peers; ///< Answer to `requestsPeers`.
};

/**
 * @brief Gives a digest without the news of other services.
 * @param services Names in order.
 */
[[nodiscard]] Digest filterServices(const Digest& digest, std::span<const std::string> services);

/// @brief Encodes a digest as MessagePack.
[[nodiscard]] std::string encodeDigest(const Digest& digest);

/// @brief Decodes a digest; gives nothing if it is malformed.
[[nodiscard]] std::optional<Digest> decodeDigest(std::string_view bytes);

}

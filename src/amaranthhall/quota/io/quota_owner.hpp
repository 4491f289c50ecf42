#pragma once

#include "amaranthhall/catalog/catalog.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/quota/io/transport.hpp"
#include "amaranthhall/quota/ownership.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthhall::quota {

/// @brief Keeps the buckets of the organisations that this daemon owns and grants tokens from them.
class QuotaOwner {
public:
    QuotaOwner(kernel::Loop& loop, const catalog::Catalog& catalog, Transport& transport, WindowBound bound, telemetry::Metrics& metrics);

    void onGrantRequest(const Message& message, const GrantRequestMessage& request);
    void onReleaseRequest(const Message& message);
    void onRelease(const Message& message, const ReleaseMessage& release);
    void onLeaseRequest(const Message& message, const LeaseRequestMessage& request);
    void onLease(const Message& message, const LeaseMessage& lease);

    /// @brief Hands all buckets over to the daemons that own them next, because this one stops.
    void handOver();

    /// @brief Drops all buckets, because this daemon was suspended and others may own them now.
    void dropAll();

    /// @brief Removes what is known of organisations that have not been used for long.
    void removeUnused();

private:
    /// A request that waits for the end of an adoption.
    struct PendingRequest {
        Message message;
        GrantRequestMessage request;
    };

    struct Entry {
        Ownership ownership;
        catalog::OperationLimit limit; ///< In force.
        std::uint64_t limitVersion { 0 }; ///< Of the configuration that set the limit.
        std::vector<PendingRequest> pending;
        kernel::Registration adoptionTimer;
        kernel::Registration leaseTimer; ///< While this daemon is the owner.
        std::uint32_t daemons { 0 }; ///< Size of the fleet according to a holder.
        bool isConfirming { false }; ///< The voters have been asked for the first leases, and requests wait for their replies.
        bool wasSupported { true }; ///< At the last renewal, the whole limit was supported.
        Time supportLoggedAt;
        Time ownerLoggedAt; ///< When a change of the owner was last logged.
    };

    /// A vote of this daemon.
    struct Vote {
        Lease lease;
        Time usedAt;
    };

    void updateLimit(Entry& entry, const std::string& organisation, const GrantRequestMessage& request) const;
    void adopt(Entry& entry, const std::string& organisation, const std::vector<std::string>& unreachable);
    void continueAdoption(Entry& entry, const std::string& organisation);
    void askPredecessors(const Entry& entry, const std::string& organisation);
    void flushPending(const std::string& organisation);
    void servePending(Entry& entry);
    void startLeases(Entry& entry, const std::string& organisation);
    void renewLeases(Entry& entry, const std::string& organisation);
    void askVoters(Entry& entry, const std::string& organisation);
    void endConfirmation(Entry& entry);
    [[nodiscard]] bool mayLogChange(Entry& entry) const;
    void logSupport(Entry& entry, const std::string& organisation);
    [[nodiscard]] std::size_t countVoters(const Entry& entry) const;
    void reply(const Message& message, GrantMessage grant);
    void redirect(const Message& message, const GrantRequestMessage& request, const std::string& successor, const kernel::Address& address);
    [[nodiscard]] bool ranksBeforeSelf(std::string_view vm, std::string_view organisation);
    [[nodiscard]] Room roomOf(const Entry& entry) const;

    kernel::Loop& loop;
    const catalog::Catalog& catalog;
    Transport& transport;
    WindowBound bound;
    prometheus::Counter& grantedTokens;
    prometheus::Counter& startedBuckets;
    prometheus::Counter& adoptedBuckets;
    std::uint64_t lastRelease; ///< Number of the last release; starts at random, as a restarted daemon must not repeat one.
    prometheus::Counter& leaseRequests;
    prometheus::Counter& refusedLeases;
    prometheus::Counter& unsupportedRequests;
    prometheus::Counter& yieldedBuckets;
    prometheus::Counter& announcedShares;
    Time startedAt;
    std::map<std::string, Entry, std::less<>> entries; ///< By organisation.
    std::map<std::string, Vote, std::less<>> votes; ///< By organisation.
};

}

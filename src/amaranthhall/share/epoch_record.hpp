#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/kernel/address.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthhall::share {

/// @brief Number of a share allocation. A conditional write to the store assigns each number to a single coordinator.
using Epoch = std::uint64_t;

/// @brief Number of connections by upstream.
using ConnectionCounts = std::map<group::UpstreamId, std::uint32_t>;

/// @brief Identifies one run of a daemon on a VM; a restarted daemon is a different process.
struct Process {
    std::string vm;
    std::uint64_t startTime { 0 }; ///< Milliseconds since 1970 (Unix time).
    kernel::Address address; ///< Listen address for requests from other daemons.

    friend auto operator<=>(const Process&, const Process&) = default;
};

/// @brief Lease grantors, known lease holders and connection limits of an epoch.
struct EpochConfiguration {
    Epoch epoch { 0 };
    std::vector<Process> grantors; ///< A lease has to be granted by a majority of them.
    std::vector<Process> holders; ///< Holders migrated by the coordinator. Holders that join later are known to the grantors only.
    ConnectionCounts limits;

    friend bool operator==(const EpochConfiguration&, const EpochConfiguration&) = default;
};

/// @brief Content of the row in the platform's store that numbers the epochs. There is one such row.
struct EpochRecord {
    EpochConfiguration current;
    Process coordinator;
    std::vector<EpochConfiguration> earlierEpochs; ///< Epochs whose leases may not have expired yet.
    bool settled { false }; ///< The coordinator has completed the reallocation; `earlierEpochs` is empty.

    friend bool operator==(const EpochRecord&, const EpochRecord&) = default;
};

}

#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/kernel/address.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranthhall::share {

/// @brief Number of a dealing of shares; the store gives each number to one dealer.
using Epoch = std::uint64_t;

/// @brief Connections by upstream.
using ConnectionCounts = std::map<group::UpstreamId, std::uint32_t>;

/// @brief One run of a daemon on a VM; a restart is another one.
struct Process {
    std::string vm;
    std::uint64_t startTime { 0 }; ///< Milliseconds since 1970.
    kernel::Address address; ///< Where it takes calls of other daemons.

    friend auto operator<=>(const Process&, const Process&) = default;
};

/// @brief Who grants the leases of an epoch, and who is known to hold one.
struct EpochConfiguration {
    Epoch epoch { 0 };
    std::vector<Process> grantors; ///< A lease needs a majority of them.
    std::vector<Process> holders; ///< Those that the dealer took over; others joined later and are known to the grantors.
    ConnectionCounts limits;

    friend bool operator==(const EpochConfiguration&, const EpochConfiguration&) = default;
};

/// @brief The one row of the table service on which the epochs are numbered.
struct EpochRecord {
    EpochConfiguration current;
    Process coordinator;
    std::vector<EpochConfiguration> earlierEpochs; ///< Epochs whose leases may not have lapsed yet.
    bool settled { false }; ///< The dealer has ended; `earlier` is empty.

    friend bool operator==(const EpochRecord&, const EpochRecord&) = default;
};

}

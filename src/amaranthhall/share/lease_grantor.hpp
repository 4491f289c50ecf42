#pragma once

#include "amaranthhall/share/message.hpp"

#include <map>
#include <optional>
#include <set>

namespace amaranthhall::share {

/// @brief State of a daemon that grants leases. A lease is valid once a majority of the grantors has granted it.
struct LeaseGrantor {
    Process self;
    Epoch minimumEpoch { 0 }; ///< Renewals for earlier epochs are rejected.
    std::map<Epoch, std::set<Process>> holders; ///< Processes that were granted a lease, by epoch.
    std::optional<EpochRecord> newestRecord; ///< Record of the newest epoch known to this daemon.
};

/// @brief Grants or rejects a lease renewal.
[[nodiscard]] RenewResponse renewLease(LeaseGrantor& grantor, const RenewRequest& renew);

/// @brief Stops granting leases of earlier epochs, so that the existing ones expire.
[[nodiscard]] CloseResponse closeEpochs(LeaseGrantor& grantor, const CloseRequest& close);

}

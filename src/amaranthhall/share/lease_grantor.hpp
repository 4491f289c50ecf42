#pragma once

#include "amaranthhall/share/message.hpp"

#include <map>
#include <optional>
#include <set>

namespace amaranthhall::share {

/// @brief One of the few daemons that grant leases; a majority of them makes a lease valid.
struct LeaseGrantor {
    Process self;
    Epoch minimumEpoch { 0 }; ///< Leases of earlier epochs are granted no more.
    std::map<Epoch, std::set<Process>> holders; ///< To whom leases of each epoch were granted.
    std::optional<EpochRecord> newestRecord; ///< The latest epoch known here.
};

/// @brief Grants or refuses a lease.
[[nodiscard]] RenewResponse renewLease(LeaseGrantor& grantor, const RenewRequest& renew);

/// @brief Ends the leases of earlier epochs; from now on they are only left to lapse.
[[nodiscard]] CloseResponse closeEpochs(LeaseGrantor& grantor, const CloseRequest& close);

}

#include "amaranthhall/share/lease_grantor.hpp"

#include <algorithm>

namespace amaranthhall::share {

namespace {

    constexpr std::size_t maximumEpochs = 16;

}

RenewResponse renewLease(LeaseGrantor& grantor, const RenewRequest& renew)
{
    RenewResponse response;
    if (grantor.newestRecord && grantor.newestRecord->current.epoch > renew.epoch)
        response.newerRecord = grantor.newestRecord;
    if (renew.grantorStartTime != grantor.self.startTime || renew.epoch < grantor.minimumEpoch)
        return response;
    grantor.holders[renew.epoch].insert(renew.holder);
    response.granted = true;
    return response;
}

CloseResponse closeEpochs(LeaseGrantor& grantor, const CloseRequest& close)
{
    CloseResponse response { .sameProcess = close.grantorStartTime == grantor.self.startTime };
    if (!response.sameProcess)
        return response;
    grantor.minimumEpoch = std::max(grantor.minimumEpoch, close.beforeEpoch);
    std::set<Process> all;
    for (const auto& [epoch, holders] : grantor.holders) {
        if (epoch < close.beforeEpoch)
            all.insert(holders.begin(), holders.end());
    }
    response.holders.assign(all.begin(), all.end());
    while (grantor.holders.size() > maximumEpochs)
        grantor.holders.erase(grantor.holders.begin());
    return response;
}

}

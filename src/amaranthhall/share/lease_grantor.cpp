#include "amaranthhall/share/lease_grantor.hpp"

#include <algorithm>

namespace amaranthhall::share {

namespace {

    constexpr std::size_t keptEpochs = 16;

}

Renewed renewLease(LeaseGrantor& grantor, const Renew& renew)
{
    Renewed answer;
    if (grantor.record && grantor.record->current.epoch > renew.epoch)
        answer.newer = grantor.record;
    if (renew.grantorStarted != grantor.self.started || renew.epoch < grantor.closedBefore)
        return answer;
    grantor.holders[renew.epoch].insert(renew.holder);
    answer.granted = true;
    return answer;
}

Closed closeEpochs(LeaseGrantor& grantor, const Close& close)
{
    Closed answer { .sameProcess = close.grantorStarted == grantor.self.started };
    if (!answer.sameProcess)
        return answer;
    grantor.closedBefore = std::max(grantor.closedBefore, close.before);
    std::set<Process> all;
    for (const auto& [epoch, holders] : grantor.holders) {
        if (epoch < close.before)
            all.insert(holders.begin(), holders.end());
    }
    answer.holders.assign(all.begin(), all.end());
    while (grantor.holders.size() > keptEpochs)
        grantor.holders.erase(grantor.holders.begin());
    return answer;
}

}

#include "amaranthhall/freshness/replica_lag.hpp"

#include <algorithm>

namespace amaranthhall::freshness {

void updateLag(ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& point, Micros now)
{
    state.reportedPoint = point;
    state.reportedAt = now;
    const auto missing = samples.firstAfter(point);
    state.lag = missing ? std::max<Micros>(0, now - missing->at) : 0;
}

bool isExpectedToHold(const ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& wanted, Micros now)
{
    if (state.reportedPoint >= wanted)
        return true;
    const bool isKnown = state.reportedAt != 0 && now - state.reportedAt <= ReplicaLag::maximumAge;
    const auto lag = isKnown ? state.lag : 0;
    const auto expected = samples.newestNotAfter(now - lag - ReplicaLag::safetyMargin);
    return expected && expected->point >= wanted;
}

}

#include "amaranthhall/freshness/replica_lag.hpp"

#include <algorithm>

namespace amaranthhall::freshness {

void noteHeld(ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& held, Micros now)
{
    state.held = held;
    state.at = now;
    const auto missing = samples.firstAfter(held);
    state.lag = missing ? std::max<Micros>(0, now - missing->at) : 0;
}

bool isExpectedToHold(const ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& wanted, Micros now)
{
    if (state.held >= wanted)
        return true;
    const bool isKnown = state.at != 0 && now - state.at <= ReplicaLag::lifetime;
    const auto lag = isKnown ? state.lag : 0;
    const auto expected = samples.newestBefore(now - lag - ReplicaLag::margin);
    return expected && expected->point >= wanted;
}

}

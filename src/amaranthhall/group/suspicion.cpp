#include "amaranthhall/group/suspicion.hpp"

#include <algorithm>

namespace amaranthhall::group {

namespace {

    using namespace std::chrono_literals;

    constexpr auto probeTimeout = 700ms; // a longer timeout misses the failover time target
    constexpr auto soleWatcherProbeTimeout = 1500ms;
    constexpr auto soleWatcherRefusalTimeout = 400ms;
    constexpr auto noPrimaryTimeout = 400ms; // a shorter one starts an attempt before a promotion in progress becomes known
    constexpr auto isolationTimeout = 1200ms;

    bool hasTimedOut(const UpstreamObservation& observation, Time now, bool isSoleWatcher)
    {
        return observation.unansweredSince && now - *observation.unansweredSince >= (isSoleWatcher ? soleWatcherProbeTimeout : probeTimeout);
    }

    bool isRefusing(const UpstreamObservation& observation, Time now, bool isSoleWatcher)
    {
        return observation.refusedSince && (!isSoleWatcher || now - *observation.refusedSince >= soleWatcherRefusalTimeout);
    }

    /// Returns whether every upstream has reported that it is not primary or is unreachable. A slow one may still be primary.
    bool hasNoPrimary(const GroupState& state, Time now, bool isSoleWatcher)
    {
        if (!state.noPrimarySince || now - *state.noPrimarySince < noPrimaryTimeout)
            return false;
        return std::ranges::all_of(state.upstreams, [&](const auto& observation) {
            const bool hasReplied = observation.lastReplyAt && *observation.lastReplyAt >= *state.noPrimarySince;
            return hasReplied || isRefusing(observation, now, isSoleWatcher) || hasTimedOut(observation, now, isSoleWatcher);
        });
    }

    bool indicatesIsolation(const GroupState& state, const UpstreamObservation& observation)
    {
        return observation.name == state.primary || observation.reachability != Reachability::Up || observation.status.term > state.term || observation.feedAge >= isolationTimeout;
    }

}

UpstreamObservation* findObservation(GroupState& state, std::string_view name) noexcept
{
    const auto found = std::ranges::find(state.upstreams, name, &UpstreamObservation::name);
    return found == state.upstreams.end() ? nullptr : &*found;
}

bool isWatcher(const GroupState& state) noexcept
{
    return std::ranges::find(state.watchers, state.self) != state.watchers.end();
}

std::optional<std::string> isolatedPrimary(const GroupState& state)
{
    const auto isReachableReplica = [&](const UpstreamObservation& observation) { return observation.name != state.primary && observation.reachability == Reachability::Up; };
    const auto reachable = std::ranges::count_if(state.upstreams, isReachableReplica);
    const bool hasReachableMajority = static_cast<std::size_t>(reachable) * 2 > state.upstreams.size();
    if (!state.primary || !hasReachableMajority || !std::ranges::all_of(state.upstreams, [&](const auto& observation) { return indicatesIsolation(state, observation); }))
        return std::nullopt;
    return state.primary;
}

Suspicion evaluateSuspicion(const GroupState& state, Time now) noexcept
{
    const bool isSoleWatcher = state.watchers.size() < 2;
    if (!state.primary)
        return hasNoPrimary(state, now, isSoleWatcher) ? Suspicion::NoPrimary : Suspicion::None;
    const auto found = std::ranges::find(state.upstreams, *state.primary, &UpstreamObservation::name);
    if (found == state.upstreams.end())
        return Suspicion::None;
    if (isRefusing(*found, now, isSoleWatcher))
        return Suspicion::Refused;
    if (hasTimedOut(*found, now, isSoleWatcher))
        return Suspicion::TimedOut;
    const bool isEstablished = now - state.primarySince >= isolationTimeout;
    return isEstablished && isolatedPrimary(state) ? Suspicion::Isolated : Suspicion::None;
}

}

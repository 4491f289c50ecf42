#include "amaranthhall/freshness/replica_lag.hpp"

#include <algorithm>

namespace amaranthhall::freshness {

namespace {

    constexpr double minimumProgress = 0.1; // slower progress does not help a read within its timeout

    void startMeasuring(ReplicaLag& state, Micros now)
    {
        state.measuredAt = now;
        state.measuredLag = state.lag;
    }

    void measureProgress(ReplicaLag& state, Micros now)
    {
        const auto elapsed = now - state.measuredAt;
        if (elapsed < ReplicaLag::measuringTime)
            return;
        const auto gained = 1 - static_cast<double>(state.lag - state.measuredLag) / static_cast<double>(elapsed);
        // Faster progress while it catches up is not extrapolated, as it ends without notice.
        state.progress = std::clamp(gained, 0.0, 1.0);
        startMeasuring(state, now);
    }

}

void updateLag(ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& point, Micros now)
{
    if (now < state.reportedAt)
        return;
    const bool isMeasured = state.reportedAt != 0 && now - state.reportedAt <= ReplicaLag::maximumAge;
    if (point > state.reportedPoint)
        state.fruitlessProbes = 0;
    state.isFromPeer = false;
    state.reportedPoint = point;
    state.reportedAt = now;
    const auto missing = samples.firstAfter(point);
    state.lag = missing ? std::max<Micros>(0, now - missing->at) : 0;
    if (state.lag == 0) {
        state.progress = 1;
        startMeasuring(state, now);
    } else if (isMeasured)
        measureProgress(state, now);
    else
        startMeasuring(state, now);
}

void noteLagRefusal(ReplicaLag& state, Micros now) noexcept
{
    state.progress = 0;
    startMeasuring(state, now);
}

std::optional<Micros> expectedToHoldAt(const ReplicaLag& state, const group::LogPoint& wanted, std::optional<Micros> reachedAt, Micros now) noexcept
{
    if (state.reportedPoint >= wanted)
        return now;
    if (!reachedAt)
        return std::nullopt;
    const auto heldAtReport = state.reportedAt == 0 ? now : state.reportedAt - state.lag;
    const auto sinceReport = state.reportedAt == 0 ? 0 : now - state.reportedAt;
    const auto held = heldAtReport + static_cast<Micros>(state.progress * static_cast<double>(sinceReport));
    const auto missing = *reachedAt + ReplicaLag::safetyMargin - held;
    if (missing <= 0)
        return now;
    if (state.progress < minimumProgress)
        return std::nullopt;
    return now + static_cast<Micros>(static_cast<double>(missing) / state.progress);
}

bool isExpectedToHold(const ReplicaLag& state, const SampleWindow& samples, const group::LogPoint& wanted, Micros now)
{
    const auto holdsAt = expectedToHoldAt(state, wanted, samples.reachedAt(wanted), now);
    return holdsAt && *holdsAt <= now;
}

bool isProbeDue(const ReplicaLag& state, Micros now) noexcept
{
    constexpr unsigned maximumDoublings = 3;
    const auto interval = std::min(ReplicaLag::maximumProbeInterval, ReplicaLag::firstProbeInterval << std::min(state.fruitlessProbes, maximumDoublings));
    return now - std::max(state.reportedAt, state.probedAt) >= interval;
}

void noteProbe(ReplicaLag& state, Micros now) noexcept
{
    state.probedAt = now;
    ++state.fruitlessProbes;
}

}

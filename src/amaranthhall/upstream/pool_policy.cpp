#include "amaranthhall/upstream/pool_policy.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t mostOpening = 4; // more at once would crowd an upstream that has just restarted
    constexpr auto peakWindow = 10s;
    constexpr auto shrinkInterval = 1s;
    constexpr Duration firstBackOff = 50ms;
    constexpr Duration longestBackOff = 2s;
    constexpr std::uint32_t mostDoublings = 6;

    void rollWindow(PoolState& state, std::uint32_t wanted, Time now)
    {
        if (!state.windowEnd)
            state.windowEnd = now + peakWindow;
        if (now >= *state.windowEnd) {
            const bool wasSkipped = now >= *state.windowEnd + peakWindow;
            state.formerPeak = wasSkipped ? 0 : state.recentPeak;
            state.recentPeak = 0;
            state.windowEnd = now + peakWindow;
        }
        state.recentPeak = std::max(state.recentPeak, wanted);
    }

    void wake(PoolPlan& plan, Time at)
    {
        plan.wakeAt = plan.wakeAt ? std::min(*plan.wakeAt, at) : at;
    }

    void planOpening(PoolPlan& plan, const PoolState& state, const PoolCounts& counts, std::uint32_t target, std::uint32_t allowance, Time now)
    {
        if (target <= counts.total() || allowance <= counts.held())
            return;
        const auto missing = std::min(target - counts.total(), allowance - counts.held());
        if (state.failures == 0) {
            plan.open = std::min(missing, mostOpening - std::min(mostOpening, counts.opening));
            return;
        }
        if (now < state.retryAt)
            wake(plan, state.retryAt);
        else if (counts.opening == 0)
            plan.open = 1;
    }

    void planClosing(PoolPlan& plan, PoolState& state, const PoolCounts& counts, std::uint32_t target, std::uint32_t allowance, Time now)
    {
        if (counts.total() > allowance) {
            plan.closeIdle = std::min(counts.idle, counts.total() - allowance);
            return;
        }
        const bool isSurplus = counts.idle > 0 && counts.total() > target;
        if (!isSurplus) {
            state.lastShrink.reset();
            if (counts.idle > 0)
                wake(plan, *state.windowEnd);
            return;
        }
        if (!state.lastShrink)
            state.lastShrink = now;
        if (now - *state.lastShrink >= shrinkInterval) {
            plan.closeIdle = 1;
            state.lastShrink = now;
        }
        wake(plan, *state.lastShrink + shrinkInterval);
    }

}

PoolPlan planPool(PoolState& state, const PoolCounts& counts, std::uint32_t wanted, std::uint32_t allowance, Time now)
{
    rollWindow(state, wanted, now);
    const auto target = std::min(allowance, std::max({ wanted, state.recentPeak, state.formerPeak }));
    PoolPlan plan;
    planOpening(plan, state, counts, target, allowance, now);
    planClosing(plan, state, counts, target, allowance, now);
    return plan;
}

void noteConnectFailure(PoolState& state, Time now, Random& random)
{
    const auto doublings = std::min(state.failures, mostDoublings);
    const auto backOff = std::min(longestBackOff, firstBackOff * (1U << doublings));
    const auto jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random);
    state.retryAt = now + std::chrono::duration_cast<Duration>(backOff * jitter);
    ++state.failures;
}

void noteConnectSuccess(PoolState& state) noexcept
{
    state.failures = 0;
}

void expectDemand(PoolState& state, std::uint32_t connections) noexcept
{
    state.recentPeak = std::max(state.recentPeak, connections);
}

void allowTrial(PoolState& state, Time now) noexcept
{
    state.retryAt = std::min(state.retryAt, now);
}

bool isBackingOff(const PoolState& state, Time now) noexcept
{
    return state.failures > 0 && now < state.retryAt;
}

}

#include "amaranthhall/admission/admission.hpp"

#include <algorithm>

namespace amaranthhall::admission {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t leastSamples = 8;
    constexpr auto rateLifetime = 5s; // an older rate says nothing of the present
    constexpr int averagedSamples = 16;
    constexpr int mostGrowth = 4; // a single stall, as at a change of primary, is not a rate
    constexpr Duration leastRetryAfter = 100ms;

    Duration retryAfter(const LaneState& lane, Time now)
    {
        return std::max(leastRetryAfter, estimateWait(lane, now).value_or(leastRetryAfter));
    }

    /// Gives how long a statement may wait so that its answer comes by its deadline; a heavy one only part of that.
    Duration longestWait(const Arrival& arrival)
    {
        const auto heaviness = std::max(1.0, arrival.weight);
        const auto left = arrival.deadline - arrival.now - arrival.atUpstream;
        return std::chrono::duration_cast<Duration>(left / (heaviness * heaviness));
    }

}

std::optional<Duration> estimateWait(const LaneState& lane, Time now) noexcept
{
    if (lane.samples < leastSamples || now - lane.lastSample > rateLifetime)
        return std::nullopt;
    return lane.interval * (lane.waiting + 1);
}

std::optional<Shed> admit(const LaneState& lane, const Arrival& arrival) noexcept
{
    if (arrival.serviceWaiting >= arrival.serviceLimit)
        return Shed { .reason = ShedReason::QueueFull, .retryAfter = retryAfter(lane, arrival.now) };
    const auto groupPart = std::max(1U, arrival.serviceLimit / std::max(1U, arrival.groups));
    if (arrival.serviceWaiting >= arrival.serviceLimit / 2 && arrival.groupWaiting >= groupPart)
        return Shed { .reason = ShedReason::GroupShareFull, .retryAfter = retryAfter(lane, arrival.now) };
    const auto wait = estimateWait(lane, arrival.now);
    const auto longest = longestWait(arrival);
    if (wait && *wait > longest)
        return Shed { .reason = ShedReason::TooSlow, .retryAfter = std::max(leastRetryAfter, *wait - longest) };
    return std::nullopt;
}

void noteGrant(LaneState& lane, Time now) noexcept
{
    if (now - lane.lastSample > rateLifetime)
        lane.samples = 0;
    if (lane.lastGrant) {
        const bool isKnown = lane.samples >= leastSamples;
        const auto sample = isKnown ? std::min(now - *lane.lastGrant, lane.interval * mostGrowth) : now - *lane.lastGrant;
        const auto weight = static_cast<int>(std::min<std::uint32_t>(lane.samples, averagedSamples - 1));
        lane.interval = (lane.interval * weight + sample) / (weight + 1);
        ++lane.samples;
        lane.lastSample = now;
    }
    if (lane.waiting > 0)
        lane.lastGrant = now;
    else
        lane.lastGrant.reset();
}

}

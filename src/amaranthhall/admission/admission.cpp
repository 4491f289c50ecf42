#include "amaranthhall/admission/admission.hpp"

#include <algorithm>

namespace amaranthhall::admission {

namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t minimumSamples = 8;
    constexpr auto rateValidity = 5s; // an older rate says nothing about the present
    constexpr int averagingWindow = 16;
    constexpr int maximumSampleGrowth = 4; // limits how far one stall, as during a change of primary, raises the average
    constexpr Duration minimumRetryAfter = 100ms;

    Duration retryAfter(const QueueState& queue, Time now)
    {
        return std::max(minimumRetryAfter, estimateWait(queue, now).value_or(minimumRetryAfter));
    }

    /// Returns how long a statement may wait to be answered by its deadline; expensive statements get only a fraction of that.
    Duration maximumWait(const Arrival& arrival)
    {
        const auto costFactor = std::max(1.0, arrival.relativeCost);
        const auto remaining = arrival.deadline - arrival.now - arrival.expectedServiceTime;
        return std::chrono::duration_cast<Duration>(remaining / (costFactor * costFactor));
    }

}

std::optional<Duration> estimateWait(const QueueState& queue, Time now) noexcept
{
    if (queue.samples < minimumSamples || now - queue.lastSampleAt > rateValidity)
        return std::nullopt;
    return queue.grantInterval * (queue.waiting + 1);
}

std::optional<Shed> admit(const QueueState& queue, const Arrival& arrival) noexcept
{
    if (arrival.serviceWaiting >= arrival.serviceLimit)
        return Shed { .reason = ShedReason::QueueFull, .retryAfter = retryAfter(queue, arrival.now) };
    const auto groupShare = std::max(1U, arrival.serviceLimit / std::max(1U, arrival.groups));
    if (arrival.serviceWaiting >= arrival.serviceLimit / 2 && arrival.groupWaiting >= groupShare)
        return Shed { .reason = ShedReason::GroupShareFull, .retryAfter = retryAfter(queue, arrival.now) };
    const auto wait = estimateWait(queue, arrival.now);
    const auto maximum = maximumWait(arrival);
    const bool hasStatementAhead = queue.waiting > 0; // the first in the queue is the one that shows whether the rate still holds
    if (hasStatementAhead && wait && *wait > maximum)
        return Shed { .reason = ShedReason::TooSlow, .retryAfter = std::max(minimumRetryAfter, *wait - maximum) };
    return std::nullopt;
}

void noteGrant(QueueState& queue, Time now) noexcept
{
    if (now - queue.lastSampleAt > rateValidity)
        queue.samples = 0;
    if (queue.lastGrant) {
        const bool isRateKnown = queue.samples >= minimumSamples;
        const auto sample = isRateKnown ? std::min(now - *queue.lastGrant, queue.grantInterval * maximumSampleGrowth) : now - *queue.lastGrant;
        const auto priorSamples = static_cast<int>(std::min<std::uint32_t>(queue.samples, averagingWindow - 1));
        queue.grantInterval = (queue.grantInterval * priorSamples + sample) / (priorSamples + 1);
        ++queue.samples;
        queue.lastSampleAt = now;
    }
    if (queue.waiting > 0)
        queue.lastGrant = now;
    else
        queue.lastGrant.reset();
}

}

#include "amaranthhall/group/freshness.hpp"

namespace amaranthhall::group {

namespace {

    using namespace std::chrono_literals;

    constexpr auto sampleSpacing = 50ms;
    constexpr std::size_t maximumSamples = 600; // 30 s at the sample spacing; no configured staleness limit needs more

}

void addSample(FreshnessHistory& history, LogPoint point, Time requestedAt)
{
    if (point.term < history.term)
        return;
    if (point.term > history.term) {
        history.term = point.term;
        history.samples.clear();
    }
    auto& samples = history.samples;
    if (!samples.empty() && (point.position < samples.back().position || requestedAt <= samples.back().at))
        return;
    const bool isWithinSpacing = samples.size() > 1 && requestedAt - samples[samples.size() - 2].at < sampleSpacing;
    if (!samples.empty() && (samples.back().position == point.position || isWithinSpacing)) {
        samples.back() = { .position = point.position, .at = requestedAt };
        return;
    }
    samples.push_back({ .position = point.position, .at = requestedAt });
    if (samples.size() > maximumSamples)
        samples.pop_front();
}

std::optional<Time> freshAsOf(const FreshnessHistory& history, Term term, Position applied) noexcept
{
    if (term != history.term)
        return std::nullopt;
    for (auto sample = history.samples.rbegin(); sample != history.samples.rend(); ++sample) {
        if (sample->position <= applied)
            return sample->at;
    }
    return std::nullopt;
}

}

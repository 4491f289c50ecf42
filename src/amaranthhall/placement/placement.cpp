#include "amaranthhall/placement/placement.hpp"

namespace amaranthhall::placement {

namespace {

    using namespace std::chrono_literals;

    constexpr int leaderLatencyFactor = 2; // multiplies its latency, as only the leader serves writes
    constexpr Duration connectionSetupTime = 12ms; // opening a connection occupies a slot for about this long
    constexpr Duration lagPenalty = 100ms; // it will probably refuse the statement for lag, so a slower upstream goes first
    constexpr Duration overloadPenalty = 30ms;
    constexpr Duration faultPenalty = 40ms; // per remembered fault: the cost of a second attempt and of the wait before it

    bool isUsable(const Candidate& candidate, Time now)
    {
        return candidate.health->avoidUntil <= now;
    }

    Duration expectedLatency(const Candidate& candidate, Time now)
    {
        const auto slots = candidate.slots == 0 ? 1 : candidate.slots;
        auto expected = candidate.health->latency * (slots + candidate.running) / slots;
        if (candidate.isLeader)
            expected *= leaderLatencyFactor;
        expected += candidate.crossingCost;
        if (candidate.idle == 0)
            expected += connectionSetupTime;
        if (candidate.isLagging)
            expected += lagPenalty;
        expected += std::chrono::duration_cast<Duration>(faultPenalty * candidate.health->faults);
        if (candidate.health->overloadedUntil > now)
            expected += overloadPenalty;
        return expected;
    }

    Choice::Step stepFor(const Candidate& candidate, Time now)
    {
        if (candidate.running >= candidate.limit || candidate.health->paceUntil > now)
            return Choice::Step::Wait;
        if (candidate.idle > 0)
            return Choice::Step::Serve;
        return candidate.canOpen ? Choice::Step::Open : Choice::Step::Wait;
    }

}

Choice chooseAny(std::span<const Candidate> candidates, Time now)
{
    std::optional<std::size_t> best;
    Duration bestLatency {};
    bool isAnySaturated = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (candidate.isDraining || candidate.wasTried || !isUsable(candidate, now))
            continue;
        if (stepFor(candidate, now) == Choice::Step::Wait) {
            isAnySaturated = true;
            continue;
        }
        const auto latency = expectedLatency(candidate, now);
        if (!best || latency < bestLatency) {
            best = i;
            bestLatency = latency;
        }
    }
    if (best)
        return { .step = stepFor(candidates[*best], now), .candidate = *best };
    return { .step = isAnySaturated ? Choice::Step::Wait : Choice::Step::Refuse };
}

Choice chooseLeader(std::span<const Candidate> candidates, Time now)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (candidate.isLeader && isUsable(candidate, now))
            return { .step = stepFor(candidate, now), .candidate = i };
    }
    return { .step = Choice::Step::Refuse };
}

}

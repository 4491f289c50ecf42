#include "amaranthhall/placement/placement.hpp"

#include <algorithm>

namespace amaranthhall::placement {

namespace {

    using namespace std::chrono_literals;

    constexpr int leaderLatencyFactor = 2; // multiplies its latency, as only the leader serves writes
    constexpr Duration connectionSetupTime = 12ms; // opening a connection occupies a slot for about this long
    constexpr Duration overloadPenalty = 30ms;
    constexpr Duration faultPenalty = 40ms; // per remembered fault: the cost of a second attempt and of the wait before it

    bool isUsable(const Candidate& candidate, Time now)
    {
        return candidate.health->avoidUntil <= now;
    }

    /// Returns whether a statement that is not bound to the leader may be sent there, apart from the position of its log.
    bool isEligible(const Candidate& candidate, Time now)
    {
        return !candidate.isDraining && !candidate.wasTried && isUsable(candidate, now);
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
        if (!isEligible(candidate, now) || candidate.isLagging)
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

Choice chooseRead(std::span<const Candidate> candidates, Time now, Duration timeLeft)
{
    auto choice = chooseAny(candidates, now);
    if (choice.step == Choice::Step::Serve || choice.step == Choice::Step::Open)
        return choice;
    for (const auto& candidate : candidates) {
        if (!isEligible(candidate, now) || !candidate.isLagging || !candidate.holdsIn || *candidate.holdsIn + candidate.health->latency > timeLeft)
            continue;
        choice.step = Choice::Step::Wait;
        choice.retryAfter = std::min(choice.retryAfter.value_or(*candidate.holdsIn), *candidate.holdsIn);
    }
    return choice;
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

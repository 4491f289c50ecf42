#include "amaranthhall/placement/placement.hpp"

namespace amaranthhall::placement {

namespace {

    using namespace std::chrono_literals;

    constexpr int leaderPenalty = 2; // factor: the leader alone serves writes
    constexpr Duration openingTime = 12ms; // a connection takes a slot for about as long
    constexpr Duration farPenalty = 1ms; // way between two zones, there and back
    constexpr Duration lagPenalty = 100ms; // a refusal for lag is certain enough to use a slower upstream first
    constexpr Duration busyPenalty = 30ms;
    constexpr Duration faultPenalty = 40ms; // for each fault that is remembered: a second attempt, and what it waited

    bool isUsable(const Candidate& candidate, Time now)
    {
        return candidate.health->avoidUntil <= now;
    }

    Duration expectedTime(const Candidate& candidate, Time now)
    {
        const auto slots = candidate.slots == 0 ? 1 : candidate.slots;
        auto expected = candidate.health->latency * (slots + candidate.running) / slots;
        if (candidate.isLeader)
            expected *= leaderPenalty;
        if (!candidate.isNear)
            expected += farPenalty;
        if (candidate.idle == 0)
            expected += openingTime;
        if (candidate.isBehind)
            expected += lagPenalty;
        expected += std::chrono::duration_cast<Duration>(faultPenalty * candidate.health->faults);
        if (candidate.health->busyUntil > now)
            expected += busyPenalty;
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
    Duration bestTime {};
    bool isAnyFull = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (candidate.isLeaving || candidate.isTried || !isUsable(candidate, now))
            continue;
        if (stepFor(candidate, now) == Choice::Step::Wait) {
            isAnyFull = true;
            continue;
        }
        const auto time = expectedTime(candidate, now);
        if (!best || time < bestTime) {
            best = i;
            bestTime = time;
        }
    }
    if (best)
        return { .step = stepFor(candidates[*best], now), .candidate = *best };
    return { .step = isAnyFull ? Choice::Step::Wait : Choice::Step::Refuse };
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

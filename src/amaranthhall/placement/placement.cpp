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

    /// Returns the statements that this daemon and others have running on an upstream.
    double occupancy(const Candidate& candidate)
    {
        return candidate.running + (candidate.others ? candidate.others->running : 0);
    }

    /// Returns whether other daemons report so much load that the slots may be taken before their next reports.
    bool isReportedBusy(const Candidate& candidate)
    {
        constexpr double busyFraction = 0.5; // of the slots
        return candidate.others && occupancy(candidate) + 1 > busyFraction * candidate.slots;
    }

    /// Returns whether the upstream sheds statements of other daemons, and this daemon has not lately seen for itself what it does.
    bool isReportedShedding(const Candidate& candidate, Time now)
    {
        constexpr double minimumRate = 1; // rejected statements per second
        constexpr Duration maximumOwnAge = 1s;
        return candidate.others && candidate.others->rejectedPerSecond >= minimumRate && now - candidate.health->lastActivity > maximumOwnAge;
    }

    Duration expectedLatency(const Candidate& candidate, Time now)
    {
        const auto slots = candidate.slots == 0 ? 1 : candidate.slots;
        auto expected = std::chrono::duration_cast<Duration>(candidate.health->latency * ((slots + occupancy(candidate)) / slots));
        if (candidate.isLeader)
            expected *= leaderLatencyFactor;
        expected += candidate.crossingCost;
        if (candidate.idle == 0)
            expected += connectionSetupTime;
        expected += std::chrono::duration_cast<Duration>(faultPenalty * candidate.health->faults);
        if (candidate.health->overloadedUntil > now)
            expected += overloadPenalty * std::max(1U, candidate.health->rejections);
        else if (isReportedShedding(candidate, now))
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

    /// Returns the better of two random candidates among those that can take a statement now.
    std::size_t betterOfTwo(std::span<const Candidate> candidates, std::size_t servable, Time now, std::uint64_t draw)
    {
        const auto first = draw % servable;
        const auto second = (first + 1 + draw / servable % (servable - 1)) % servable;
        std::optional<std::size_t> better;
        std::size_t rank = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            const auto& candidate = candidates[i];
            if (!isEligible(candidate, now) || candidate.isLagging || stepFor(candidate, now) == Choice::Step::Wait)
                continue;
            const bool isDrawn = rank == first || rank == second;
            ++rank;
            if (isDrawn && (!better || expectedLatency(candidate, now) < expectedLatency(candidates[*better], now)))
                better = i;
        }
        return *better;
    }

}

Choice chooseAny(std::span<const Candidate> candidates, Time now, std::uint64_t draw)
{
    std::optional<std::size_t> best;
    Duration bestLatency {};
    std::size_t servable = 0;
    bool isAnySaturated = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (!isEligible(candidate, now) || candidate.isLagging)
            continue;
        if (stepFor(candidate, now) == Choice::Step::Wait) {
            isAnySaturated = true;
            continue;
        }
        ++servable;
        const auto latency = expectedLatency(candidate, now);
        if (!best || latency < bestLatency) {
            best = i;
            bestLatency = latency;
        }
    }
    if (!best)
        return { .step = isAnySaturated ? Choice::Step::Wait : Choice::Step::Refuse };
    if (servable > 2 && isReportedBusy(candidates[*best]))
        best = betterOfTwo(candidates, servable, now, draw);
    return { .step = stepFor(candidates[*best], now), .candidate = *best };
}

Choice chooseRead(std::span<const Candidate> candidates, Time now, Duration timeLeft, std::uint64_t draw)
{
    auto choice = chooseAny(candidates, now, draw);
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

#include "amaranthhall/routing/route.hpp"

#include <algorithm>

namespace amaranthhall::routing {

namespace {

    // A replica in the own zone that is busier than this shares its reads with the other zones.
    constexpr double nearlyFull = 0.75;

    // Reads leave at least this part of the primary's connections to writes.
    constexpr double keptForWrites = 0.5;

    // Upstreams are few; a group of more is cut off here.
    constexpr std::size_t mostCandidates = 16;

    double load(const Candidate& candidate)
    {
        return candidate.allowance == 0 ? 1.0 : static_cast<double>(candidate.busy) / candidate.allowance;
    }

    bool canOpen(const Candidate& candidate)
    {
        return candidate.idle + candidate.busy < candidate.allowance;
    }

    std::optional<SkipReason> checkReach(const Candidate& candidate)
    {
        const auto& view = *candidate.view;
        if (view.status.leaving)
            return SkipReason::Leaving;
        if (view.reach == group::Reach::Down || view.reach == group::Reach::Unknown)
            return SkipReason::Unreachable;
        if (candidate.isFailing && candidate.idle == 0)
            return SkipReason::Unreachable;
        return std::nullopt;
    }

    std::optional<SkipReason> checkData(const group::UpstreamView& view, const Work& work, Time now)
    {
        if (work.atLeast && !holdsPoint(view.status, *work.atLeast))
            return SkipReason::Lag;
        if (work.maxStale <= Duration::zero())
            return std::nullopt;
        if (view.freshAsOf == Time())
            return SkipReason::UnknownFreshness;
        return now - view.freshAsOf > work.maxStale ? std::optional(SkipReason::Stale) : std::nullopt;
    }

    std::optional<SkipReason> checkReplica(const Candidate& candidate, const Work& work, Time now)
    {
        if (const auto reason = checkReach(candidate))
            return reason;
        if (candidate.view->reach == group::Reach::Suspected)
            return SkipReason::Unreachable;
        if (candidate.view->status.role != group::Role::Replica)
            return SkipReason::WrongRole;
        if (candidate.weight == 0)
            return SkipReason::ZeroWeight;
        return checkData(*candidate.view, work, now);
    }

    std::optional<SkipReason> checkPrimary(const Candidate& candidate, const Work& work, const Situation& situation)
    {
        if (const auto reason = checkReach(candidate))
            return reason;
        // A primary of an older term than the point is superseded; its own log cannot lag behind its term.
        return work.atLeast && situation.term < work.atLeast->term ? std::optional(SkipReason::Lag) : std::nullopt;
    }

    /// Replicas that could serve, in a buffer without allocation.
    struct Eligible {
        std::array<std::size_t, mostCandidates> indices {};
        std::size_t count { 0 };

        void add(std::size_t index) { this->indices[this->count++] = index; }
        [[nodiscard]] std::span<const std::size_t> all() const { return { this->indices.data(), this->count }; }
    };

    double effectiveWeight(const Candidate& candidate)
    {
        constexpr double leastShare = 0.05;
        return candidate.weight * std::max(leastShare, 1.0 - load(candidate));
    }

    std::size_t drawWeighted(std::span<const Candidate> candidates, const Eligible& eligible, Random& random)
    {
        if (eligible.count == 1)
            return eligible.indices.front();
        double sum = 0;
        for (const auto index : eligible.all())
            sum += effectiveWeight(candidates[index]);
        double left = std::uniform_real_distribution<double>(0, sum)(random);
        for (const auto index : eligible.all()) {
            left -= effectiveWeight(candidates[index]);
            if (left < 0)
                return index;
        }
        return eligible.indices[eligible.count - 1];
    }

    template <typename Predicate>
    Eligible keep(std::span<const Candidate> candidates, const Eligible& from, Predicate predicate)
    {
        Eligible kept;
        for (const auto index : from.all()) {
            if (predicate(candidates[index]))
                kept.add(index);
        }
        return kept;
    }

    /// Those in the own zone, unless there are none or all are nearly full.
    Eligible preferNear(std::span<const Candidate> candidates, const Eligible& from, std::string_view zone)
    {
        const auto near = keep(candidates, from, [&](const auto& candidate) { return candidate.view->zone == zone && load(candidate) < nearlyFull; });
        return near.count > 0 ? near : from;
    }

    std::optional<std::size_t> findNear(std::span<const Candidate> candidates, const Eligible& from, std::string_view zone)
    {
        const auto near = keep(candidates, from, [&](const auto& candidate) { return candidate.view->zone == zone && load(candidate) < nearlyFull; });
        return near.count > 0 ? std::optional(near.indices.front()) : std::nullopt;
    }

    bool pick(Decision& decision, std::span<const Candidate> candidates, const Eligible& eligible, const Situation& situation, Random& random)
    {
        const auto openable = keep(candidates, eligible, canOpen);
        const auto ready = keep(candidates, eligible, [](const auto& candidate) { return candidate.idle > 0; });
        if (ready.count > 0) {
            decision.step = Step::Serve;
            decision.candidate = drawWeighted(candidates, preferNear(candidates, ready, situation.zone), random);
            if (candidates[decision.candidate].view->zone != situation.zone && openable.count > 0)
                decision.warm = findNear(candidates, openable, situation.zone);
            return true;
        }
        if (openable.count > 0) {
            decision.step = Step::Open;
            decision.candidate = drawWeighted(candidates, preferNear(candidates, openable, situation.zone), random);
            return true;
        }
        return false;
    }

    void skip(Decision& decision, SkipReason reason)
    {
        ++decision.skipped[static_cast<std::size_t>(reason)];
    }

    void usePrimary(Decision& decision, std::span<const Candidate> candidates, const Work& work, const Situation& situation)
    {
        if (!situation.primary)
            return;
        const auto& primary = candidates[*situation.primary];
        if (const auto reason = checkPrimary(primary, work, situation)) {
            skip(decision, *reason);
            return;
        }
        decision.candidate = *situation.primary;
        if (primary.idle > 0)
            decision.step = Step::Serve;
        else if (canOpen(primary))
            decision.step = Step::Open;
        else
            skip(decision, SkipReason::NoConnection);
    }

    bool hasSpare(const Candidate& primary)
    {
        return primary.busy + 1 <= std::max(1.0, primary.allowance * (1.0 - keptForWrites));
    }

    void useReplica(Decision& decision, std::span<const Candidate> candidates, const Work& work, const Situation& situation, Random& random)
    {
        Eligible eligible;
        for (std::size_t i = 0; i < std::min(candidates.size(), mostCandidates); ++i) {
            if (i == situation.primary)
                continue;
            if (const auto reason = checkReplica(candidates[i], work, situation.now)) {
                skip(decision, *reason);
                decision.isLagging = decision.isLagging || reason == SkipReason::Lag;
                continue;
            }
            eligible.add(i);
        }
        if (pick(decision, candidates, eligible, situation, random))
            return;
        for (std::size_t i = 0; i < eligible.count; ++i)
            skip(decision, SkipReason::NoConnection);
        const bool mayStillServe = eligible.count > 0 || decision.isLagging;
        const bool isPatient = work.waited < work.patience;
        if (mayStillServe && isPatient)
            return;
        const bool primaryIsBusy = situation.primary && eligible.count > 0 && !hasSpare(candidates[*situation.primary]);
        if (!primaryIsBusy)
            usePrimary(decision, candidates, work, situation);
    }

}

std::string_view toText(SkipReason reason) noexcept
{
    constexpr std::array<std::string_view, skipReasonCount> names { "unreachable", "leaving", "wrong_role", "zero_weight", "lag", "unknown_freshness", "stale", "no_connection" };
    return names[static_cast<std::size_t>(reason)];
}

bool holdsPoint(const group::UpstreamStatus& status, const group::LogPoint& point) noexcept
{
    return status.applied >= point.position && status.last.term >= point.term;
}

Decision chooseUpstream(std::span<const Candidate> candidates, const Work& work, const Situation& situation, Random& random)
{
    Decision decision;
    if (work.isRead)
        useReplica(decision, candidates, work, situation, random);
    else
        usePrimary(decision, candidates, work, situation);
    return decision;
}

}

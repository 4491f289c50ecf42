#include "amaranthhall/routing/route.hpp"

#include <algorithm>

namespace amaranthhall::routing {

namespace {

    // Load from which a replica in the same zone is no longer preferred over those in other zones.
    constexpr double zoneSpillThreshold = 0.75;

    // Fraction of the primary's connections that is reserved for writes.
    constexpr double writeReservedFraction = 0.5;

    // Groups are small; candidates beyond this number are ignored.
    constexpr std::size_t maximumCandidates = 16;

    double load(const Candidate& candidate)
    {
        return candidate.connectionLimit == 0 ? 1.0 : static_cast<double>(candidate.busy) / candidate.connectionLimit;
    }

    bool canOpen(const Candidate& candidate)
    {
        return candidate.idle + candidate.busy < candidate.connectionLimit;
    }

    std::optional<SkipReason> checkReachability(const Candidate& candidate)
    {
        const auto& view = *candidate.view;
        if (view.status.isDraining)
            return SkipReason::Draining;
        if (view.reachability == group::Reachability::Down || view.reachability == group::Reachability::Unknown)
            return SkipReason::Unreachable;
        if (candidate.isBackingOff && candidate.idle == 0)
            return SkipReason::Unreachable;
        return std::nullopt;
    }

    std::optional<SkipReason> checkDataRequirements(const group::UpstreamView& view, const RouteRequest& request, Time now)
    {
        if (request.requiredPoint && !hasAppliedPoint(view.status, *request.requiredPoint))
            return SkipReason::Lag;
        if (request.maximumStaleness <= Duration::zero())
            return std::nullopt;
        if (view.freshAsOf == Time())
            return SkipReason::UnknownFreshness;
        return now - view.freshAsOf > request.maximumStaleness ? std::optional(SkipReason::Stale) : std::nullopt;
    }

    std::optional<SkipReason> checkReplica(const Candidate& candidate, const RouteRequest& request, Time now)
    {
        if (const auto reason = checkReachability(candidate))
            return reason;
        if (candidate.view->reachability == group::Reachability::Suspected)
            return SkipReason::Unreachable;
        if (candidate.view->status.role != group::Role::Replica)
            return SkipReason::WrongRole;
        if (candidate.weight == 0)
            return SkipReason::ZeroWeight;
        return checkDataRequirements(*candidate.view, request, now);
    }

    std::optional<SkipReason> checkPrimary(const Candidate& candidate, const RouteRequest& request, const RouteContext& context)
    {
        if (const auto reason = checkReachability(candidate))
            return reason;
        // A primary whose term is older than the point's has been superseded. Within its own term its log cannot lag.
        return request.requiredPoint && context.term < request.requiredPoint->term ? std::optional(SkipReason::Lag) : std::nullopt;
    }

    /// Indices of the eligible replicas, in a fixed-size buffer to avoid allocation.
    struct Eligible {
        std::array<std::size_t, maximumCandidates> indices {};
        std::size_t count { 0 };

        void add(std::size_t index) { this->indices[this->count++] = index; }
        [[nodiscard]] std::span<const std::size_t> selected() const { return { this->indices.data(), this->count }; }
    };

    double effectiveWeight(const Candidate& candidate)
    {
        constexpr double minimumFreeFraction = 0.05;
        return candidate.weight * std::max(minimumFreeFraction, 1.0 - load(candidate));
    }

    std::size_t chooseWeighted(std::span<const Candidate> candidates, const Eligible& eligible, Random& random)
    {
        if (eligible.count == 1)
            return eligible.indices.front();
        double sum = 0;
        for (const auto index : eligible.selected())
            sum += effectiveWeight(candidates[index]);
        double remaining = std::uniform_real_distribution<double>(0, sum)(random);
        for (const auto index : eligible.selected()) {
            remaining -= effectiveWeight(candidates[index]);
            if (remaining < 0)
                return index;
        }
        return eligible.indices[eligible.count - 1];
    }

    template <typename Predicate>
    Eligible filter(std::span<const Candidate> candidates, const Eligible& from, Predicate predicate)
    {
        Eligible matching;
        for (const auto index : from.selected()) {
            if (predicate(candidates[index]))
                matching.add(index);
        }
        return matching;
    }

    /// Returns the candidates in the same zone below the spill threshold, or all candidates if there are none.
    Eligible preferSameZone(std::span<const Candidate> candidates, const Eligible& from, std::string_view zone)
    {
        const auto sameZone = filter(candidates, from, [&](const auto& candidate) { return candidate.view->zone == zone && load(candidate) < zoneSpillThreshold; });
        return sameZone.count > 0 ? sameZone : from;
    }

    std::optional<std::size_t> findInSameZone(std::span<const Candidate> candidates, const Eligible& from, std::string_view zone)
    {
        const auto sameZone = filter(candidates, from, [&](const auto& candidate) { return candidate.view->zone == zone && load(candidate) < zoneSpillThreshold; });
        return sameZone.count > 0 ? std::optional(sameZone.indices.front()) : std::nullopt;
    }

    bool chooseReplica(RouteDecision& decision, std::span<const Candidate> candidates, const Eligible& eligible, const RouteContext& context, Random& random)
    {
        const auto openable = filter(candidates, eligible, canOpen);
        const auto withIdle = filter(candidates, eligible, [](const auto& candidate) { return candidate.idle > 0; });
        if (withIdle.count > 0) {
            decision.action = RouteAction::UseIdle;
            decision.candidate = chooseWeighted(candidates, preferSameZone(candidates, withIdle, context.zone), random);
            if (candidates[decision.candidate].view->zone != context.zone && openable.count > 0)
                decision.prewarm = findInSameZone(candidates, openable, context.zone);
            return true;
        }
        if (openable.count > 0) {
            decision.action = RouteAction::OpenConnection;
            decision.candidate = chooseWeighted(candidates, preferSameZone(candidates, openable, context.zone), random);
            return true;
        }
        return false;
    }

    void countSkip(RouteDecision& decision, SkipReason reason)
    {
        ++decision.skipped[static_cast<std::size_t>(reason)];
    }

    void routeToPrimary(RouteDecision& decision, std::span<const Candidate> candidates, const RouteRequest& request, const RouteContext& context)
    {
        if (!context.primary)
            return;
        const auto& primary = candidates[*context.primary];
        if (const auto reason = checkPrimary(primary, request, context)) {
            countSkip(decision, *reason);
            return;
        }
        decision.candidate = *context.primary;
        if (primary.idle > 0)
            decision.action = RouteAction::UseIdle;
        else if (canOpen(primary))
            decision.action = RouteAction::OpenConnection;
        else
            countSkip(decision, SkipReason::NoConnection);
    }

    bool hasCapacityForReads(const Candidate& primary)
    {
        return primary.busy + 1 <= std::max(1.0, primary.connectionLimit * (1.0 - writeReservedFraction));
    }

    void routeRead(RouteDecision& decision, std::span<const Candidate> candidates, const RouteRequest& request, const RouteContext& context, Random& random)
    {
        Eligible eligible;
        for (std::size_t i = 0; i < std::min(candidates.size(), maximumCandidates); ++i) {
            if (i == context.primary)
                continue;
            if (const auto reason = checkReplica(candidates[i], request, context.now)) {
                countSkip(decision, *reason);
                decision.isLagging = decision.isLagging || reason == SkipReason::Lag;
                continue;
            }
            eligible.add(i);
        }
        if (chooseReplica(decision, candidates, eligible, context, random))
            return;
        for (std::size_t i = 0; i < eligible.count; ++i)
            countSkip(decision, SkipReason::NoConnection);
        const bool mayStillServe = eligible.count > 0 || decision.isLagging;
        const bool isWithinReplicaWait = request.waitTime < request.maximumReplicaWait;
        if (mayStillServe && isWithinReplicaWait)
            return;
        const bool isPrimaryReserved = context.primary && eligible.count > 0 && !hasCapacityForReads(candidates[*context.primary]);
        if (!isPrimaryReserved)
            routeToPrimary(decision, candidates, request, context);
    }

}

std::string_view toText(SkipReason reason) noexcept
{
    constexpr std::array<std::string_view, skipReasonCount> names { "unreachable", "leaving", "wrong_role", "zero_weight", "lag", "unknown_freshness", "stale", "no_connection" };
    return names[static_cast<std::size_t>(reason)];
}

bool hasAppliedPoint(const group::UpstreamStatus& status, const group::LogPoint& point) noexcept
{
    return status.applied >= point.position && status.last.term >= point.term;
}

RouteDecision chooseUpstream(std::span<const Candidate> candidates, const RouteRequest& request, const RouteContext& context, Random& random)
{
    RouteDecision decision;
    if (request.isRead)
        routeRead(decision, candidates, request, context, random);
    else
        routeToPrimary(decision, candidates, request, context);
    return decision;
}

}

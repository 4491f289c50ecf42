#include "amaranthhall/group/group_step.hpp"

#include "amaranthhall/group/suspicion.hpp"

#include <algorithm>

namespace amaranthhall::group {

namespace {

    using namespace std::chrono_literals;

    constexpr auto primaryProbeInterval = 200ms; // a longer interval misses the failover time target
    constexpr auto replicaProbeInterval = 500ms; // a longer interval detects an isolated primary too late
    constexpr auto voteLifetime = 500ms; // a longer lifetime lets an outdated vote count against a primary that replies again
    constexpr auto voteInterval = 150ms;
    constexpr auto attemptRankDelay = 150ms; // added per rank, so that a lower-ranked watcher starts only if those before it do not
    constexpr auto attemptJitter = 40ms;
    constexpr unsigned int maximumJitterDoublings = 4; // the jitter doubles after each failed attempt, at most this often
    constexpr auto fenceTimeout = 600ms;
    constexpr auto promotionTimeout = 1500ms;
    constexpr auto promotionRetryInterval = 250ms;
    constexpr auto suspectedTimeout = 400ms;
    constexpr auto downTimeout = 700ms;
    constexpr auto pauseThreshold = 400ms; // a longer gap between two ticks means that this process was paused

    void adoptTerm(GroupState& state, Term term, Time now, GroupActions& actions)
    {
        if (term <= state.term)
            return;
        state.term = term;
        state.primary.reset();
        state.noPrimarySince = now;
        actions.emplace_back(ViewChanged {});
    }

    void adoptPrimary(GroupState& state, const std::string& upstream, Term term, Time now, GroupActions& actions)
    {
        if (term < state.term || (term == state.term && state.primary == upstream))
            return;
        state.term = term;
        state.primary = upstream;
        state.primarySince = now;
        state.noPrimarySince.reset();
        state.attemptStartAt.reset();
        state.failedAttempts = 0;
        if (state.attempt && state.attempt->term <= term)
            state.attempt.reset();
        actions.emplace_back(ViewChanged {});
    }

    void updateReachability(UpstreamObservation& observation, Reachability reachability, GroupActions& actions)
    {
        if (observation.reachability != reachability)
            actions.emplace_back(ViewChanged {});
        observation.reachability = reachability;
    }

    void applyStatus(GroupState& state, const std::string& upstream, const UpstreamStatus& status, Time requestedAt, Time now, GroupActions& actions)
    {
        auto* observation = findObservation(state, upstream);
        if (!observation)
            return;
        if (status.isDraining != observation->status.isDraining || status.role != observation->status.role)
            actions.emplace_back(ViewChanged {});
        observation->status = status;
        observation->lastReplyAt = now;
        observation->refusedSince.reset();
        updateReachability(*observation, Reachability::Up, actions);
        adoptTerm(state, status.term, now, actions);
        if (status.role == Role::Primary)
            adoptPrimary(state, upstream, status.term, now, actions);
        else if (state.primary == upstream && status.term == state.term && requestedAt > state.primarySince) {
            state.primary.reset();
            state.noPrimarySince = now;
            actions.emplace_back(ViewChanged {});
        }
    }

    /// Marks upstreams that have not replied to a probe in time as suspected, then as down.
    void degradeUnresponsive(GroupState& state, Time now, GroupActions& actions)
    {
        for (auto& upstream : state.upstreams) {
            if (!upstream.unansweredSince || upstream.reachability == Reachability::Down)
                continue;
            const auto unansweredTime = now - *upstream.unansweredSince;
            if (unansweredTime >= downTimeout)
                updateReachability(upstream, Reachability::Down, actions);
            else if (unansweredTime >= suspectedTimeout)
                updateReachability(upstream, Reachability::Suspected, actions);
        }
    }

    /// Shifts the timestamps that failures are measured from, so that a pause of this process does not count as unanswered time.
    void compensateForPause(GroupState& state, Time now)
    {
        const auto pause = now - *state.lastTickAt;
        const auto shift = [&](std::optional<Time>& moment) {
            if (moment)
                *moment = std::min(now, *moment + pause);
        };
        for (auto& upstream : state.upstreams) {
            shift(upstream.unansweredSince);
            shift(upstream.refusedSince);
        }
        shift(state.noPrimarySince);
        state.attemptStartAt.reset();
        state.votes.clear();
    }

    std::size_t countSuspectingWatchers(const GroupState& state, Time now)
    {
        const auto suspectsPrimary = [&](const std::string& watcher) {
            const auto vote = state.votes.find(watcher);
            return watcher != state.self && vote != state.votes.end() && vote->second.term == state.term && vote->second.expiresAt > now;
        };
        return 1 + static_cast<std::size_t>(std::ranges::count_if(state.watchers, suspectsPrimary));
    }

    void beginAttempt(GroupState& state, Time now, GroupActions& actions)
    {
        state.attemptStartAt.reset();
        state.lastAttemptedTerm = std::max(state.term, state.lastAttemptedTerm) + 1;
        state.attempt = FailoverAttempt { .term = state.lastAttemptedTerm, .groupSize = state.upstreams.size(), .excluded = isolatedPrimary(state).value_or("") };
        state.timers = { .deadline = now + fenceTimeout };
        for (const auto& upstream : state.upstreams)
            actions.emplace_back(RequestFence { .upstream = upstream.name, .term = state.attempt->term });
    }

    void abandonAttempt(GroupState& state)
    {
        state.attempt.reset();
        ++state.failedAttempts;
    }

    void scheduleAttempt(GroupState& state, Time now, Random& random, GroupActions& actions)
    {
        const bool mayStartAttempt = state.isSuspecting && !state.attempt && countSuspectingWatchers(state, now) >= std::min<std::size_t>(2, state.watchers.size());
        if (!mayStartAttempt) {
            state.attemptStartAt.reset();
            return;
        }
        if (!state.attemptStartAt) {
            const auto rank = std::ranges::find(state.watchers, state.self) - state.watchers.begin();
            const auto jitterRange = static_cast<std::uint64_t>(attemptJitter.count()) << std::min(state.failedAttempts, maximumJitterDoublings);
            const auto jitter = std::chrono::milliseconds(random() % jitterRange);
            state.attemptStartAt = now + rank * attemptRankDelay + jitter;
        }
        if (now >= *state.attemptStartAt)
            beginAttempt(state, now, actions);
    }

    void broadcastVote(GroupState& state, Time now, GroupActions& actions)
    {
        state.lastVoteSentAt = now;
        actions.emplace_back(BroadcastVote { .term = state.term, .suspects = state.isSuspecting });
    }

    void updateSuspicion(GroupState& state, Time now, Random& random, GroupActions& actions)
    {
        if (!isWatcher(state))
            return;
        const bool suspects = evaluateSuspicion(state, now) != Suspicion::None;
        const bool hasChanged = suspects != state.isSuspecting;
        state.isSuspecting = suspects;
        if (hasChanged || (suspects && now - state.lastVoteSentAt >= voteInterval))
            broadcastVote(state, now, actions);
        if (hasChanged && state.primary && suspects)
            updateReachability(*findObservation(state, *state.primary), Reachability::Suspected, actions);
        scheduleAttempt(state, now, random, actions);
    }

    void continueAttempt(GroupState& state, Time now, GroupActions& actions)
    {
        if (!state.attempt)
            return;
        if (now >= state.timers.deadline) {
            abandonAttempt(state);
            return;
        }
        if (state.attempt->phase != FailoverPhase::Promoting || now < state.timers.retryAt)
            return;
        state.timers.retryAt = now + promotionRetryInterval;
        actions.emplace_back(RequestPromotion { .upstream = state.attempt->candidate, .term = state.attempt->term });
    }

    /// Handles each event type.
    struct EventHandler {
        GroupState& state;
        Time now;
        GroupActions& actions;

        void operator()(const Ticked&) const
        {
            if (this->state.lastTickAt && this->now - *this->state.lastTickAt > pauseThreshold)
                compensateForPause(this->state, this->now);
            this->state.lastTickAt = this->now;
            if (!this->state.primary && !this->state.noPrimarySince)
                this->state.noPrimarySince = this->now;
            degradeUnresponsive(this->state, this->now, this->actions);
            continueAttempt(this->state, this->now, this->actions);
        }

        void operator()(const WatchersChanged& event) const
        {
            this->state.watchers = event.watchers;
            std::erase_if(this->state.votes, [&](const auto& vote) { return std::ranges::find(event.watchers, vote.first) == event.watchers.end(); });
            if (!isWatcher(this->state)) {
                this->state.isSuspecting = false;
                this->state.attemptStartAt.reset();
            }
        }

        void operator()(const ProbeSent& event) const
        {
            if (auto* observation = findObservation(this->state, event.upstream); observation && !observation->unansweredSince)
                observation->unansweredSince = this->now;
        }

        void operator()(const StatusReceived& event) const
        {
            if (auto* observation = findObservation(this->state, event.upstream)) {
                observation->feedAge = event.requestedAt == Time {} ? observation->feedAge : event.feedAge;
                this->recordReply(*observation, event.requestedAt == Time {});
            }
            applyStatus(this->state, event.upstream, event.status, event.requestedAt, this->now, this->actions);
            if (event.status.role == Role::Primary)
                addSample(this->state.freshnessHistory, { .term = event.status.term, .position = event.status.last.position }, event.requestedAt);
        }

        void operator()(const ProbeFailed& event) const
        {
            auto* observation = findObservation(this->state, event.upstream);
            if (!observation)
                return;
            if (!observation->unansweredSince)
                observation->unansweredSince = this->now;
            if (event.symptom != Symptom::Refused)
                return;
            if (!observation->refusedSince)
                observation->refusedSince = this->now;
            updateReachability(*observation, Reachability::Down, this->actions);
        }

        void operator()(const SymptomReported& event) const
        {
            if (auto* observation = findObservation(this->state, event.upstream); observation && event.symptom != Symptom::Healthy)
                this->actions.emplace_back(ProbeNow { event.upstream });
        }

        void operator()(const VoteReceived& event) const
        {
            if (event.suspects)
                this->state.votes[event.watcher] = { .term = event.term, .expiresAt = this->now + voteLifetime };
            else
                this->state.votes.erase(event.watcher);
            adoptTerm(this->state, event.term, this->now, this->actions);
            if (event.suspects && this->state.primary && this->hasNoUnansweredProbe(*this->state.primary))
                this->actions.emplace_back(ProbeNow { *this->state.primary });
        }

        void operator()(const FenceReplied& event) const
        {
            if (auto* observation = findObservation(this->state, event.upstream))
                this->recordReply(*observation, false);
            applyStatus(this->state, event.upstream, event.status, this->now, this->now, this->actions);
            auto& attempt = this->state.attempt;
            if (!attempt || !isCurrent(*attempt, event.term, FailoverPhase::Fencing))
                return;
            if (!event.accepted) {
                if (recordFenceRefusal(*attempt) || event.status.term > event.term)
                    abandonAttempt(this->state);
                return;
            }
            if (const auto candidate = recordFenceAcceptance(*attempt, { .upstream = event.upstream, .last = event.status.last, .isDraining = event.status.isDraining })) {
                this->state.timers = { .deadline = this->now + promotionTimeout, .retryAt = this->now + promotionRetryInterval };
                this->actions.emplace_back(RequestPromotion { .upstream = *candidate, .term = event.term });
            }
        }

        void operator()(const PromotionReplied& event) const
        {
            if (auto* observation = findObservation(this->state, event.upstream))
                this->recordReply(*observation, false);
            applyStatus(this->state, event.upstream, event.status, this->now, this->now, this->actions);
            auto& attempt = this->state.attempt;
            if (!event.promoted && attempt && isCurrent(*attempt, event.term, FailoverPhase::Promoting))
                abandonAttempt(this->state);
        }

        void operator()(const ReachabilityReported& event) const
        {
            if (auto* observation = findObservation(this->state, event.upstream))
                updateReachability(*observation, event.reachability, this->actions);
        }

        void operator()(const PrimaryReported& event) const
        {
            if (event.upstream.empty())
                adoptTerm(this->state, event.term, this->now, this->actions);
            else if (findObservation(this->state, event.upstream))
                adoptPrimary(this->state, event.upstream, event.term, this->now, this->actions);
        }

        /// A reply to other work proves that the upstream is alive, so a probe that is still pending counts as sent now.
        void recordReply(UpstreamObservation& observation, bool isProbePending) const
        {
            if (!isProbePending)
                observation.unansweredSince.reset();
            else if (observation.unansweredSince)
                observation.unansweredSince = this->now;
        }

        [[nodiscard]] bool hasNoUnansweredProbe(const std::string& upstream) const
        {
            const auto* observation = findObservation(this->state, upstream);
            return observation && !observation->unansweredSince;
        }
    };

}

Duration probeInterval(const GroupState& state, std::string_view upstream) noexcept
{
    const bool isStable = state.primary && !state.isSuspecting && !state.attempt;
    return isStable && upstream != *state.primary ? replicaProbeInterval : primaryProbeInterval;
}

GroupActions step(GroupState& state, const GroupEvent& event, Time now, Random& random)
{
    GroupActions actions;
    std::visit(EventHandler { .state = state, .now = now, .actions = actions }, event);
    updateSuspicion(state, now, random, actions);
    return actions;
}

}

#include "amaranthhall/group/group_step.hpp"

#include "amaranthhall/group/suspicion.hpp"

#include <algorithm>

namespace amaranthhall::group {

namespace {

    using namespace std::chrono_literals;

    constexpr auto primaryProbeInterval = 200ms; // longer misses the failover target
    constexpr auto replicaProbeInterval = 500ms; // longer notices an isolated primary too late
    constexpr auto voteLifetime = 500ms; // longer lets an old opinion count against a primary that answers again
    constexpr auto voteInterval = 150ms;
    constexpr auto standSpacing = 150ms; // wait of each rank for the one before it
    constexpr auto standJitter = 40ms;
    constexpr unsigned int maximumBackoff = 4; // doublings of the jitter after failed attempts
    constexpr auto fenceTimeout = 600ms;
    constexpr auto promoteTimeout = 1500ms;
    constexpr auto promoteRepeat = 250ms;
    constexpr auto suspectLimit = 400ms;
    constexpr auto downLimit = 700ms;
    constexpr auto pauseThreshold = 400ms; // a tick this late means that this process was paused

    void learnTerm(GroupState& state, Term term, Time now, GroupActions& actions)
    {
        if (term <= state.term)
            return;
        state.term = term;
        state.primary.reset();
        state.vacantSince = now;
        actions.emplace_back(ViewChanged {});
    }

    void learnPrimary(GroupState& state, const std::string& upstream, Term term, Time now, GroupActions& actions)
    {
        if (term < state.term || (term == state.term && state.primary == upstream))
            return;
        state.term = term;
        state.primary = upstream;
        state.primarySince = now;
        state.vacantSince.reset();
        state.standAt.reset();
        state.failures = 0;
        if (state.attempt && state.attempt->term <= term)
            state.attempt.reset();
        actions.emplace_back(ViewChanged {});
    }

    void updateReach(UpstreamWatch& watch, Reach reach, GroupActions& actions)
    {
        if (watch.reach != reach)
            actions.emplace_back(ViewChanged {});
        watch.reach = reach;
    }

    void takeStatus(GroupState& state, const std::string& upstream, const UpstreamStatus& status, Time askedAt, Time now, GroupActions& actions)
    {
        auto* watch = findWatch(state, upstream);
        if (!watch)
            return;
        if (status.leaving != watch->status.leaving || status.role != watch->status.role)
            actions.emplace_back(ViewChanged {});
        watch->status = status;
        watch->heardAt = now;
        watch->refusedSince.reset();
        updateReach(*watch, Reach::Up, actions);
        learnTerm(state, status.term, now, actions);
        if (status.role == Role::Primary)
            learnPrimary(state, upstream, status.term, now, actions);
        else if (state.primary == upstream && status.term == state.term && askedAt > state.primarySince) {
            state.primary.reset();
            state.vacantSince = now;
            actions.emplace_back(ViewChanged {});
        }
    }

    /// Lowers the reach of the upstreams that leave a probe unanswered.
    void lowerReach(GroupState& state, Time now, GroupActions& actions)
    {
        for (auto& upstream : state.upstreams) {
            if (!upstream.askedAt || upstream.reach == Reach::Down)
                continue;
            const auto silence = now - *upstream.askedAt;
            if (silence >= downLimit)
                updateReach(upstream, Reach::Down, actions);
            else if (silence >= suspectLimit)
                updateReach(upstream, Reach::Suspected, actions);
        }
    }

    /// Does as if the time in which this process was paused had not passed.
    void forgivePause(GroupState& state, Time now)
    {
        const auto pause = now - *state.tickedAt;
        const auto shift = [&](std::optional<Time>& moment) {
            if (moment)
                *moment = std::min(now, *moment + pause);
        };
        for (auto& upstream : state.upstreams) {
            shift(upstream.askedAt);
            shift(upstream.refusedSince);
        }
        shift(state.vacantSince);
        state.standAt.reset();
        state.votes.clear();
    }

    std::size_t countAgreeing(const GroupState& state, Time now)
    {
        const auto agrees = [&](const std::string& watcher) {
            const auto vote = state.votes.find(watcher);
            return watcher != state.self && vote != state.votes.end() && vote->second.term == state.term && vote->second.until > now;
        };
        return 1 + static_cast<std::size_t>(std::ranges::count_if(state.watchers, agrees));
    }

    void beginAttempt(GroupState& state, Time now, GroupActions& actions)
    {
        state.standAt.reset();
        state.attempted = std::max(state.term, state.attempted) + 1;
        state.attempt = Attempt { .term = state.attempted, .groupSize = state.upstreams.size(), .excluded = isolatedPrimary(state).value_or("") };
        state.times = { .deadline = now + fenceTimeout };
        for (const auto& upstream : state.upstreams)
            actions.emplace_back(OrderFence { .upstream = upstream.name, .term = state.attempt->term });
    }

    void giveUp(GroupState& state)
    {
        state.attempt.reset();
        ++state.failures;
    }

    void plan(GroupState& state, Time now, Random& random, GroupActions& actions)
    {
        const bool mayStand = state.isSuspecting && !state.attempt && countAgreeing(state, now) >= std::min<std::size_t>(2, state.watchers.size());
        if (!mayStand) {
            state.standAt.reset();
            return;
        }
        if (!state.standAt) {
            const auto rank = std::ranges::find(state.watchers, state.self) - state.watchers.begin();
            const auto spread = static_cast<std::uint64_t>(standJitter.count()) << std::min(state.failures, maximumBackoff);
            const auto jitter = std::chrono::milliseconds(random() % spread);
            state.standAt = now + rank * standSpacing + jitter;
        }
        if (now >= *state.standAt)
            beginAttempt(state, now, actions);
    }

    void tellVote(GroupState& state, Time now, GroupActions& actions)
    {
        state.toldAt = now;
        actions.emplace_back(TellVote { .term = state.term, .suspects = state.isSuspecting });
    }

    void judge(GroupState& state, Time now, Random& random, GroupActions& actions)
    {
        if (!isWatcher(state))
            return;
        const bool suspects = findSuspicion(state, now) != Suspicion::None;
        const bool hasChanged = suspects != state.isSuspecting;
        state.isSuspecting = suspects;
        if (hasChanged || (suspects && now - state.toldAt >= voteInterval))
            tellVote(state, now, actions);
        if (hasChanged && state.primary && suspects)
            updateReach(*findWatch(state, *state.primary), Reach::Suspected, actions);
        plan(state, now, random, actions);
    }

    void keepAttempt(GroupState& state, Time now, GroupActions& actions)
    {
        if (!state.attempt)
            return;
        if (now >= state.times.deadline) {
            giveUp(state);
            return;
        }
        if (state.attempt->phase != AttemptPhase::Promoting || now < state.times.repeatAt)
            return;
        state.times.repeatAt = now + promoteRepeat;
        actions.emplace_back(OrderPromote { .upstream = state.attempt->candidate, .term = state.attempt->term });
    }

    /// Takes one kind of event each.
    struct Taker {
        GroupState& state;
        Time now;
        GroupActions& actions;

        void operator()(const Ticked&) const
        {
            if (this->state.tickedAt && this->now - *this->state.tickedAt > pauseThreshold)
                forgivePause(this->state, this->now);
            this->state.tickedAt = this->now;
            if (!this->state.primary && !this->state.vacantSince)
                this->state.vacantSince = this->now;
            lowerReach(this->state, this->now, this->actions);
            keepAttempt(this->state, this->now, this->actions);
        }

        void operator()(const WatchersChanged& event) const
        {
            this->state.watchers = event.watchers;
            std::erase_if(this->state.votes, [&](const auto& vote) { return std::ranges::find(event.watchers, vote.first) == event.watchers.end(); });
            if (!isWatcher(this->state)) {
                this->state.isSuspecting = false;
                this->state.standAt.reset();
            }
        }

        void operator()(const ProbeSent& event) const
        {
            if (auto* watch = findWatch(this->state, event.upstream); watch && !watch->askedAt)
                watch->askedAt = this->now;
        }

        void operator()(const StatusHeard& event) const
        {
            if (auto* watch = findWatch(this->state, event.upstream)) {
                watch->feedAge = event.askedAt == Time {} ? watch->feedAge : event.feedAge;
                this->endSilence(*watch, event.askedAt == Time {});
            }
            takeStatus(this->state, event.upstream, event.status, event.askedAt, this->now, this->actions);
            if (event.status.role == Role::Primary)
                addSample(this->state.history, { .term = event.status.term, .position = event.status.last.position }, event.askedAt);
        }

        void operator()(const ProbeFailed& event) const
        {
            auto* watch = findWatch(this->state, event.upstream);
            if (!watch)
                return;
            if (!watch->askedAt)
                watch->askedAt = this->now;
            if (event.symptom != Symptom::Refused)
                return;
            if (!watch->refusedSince)
                watch->refusedSince = this->now;
            updateReach(*watch, Reach::Down, this->actions);
        }

        void operator()(const SymptomReported& event) const
        {
            if (auto* watch = findWatch(this->state, event.upstream); watch && event.symptom != Symptom::Healthy)
                this->actions.emplace_back(ProbeNow { event.upstream });
        }

        void operator()(const VoteHeard& event) const
        {
            if (event.suspects)
                this->state.votes[event.watcher] = { .term = event.term, .until = this->now + voteLifetime };
            else
                this->state.votes.erase(event.watcher);
            learnTerm(this->state, event.term, this->now, this->actions);
            if (event.suspects && this->state.primary && this->isQuiet(*this->state.primary))
                this->actions.emplace_back(ProbeNow { *this->state.primary });
        }

        void operator()(const FenceAnswered& event) const
        {
            if (auto* watch = findWatch(this->state, event.upstream))
                this->endSilence(*watch, false);
            takeStatus(this->state, event.upstream, event.status, this->now, this->now, this->actions);
            auto& attempt = this->state.attempt;
            if (!attempt || !isCurrent(*attempt, event.term, AttemptPhase::Fencing))
                return;
            if (!event.accepted) {
                if (takeRefusal(*attempt) || event.status.term > event.term)
                    giveUp(this->state);
                return;
            }
            if (const auto candidate = takeFence(*attempt, { .upstream = event.upstream, .last = event.status.last, .leaving = event.status.leaving })) {
                this->state.times = { .deadline = this->now + promoteTimeout, .repeatAt = this->now + promoteRepeat };
                this->actions.emplace_back(OrderPromote { .upstream = *candidate, .term = event.term });
            }
        }

        void operator()(const PromoteAnswered& event) const
        {
            if (auto* watch = findWatch(this->state, event.upstream))
                this->endSilence(*watch, false);
            takeStatus(this->state, event.upstream, event.status, this->now, this->now, this->actions);
            auto& attempt = this->state.attempt;
            if (!event.promoted && attempt && isCurrent(*attempt, event.term, AttemptPhase::Promoting))
                giveUp(this->state);
        }

        void operator()(const ReachTold& event) const
        {
            if (auto* watch = findWatch(this->state, event.upstream))
                updateReach(*watch, event.reach, this->actions);
        }

        void operator()(const PrimaryTold& event) const
        {
            if (event.upstream.empty())
                learnTerm(this->state, event.term, this->now, this->actions);
            else if (findWatch(this->state, event.upstream))
                learnPrimary(this->state, event.upstream, event.term, this->now, this->actions);
        }

        /// A probe that is still unanswered counts as sent anew when other work proves that the upstream lives.
        void endSilence(UpstreamWatch& watch, bool probeIsOpen) const
        {
            if (!probeIsOpen)
                watch.askedAt.reset();
            else if (watch.askedAt)
                watch.askedAt = this->now;
        }

        [[nodiscard]] bool isQuiet(const std::string& upstream) const
        {
            const auto* watch = findWatch(this->state, upstream);
            return watch && !watch->askedAt;
        }
    };

}

Duration probeInterval(const GroupState& state, std::string_view upstream) noexcept
{
    const bool isCalm = state.primary && !state.isSuspecting && !state.attempt;
    return isCalm && upstream != *state.primary ? replicaProbeInterval : primaryProbeInterval;
}

GroupActions step(GroupState& state, const GroupEvent& event, Time now, Random& random)
{
    GroupActions actions;
    std::visit(Taker { .state = state, .now = now, .actions = actions }, event);
    judge(state, now, random, actions);
    return actions;
}

}

#include "load/load_simulation.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::load::simulation {

namespace {

    constexpr std::array<std::string_view, upstreamCount> names { "a", "b", "c" };
    constexpr Micros staleness = 1'500'000;
    constexpr Micros timeout = 2 * second;

    /// The estimate of the previous build: a lag that was reported in the last 3 s is constant, any other is 0.
    bool wasExpectedToHold(const freshness::ReplicaLag& state, const group::LogPoint& wanted, std::optional<Micros> reachedAt, Micros now)
    {
        const auto lag = state.reportedAt != 0 && now - state.reportedAt <= freshness::ReplicaLag::maximumAge ? state.lag : 0;
        return state.reportedPoint >= wanted || (reachedAt && *reachedAt <= now - lag - freshness::ReplicaLag::safetyMargin);
    }

}

Simulation::Simulation(Scenario usedScenario, unsigned seed)
    : scenario(std::move(usedScenario))
    , random(seed)
    , homes(this->scenario.homes)
{
}

void Simulation::at(Micros time, std::function<void()> action)
{
    this->events.emplace(time, ++this->lastEvent, std::move(action));
}

group::LogPoint Simulation::positionOf(std::size_t upstream)
{
    return this->positionAt(this->now - (upstream == 0 ? 0 : this->scenario.lag(upstream, this->now)));
}

void Simulation::scheduleArrivals(bool needsLeader, double perSecond)
{
    const auto gap = static_cast<Micros>(std::exponential_distribution<double>(perSecond / second)(this->random));
    this->at(this->now + gap, [this, needsLeader, perSecond] {
        this->arrive(needsLeader);
        this->scheduleArrivals(needsLeader, perSecond);
    });
}

void Simulation::arrive(bool needsLeader)
{
    std::vector<double> weights(this->homes.size(), 1);
    for (std::size_t i = 0; i < weights.size(); i += zones)
        weights[i] = this->scenario.unevenness;
    auto& home = this->homes[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random)];
    const auto wanted = home.samples.leastPointSince(this->now - staleness);
    home.waiting.push_back({ .needsLeader = needsLeader || !wanted, .after = wanted.value_or(group::LogPoint {}), .deadline = this->now + timeout });
    this->process(home);
}

/// Serves what can be served, in order of arrival within each kind.
void Simulation::process(Home& home)
{
    std::erase_if(home.waiting, [this](const Statement& statement) {
        const bool isOver = statement.deadline <= this->now;
        this->outcome.unserved += isOver ? 1 : 0;
        return isOver;
    });
    for (std::size_t i = 0; i < home.waiting.size();) {
        const auto statement = home.waiting[i];
        if (this->serve(home, statement))
            home.waiting.erase(home.waiting.begin() + static_cast<std::ptrdiff_t>(i));
        else
            ++i;
    }
}

UpstreamLoad Simulation::loadOf(Home& home, std::size_t upstream)
{
    home.runningMean[upstream].note(home.running[upstream], this->timeNow());
    const auto forLeader = static_cast<double>(std::count_if(home.waiting.begin(), home.waiting.end(), [](const auto& statement) { return statement.needsLeader; }));
    const auto forAny = static_cast<double>(home.waiting.size()) - forLeader;
    return { .running = home.runningMean[upstream].value(), .waiting = forAny / upstreamCount + (upstream == 0 ? forLeader : 0) };
}

placement::Candidate Simulation::candidateFor(Home& home, std::size_t upstream)
{
    const auto own = this->loadOf(home, upstream);
    const auto others = home.others.estimate(names[upstream], this->timeNow());
    const auto limit = windowShare({ .slots = slots, .localLimit = placement::concurrencyLimit(home.health[upstream], slots), .ownDemand = own.running + own.waiting, .others = others });
    return { .id = names[upstream], .slots = slots, .running = home.running[upstream], .others = others, .limit = limit, .idle = 1, .isLeader = upstream == 0, .crossingCost = this->numberOf(home) % zones == upstream ? Duration::zero() : std::chrono::milliseconds(1) };
}

/// Sends the load of a home to those of its zone, and in some rounds to the others.
void Simulation::report(std::size_t number, bool isFarRound)
{
    auto& home = this->homes[number];
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        auto own = this->loadOf(home, upstream);
        own.rejected = std::exchange(home.rejected[upstream], 0);
        const auto due = home.policies[upstream].next({ .slots = slots, .homes = this->homes.size(), .own = own }, isFarRound);
        for (std::size_t peer = 0; peer < this->homes.size(); ++peer) {
            const bool isFar = peer % zones != number % zones;
            const auto& figures = isFar ? due.far : due.near;
            if (peer == number || !figures)
                continue;
            ++(isFar ? this->outcome.farReports : this->outcome.reports);
            if (std::bernoulli_distribution(this->scenario.reportLoss)(this->random))
                continue;
            this->at(this->now + this->scenario.reportDelay, [this, peer, number, upstream, load = *figures, at = this->timeNow()] { this->homes[peer].others.note(names[upstream], std::to_string(number), load, at); });
        }
    }
}

bool Simulation::serve(Home& home, const Statement& statement)
{
    const auto reachedAt = home.samples.reachedAt(statement.after);
    std::array<placement::UpstreamHealth, upstreamCount> health = home.health;
    std::vector<placement::Candidate> candidates;
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        auto candidate = this->candidateFor(home, i);
        candidate.health = &health[i];
        const auto holdsAt = i == 0 ? std::optional(this->now) : freshness::expectedToHoldAt(home.lags[i], statement.after, reachedAt, this->now);
        candidate.wasTried = std::find(statement.tried.begin(), statement.tried.end(), i) != statement.tried.end();
        if (this->scenario.ignoresLag)
            health[i].latency += i == 0 || wasExpectedToHold(home.lags[i], statement.after, reachedAt, this->now) ? Duration::zero() : Duration(std::chrono::milliseconds(100));
        else {
            candidate.isLagging = !holdsAt || *holdsAt > this->now;
            if (holdsAt)
                candidate.holdsIn = std::chrono::microseconds(*holdsAt - this->now);
            if (candidate.isLagging)
                this->probe(home, i);
        }
        candidates.push_back(candidate);
    }
    const auto choice = statement.needsLeader ? placement::chooseLeader(candidates, this->timeNow()) : placement::chooseRead(candidates, this->timeNow(), std::chrono::microseconds(statement.deadline - this->now), this->random());
    if (choice.step == placement::Choice::Step::Refuse) {
        ++this->outcome.unserved;
        return true;
    }
    if (choice.step == placement::Choice::Step::Wait)
        return false;
    this->send(home, choice.candidate, statement);
    return true;
}

void Simulation::probe(Home& home, std::size_t upstream)
{
    if (!freshness::isProbeDue(home.lags[upstream], this->now))
        return;
    freshness::noteProbe(home.lags[upstream], this->now);
    ++this->outcome.probes;
    this->at(this->now + oneWay, [this, &home, upstream] {
        this->at(this->now + oneWay, [this, &home, upstream, point = this->positionOf(upstream)] {
            freshness::updateLag(home.lags[upstream], home.samples, point, this->now);
            this->process(home);
        });
    });
}

void Simulation::send(Home& home, std::size_t upstream, const Statement& statement)
{
    ++home.running[upstream];
    this->at(this->now + oneWay, [this, &home, upstream, statement, sentAt = this->now] {
        ++this->outcome.arrivals[upstream];
        this->outcome.fromFirstZone[upstream] += this->numberOf(home) % zones == 0 ? 1 : 0;
        if (this->upstreams[upstream].queue.size() >= queueLimit || this->scenario.sheds(this->numberOf(home), upstream)) {
            ++this->outcome.rejected;
            this->at(this->now + oneWay, [this, &home, upstream, statement] {
                ++home.rejected[upstream];
                placement::noteActivity(home.health[upstream], this->timeNow());
                placement::noteOverload(home.health[upstream], this->timeNow());
                this->retry(home, statement, upstream);
            });
            return;
        }
        if (!statement.needsLeader && this->positionOf(upstream) < statement.after) {
            ++this->outcome.lagging;
            this->at(this->now + oneWay, [this, &home, upstream, statement, point = this->positionOf(upstream)] {
                freshness::updateLag(home.lags[upstream], home.samples, point, this->now);
                freshness::noteLagRefusal(home.lags[upstream], this->now);
                this->retry(home, statement, upstream);
            });
            return;
        }
        this->upstreams[upstream].queue.emplace_back([this, &home, upstream, sentAt] { this->onReply(home, upstream, sentAt); });
        this->startNext(upstream);
    });
}

/// Tries a refused statement on another upstream, or the leader in the end.
void Simulation::retry(Home& home, Statement statement, std::size_t upstream)
{
    constexpr std::size_t retriesBeforeLeader = 2;
    --home.running[upstream];
    statement.tried.push_back(upstream);
    statement.needsLeader = statement.needsLeader || statement.tried.size() >= retriesBeforeLeader;
    if (statement.tried.size() > retriesBeforeLeader)
        ++this->outcome.unserved;
    else
        home.waiting.push_front(std::move(statement));
    this->process(home);
}

void Simulation::startNext(std::size_t upstream)
{
    auto& state = this->upstreams[upstream];
    if (state.running >= slots || state.queue.empty())
        return;
    ++state.running;
    const auto reply = std::move(state.queue.front());
    state.queue.pop_front();
    const auto mean = static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(this->scenario.meanWork).count());
    this->at(this->now + static_cast<Micros>(std::gamma_distribution<double>(4, mean / 4)(this->random)), [this, upstream, reply] {
        --this->upstreams[upstream].running;
        this->at(this->now + oneWay, reply);
        this->startNext(upstream);
    });
}

void Simulation::onReply(Home& home, std::size_t upstream, Micros sentAt)
{
    --home.running[upstream];
    ++this->outcome.served;
    placement::noteAnswer(home.health[upstream], std::chrono::microseconds(this->now - sentAt), this->timeNow());
    freshness::updateLag(home.lags[upstream], home.samples, this->positionOf(upstream), this->now);
    this->process(home);
}

Outcome Simulation::run()
{
    const auto end = this->now + this->scenario.duration;
    constexpr Micros sampleInterval = 100'000;
    for (auto time = this->now - 2 * second; time < end; time += sampleInterval) {
        this->at(std::max(this->now, time + oneWay), [this, time] {
            for (auto& home : this->homes)
                home.samples.add({ .point = this->positionAt(time), .at = time });
        });
    }
    for (auto time = this->now; time < end; time += sampleInterval) {
        this->at(time, [this] {
            for (auto& home : this->homes)
                this->process(home);
        });
    }
    constexpr Micros lookInterval = 1'000;
    for (auto time = this->now; time < end; time += lookInterval) {
        this->at(time, [this] {
            for (auto& upstream : this->upstreams)
                upstream.inFlightTime += static_cast<double>(upstream.running + upstream.queue.size()) * lookInterval;
        });
    }
    constexpr Micros reportInterval = std::chrono::duration_cast<std::chrono::microseconds>(ReportPolicy::roundInterval).count();
    for (std::size_t home = 0; this->scenario.sendsReports && home < this->homes.size(); ++home) {
        unsigned round = 0;
        for (auto time = this->now + static_cast<Micros>(home) * 7'000; time < end; time += reportInterval)
            this->at(time, [this, home, isFar = ++round % ReportPolicy::roundsPerFarReport == 0] { this->report(home, isFar); });
    }
    this->scheduleArrivals(false, this->scenario.readsPerSecond);
    this->scheduleArrivals(true, this->scenario.leaderPerSecond);
    while (!this->events.empty() && std::get<0>(this->events.top()) < end) {
        auto [time, number, action] = this->events.top();
        this->events.pop();
        this->now = time;
        action();
    }
    for (const auto& upstream : this->upstreams)
        this->outcome.meanInFlight = std::max(this->outcome.meanInFlight, upstream.inFlightTime / static_cast<double>(this->scenario.duration));
    return this->outcome;
}

}

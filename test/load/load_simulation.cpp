#include "load/load_simulation.hpp"

#include <algorithm>

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
    auto& home = this->homes[std::uniform_int_distribution<std::size_t>(0, this->homes.size() - 1)(this->random)];
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

bool Simulation::serve(Home& home, const Statement& statement)
{
    const auto reachedAt = home.samples.reachedAt(statement.after);
    std::array<placement::UpstreamHealth, upstreamCount> health = home.health;
    std::vector<placement::Candidate> candidates;
    for (std::size_t i = 0; i < upstreamCount; ++i) {
        placement::Candidate candidate { .id = names[i], .health = &health[i], .slots = slots, .running = home.running[i], .limit = placement::concurrencyLimit(health[i], slots), .idle = 1, .isLeader = i == 0 };
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
    const auto choice = statement.needsLeader ? placement::chooseLeader(candidates, this->timeNow()) : placement::chooseRead(candidates, this->timeNow(), std::chrono::microseconds(statement.deadline - this->now));
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
        if (!statement.needsLeader && this->positionOf(upstream) < statement.after) {
            ++this->outcome.lagging;
            this->at(this->now + oneWay, [this, &home, upstream, retried = Statement(statement), point = this->positionOf(upstream)]() mutable {
                constexpr std::size_t retriesBeforeLeader = 2;
                --home.running[upstream];
                freshness::updateLag(home.lags[upstream], home.samples, point, this->now);
                freshness::noteLagRefusal(home.lags[upstream], this->now);
                retried.tried.push_back(upstream);
                retried.needsLeader = retried.tried.size() >= retriesBeforeLeader;
                home.waiting.push_front(retried);
                this->process(home);
            });
            return;
        }
        this->upstreams[upstream].queue.emplace_back([this, &home, upstream, sentAt] { this->onReply(home, upstream, sentAt); });
        this->startNext(upstream);
    });
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
    this->scheduleArrivals(false, this->scenario.readsPerSecond);
    this->scheduleArrivals(true, this->scenario.leaderPerSecond);
    while (!this->events.empty() && std::get<0>(this->events.top()) < end) {
        auto [time, number, action] = this->events.top();
        this->events.pop();
        this->now = time;
        action();
    }
    return this->outcome;
}

}

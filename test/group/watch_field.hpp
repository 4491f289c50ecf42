#pragma once

#include "amaranthhall/group/group_step.hpp"
#include "amaranthhall/standin/group_log.hpp"

#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace amaranthhall::test {

using namespace std::chrono_literals;

/// @brief How an upstream answers.
enum class Health {
    Up,
    Refusing,
    Silent,
};

/// @brief Watchers of one group with pretended time: their decisions are real, links and upstreams are fakes.
class WatchField {
public:
    explicit WatchField(std::size_t watcherCount, bool hasPrimary = true)
        : watchers(watcherCount)
    {
        for (auto& log : this->logs) {
            if (hasPrimary)
                log.fence(1);
        }
        if (hasPrimary)
            this->logs[0].promote(1);
        std::vector<std::string> ids;
        for (std::size_t i = 0; i < watcherCount; ++i)
            ids.push_back(std::to_string(i));
        for (std::size_t i = 0; i < watcherCount; ++i) {
            auto& state = this->watchers[i].state;
            state.self = ids[i];
            for (const auto* name : { "a", "b", "c" })
                state.upstreams.push_back({ .name = name });
            this->give(i, group::WatchersChanged { .watchers = ids });
            this->at(std::chrono::milliseconds(17 * i), [this, i] { this->tick(i); });
        }
    }

    void run(Duration duration)
    {
        const auto until = this->now + duration;
        while (!this->events.empty() && this->events.top().time <= until) {
            const auto event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.call();
        }
        this->now = until;
    }

    void at(Duration delay, std::function<void()> call) { this->events.push({ this->now + delay, this->nextId++, std::move(call) }); }

    /// @brief Stops a watcher; what reaches it waits until it wakes.
    void pause(std::size_t watcher, Duration duration)
    {
        this->watchers[watcher].pausedUntil = this->now + duration;
    }

    [[nodiscard]] std::size_t countPrimaries(group::Term term) const
    {
        std::size_t count = 0;
        for (const auto& log : this->logs)
            count += log.status().role == group::Role::Primary && log.status().term == term ? 1 : 0;
        return count;
    }

    struct Watcher {
        group::GroupState state;
        std::map<std::string, Time> askedAt;
        std::map<std::string, bool> isAsking;
        Time pausedUntil;
    };

    std::vector<Watcher> watchers;
    std::vector<standin::GroupLog> logs { 3 };
    std::vector<Health> health { 3, Health::Up };
    std::vector<Duration> feedAge { 0ms, 0ms, 0ms };
    std::function<Duration(std::size_t watcher, std::size_t upstream)> delay = [](auto, auto) { return 2ms; };
    std::function<bool(std::size_t watcher, std::size_t upstream)> reaches = [](auto, auto) { return true; };
    std::function<bool()> losesVote = [] { return false; };
    std::size_t promotions { 0 };
    Time promotedAt;
    Time now { Duration(1h) };
    Random random { 7 };

private:
    struct Event {
        Time time;
        std::size_t id;
        std::function<void()> call;

        friend bool operator>(const Event& left, const Event& right) { return std::tie(left.time, left.id) > std::tie(right.time, right.id); }
    };

    /// Runs a call on a watcher, or once it has woken.
    void onWatcher(std::size_t watcher, const std::function<void()>& call)
    {
        if (this->now < this->watchers[watcher].pausedUntil)
            this->at(this->watchers[watcher].pausedUntil - this->now, [this, watcher, call] { this->onWatcher(watcher, call); });
        else
            call();
    }

    void give(std::size_t watcher, const group::GroupEvent& event)
    {
        this->onWatcher(watcher, [this, watcher, event] {
            for (const auto& action : group::step(this->watchers[watcher].state, event, this->now, this->random))
                this->carryOut(watcher, action);
        });
    }

    void tick(std::size_t watcher)
    {
        this->give(watcher, group::Ticked {});
        for (std::size_t i = 0; i < this->logs.size(); ++i)
            this->onWatcher(watcher, [this, watcher, i] { this->ask(watcher, i, group::probeInterval(this->watchers[watcher].state, this->watchers[watcher].state.upstreams[i].name)); });
        this->onWatcher(watcher, [this, watcher] { this->at(group::tickInterval, [this, watcher] { this->tick(watcher); }); });
    }

    void ask(std::size_t watcher, std::size_t upstream, Duration interval)
    {
        auto& self = this->watchers[watcher];
        const auto name = self.state.upstreams[upstream].name;
        if (self.isAsking[name] || this->now - self.askedAt[name] < interval)
            return;
        self.isAsking[name] = true;
        self.askedAt[name] = this->now;
        this->give(watcher, group::ProbeSent { .upstream = name });
        this->send(watcher, upstream, [this, watcher, upstream, name, askedAt = this->now] {
            this->give(watcher, group::StatusHeard { .upstream = name, .status = this->logs[upstream].status(), .askedAt = askedAt, .feedAge = this->feedAge[upstream] });
        });
    }

    /// Has an upstream answer, refuse or stay silent.
    void send(std::size_t watcher, std::size_t upstream, const std::function<void()>& answer)
    {
        const auto name = this->watchers[watcher].state.upstreams[upstream].name;
        const auto fail = [this, watcher, name](group::Symptom symptom) {
            this->watchers[watcher].isAsking[name] = false;
            this->give(watcher, group::ProbeFailed { .upstream = name, .symptom = symptom });
        };
        const bool isSilent = this->health[upstream] == Health::Silent || !this->reaches(watcher, upstream);
        if (isSilent)
            this->at(1s, [fail] { fail(group::Symptom::Silent); });
        else if (this->health[upstream] == Health::Refusing)
            this->at(1ms, [fail] { fail(group::Symptom::Refused); });
        else
            this->at(this->delay(watcher, upstream), [this, watcher, name, answer] {
                this->watchers[watcher].isAsking[name] = false;
                answer();
            });
    }

    void carryOut(std::size_t watcher, const group::GroupAction& action)
    {
        const auto find = [](const std::string& name) { return static_cast<std::size_t>(name.front() - 'a'); };
        if (const auto* ask = std::get_if<group::ProbeNow>(&action)) {
            this->ask(watcher, find(ask->upstream), 20ms);
        } else if (const auto* fence = std::get_if<group::OrderFence>(&action)) {
            this->send(watcher, find(fence->upstream), [this, watcher, order = *fence, find] {
                auto& log = this->logs[find(order.upstream)];
                const bool accepted = log.fence(order.term);
                this->give(watcher, group::FenceAnswered { .upstream = order.upstream, .term = order.term, .accepted = accepted, .status = log.status() });
            });
        } else if (const auto* promote = std::get_if<group::OrderPromote>(&action)) {
            this->send(watcher, find(promote->upstream), [this, watcher, order = *promote, find] { this->promote(watcher, order, find(order.upstream)); });
        } else if (const auto* vote = std::get_if<group::TellVote>(&action)) {
            for (std::size_t i = 0; i < this->watchers.size(); ++i) {
                if (i != watcher && !this->losesVote())
                    this->at(2ms, [this, i, watcher, told = *vote] { this->give(i, group::VoteHeard { .watcher = std::to_string(watcher), .term = told.term, .suspects = told.suspects }); });
            }
        }
    }

    void promote(std::size_t watcher, const group::OrderPromote& order, std::size_t upstream)
    {
        auto& log = this->logs[upstream];
        const bool wasPrimary = log.status().role == group::Role::Primary;
        const bool promoted = log.promote(order.term);
        if (promoted && !wasPrimary) {
            ++this->promotions;
            this->promotedAt = this->now;
        }
        this->give(watcher, group::PromoteAnswered { .upstream = order.upstream, .term = order.term, .promoted = promoted, .status = log.status() });
    }

    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::size_t nextId { 0 };
};

}

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

/// @brief How an upstream responds to requests.
enum class UpstreamBehaviour {
    Up,
    Refusing,
    Unresponsive,
};

/// @brief Simulates the watchers of one group in virtual time. Their decisions are the real code; network and upstreams are simulated.
class GroupSimulation {
public:
    explicit GroupSimulation(std::size_t watcherCount, bool hasPrimary = true)
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
            this->deliver(i, group::WatchersChanged { .watchers = ids });
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

    /// @brief Pauses a watcher; its events are delivered when it resumes.
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
        std::map<std::string, Time> lastProbeAt;
        std::map<std::string, bool> isProbing;
        Time pausedUntil;
    };

    std::vector<Watcher> watchers;
    std::vector<standin::GroupLog> logs { 3 };
    std::vector<UpstreamBehaviour> behaviours { 3, UpstreamBehaviour::Up };
    std::vector<Duration> feedAge { 0ms, 0ms, 0ms };
    std::function<Duration(std::size_t watcher, std::size_t upstream)> delay = [](auto, auto) { return 2ms; };
    std::function<bool(std::size_t watcher, std::size_t upstream)> isConnected = [](auto, auto) { return true; };
    std::function<bool()> dropsVote = [] { return false; };
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

    /// Runs a callback on a watcher, deferred until the watcher resumes if it is paused.
    void runOnWatcher(std::size_t watcher, const std::function<void()>& call)
    {
        if (this->now < this->watchers[watcher].pausedUntil)
            this->at(this->watchers[watcher].pausedUntil - this->now, [this, watcher, call] { this->runOnWatcher(watcher, call); });
        else
            call();
    }

    void deliver(std::size_t watcher, const group::GroupEvent& event)
    {
        this->runOnWatcher(watcher, [this, watcher, event] {
            for (const auto& action : group::step(this->watchers[watcher].state, event, this->now, this->random))
                this->execute(watcher, action);
        });
    }

    void tick(std::size_t watcher)
    {
        this->deliver(watcher, group::Ticked {});
        for (std::size_t i = 0; i < this->logs.size(); ++i)
            this->runOnWatcher(watcher, [this, watcher, i] { this->probe(watcher, i, group::probeInterval(this->watchers[watcher].state, this->watchers[watcher].state.upstreams[i].name)); });
        this->runOnWatcher(watcher, [this, watcher] { this->at(group::tickInterval, [this, watcher] { this->tick(watcher); }); });
    }

    void probe(std::size_t watcher, std::size_t upstream, Duration interval)
    {
        auto& self = this->watchers[watcher];
        const auto name = self.state.upstreams[upstream].name;
        if (self.isProbing[name] || this->now - self.lastProbeAt[name] < interval)
            return;
        self.isProbing[name] = true;
        self.lastProbeAt[name] = this->now;
        this->deliver(watcher, group::ProbeSent { .upstream = name });
        this->send(watcher, upstream, [this, watcher, upstream, name, requestedAt = this->now] {
            this->deliver(watcher, group::StatusReceived { .upstream = name, .status = this->logs[upstream].status(), .requestedAt = requestedAt, .feedAge = this->feedAge[upstream] });
        });
    }

    /// Delivers a request to an upstream, which replies, refuses the connection or lets it time out.
    void send(std::size_t watcher, std::size_t upstream, const std::function<void()>& reply)
    {
        const auto name = this->watchers[watcher].state.upstreams[upstream].name;
        const auto fail = [this, watcher, name](group::Symptom symptom) {
            this->watchers[watcher].isProbing[name] = false;
            this->deliver(watcher, group::ProbeFailed { .upstream = name, .symptom = symptom });
        };
        const bool isUnresponsive = this->behaviours[upstream] == UpstreamBehaviour::Unresponsive || !this->isConnected(watcher, upstream);
        if (isUnresponsive)
            this->at(1s, [fail] { fail(group::Symptom::TimedOut); });
        else if (this->behaviours[upstream] == UpstreamBehaviour::Refusing)
            this->at(1ms, [fail] { fail(group::Symptom::Refused); });
        else
            this->at(this->delay(watcher, upstream), [this, watcher, name, reply] {
                this->watchers[watcher].isProbing[name] = false;
                reply();
            });
    }

    void execute(std::size_t watcher, const group::GroupAction& action)
    {
        const auto find = [](const std::string& name) { return static_cast<std::size_t>(name.front() - 'a'); };
        if (const auto* probe = std::get_if<group::ProbeNow>(&action)) {
            this->probe(watcher, find(probe->upstream), 20ms);
        } else if (const auto* fence = std::get_if<group::RequestFence>(&action)) {
            this->send(watcher, find(fence->upstream), [this, watcher, request = *fence, find] {
                auto& log = this->logs[find(request.upstream)];
                const bool accepted = log.fence(request.term);
                this->deliver(watcher, group::FenceReplied { .upstream = request.upstream, .term = request.term, .accepted = accepted, .status = log.status() });
            });
        } else if (const auto* promote = std::get_if<group::RequestPromotion>(&action)) {
            this->send(watcher, find(promote->upstream), [this, watcher, request = *promote, find] { this->promote(watcher, request, find(request.upstream)); });
        } else if (const auto* vote = std::get_if<group::BroadcastVote>(&action)) {
            for (std::size_t i = 0; i < this->watchers.size(); ++i) {
                if (i != watcher && !this->dropsVote())
                    this->at(2ms, [this, i, watcher, message = *vote] { this->deliver(i, group::VoteReceived { .watcher = std::to_string(watcher), .term = message.term, .suspects = message.suspects }); });
            }
        }
    }

    void promote(std::size_t watcher, const group::RequestPromotion& request, std::size_t upstream)
    {
        auto& log = this->logs[upstream];
        const bool wasPrimary = log.status().role == group::Role::Primary;
        const bool promoted = log.promote(request.term);
        if (promoted && !wasPrimary) {
            ++this->promotions;
            this->promotedAt = this->now;
        }
        this->deliver(watcher, group::PromotionReplied { .upstream = request.upstream, .term = request.term, .promoted = promoted, .status = log.status() });
    }

    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::size_t nextId { 0 };
};

}

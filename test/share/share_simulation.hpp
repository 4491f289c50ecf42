#pragma once

#include "amaranthhall/share/share_node.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhall::share::test {

using namespace std::chrono_literals;

/// @brief What goes wrong in a run, each as a probability in percent.
struct Faults {
    int lost { 0 }; ///< Requests, and answers, that never arrive.
    int doubled { 0 };
    int late { 0 }; ///< Requests that arrive up to 3 s late.
    int lostWrites { 0 }; ///< Answers of the store that are lost after the effect.
    int wrongMembers { 0 }; ///< Members that a daemon's failure detector misses.
};

/// @brief Daemons with pools before stand-in upstreams, in pretended time.
class Simulation {
public:
    struct Pool {
        std::uint32_t open { 0 }; ///< As the daemon believes.
        std::uint32_t busy { 0 };
        std::uint32_t demand { 0 };
    };

    struct Daemon {
        ShareNode node;
        std::string vm;
        double rate { 1 }; ///< Speed of its clock.
        bool alive { true };
        bool paused { false };
        Duration silentSince {};
        std::map<group::UpstreamId, Pool> pools;
        std::vector<std::function<void()>> inbox; ///< What arrives while it is paused.
        std::map<std::uint64_t, std::function<void(const Response&)>> tickets;
    };

    Simulation(std::uint64_t seed, std::uint32_t limit, Faults faults)
        : random(seed)
        , faults(faults)
        , limits { { { { "coach-ledger", "1" }, "a" }, limit }, { { { "coach-ledger", "1" }, "b" }, limit } }
    {
    }

    Daemon& addDaemon()
    {
        const auto number = this->daemons.size() + 1;
        const Process self { .vm = "vm-" + std::to_string(number), .started = number, .address = { "10.0.0.1", static_cast<std::uint16_t>(number) } };
        auto daemon = std::make_unique<Daemon>(Daemon { .node = makeShareNode(self, {}), .vm = self.vm, .rate = 0.98 + 0.04 * this->roll(100) / 100 });
        daemon->node.limits = this->limits;
        this->daemons.push_back(std::move(daemon));
        return *this->daemons.back();
    }

    void run(Duration length)
    {
        for (const auto end = this->elapsed + length; this->elapsed < end; this->elapsed += 10ms)
            this->step();
    }

    void kill(Daemon& daemon)
    {
        daemon.alive = false;
        daemon.silentSince = this->elapsed;
        for (const auto& [id, limit] : this->limits)
            this->connections[{ id, daemon.vm }] = 0;
    }

    static void pause(Daemon& daemon, Duration now)
    {
        daemon.paused = true;
        daemon.silentSince = now;
    }

    void resume(Daemon& daemon)
    {
        daemon.paused = false;
        for (const auto& deliver : std::exchange(daemon.inbox, {}))
            this->at(this->elapsed, deliver);
    }

    [[nodiscard]] Time clockOf(const Daemon& daemon) const
    {
        return Time(1h) + std::chrono::duration_cast<Duration>(this->elapsed * daemon.rate);
    }

    [[nodiscard]] std::uint32_t allowance(const Daemon& daemon, const group::UpstreamId& id) const
    {
        return daemon.alive ? computeAllowance(daemon.node.ledger, id, this->clockOf(daemon)) : 0;
    }

    int roll(int count) { return std::uniform_int_distribution<int>(0, count - 1)(this->random); }

    Random random;
    Faults faults;
    Counts limits;
    Duration elapsed {};
    bool storeDown { false };
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<std::pair<group::UpstreamId, std::string>, std::uint32_t> connections; ///< As the upstreams see them.
    std::map<group::UpstreamId, std::uint32_t> worst; ///< Most connections held or allowed at once.
    int broken { 0 }; ///< Steps in which a limit was exceeded.

private:
    void at(Duration time, std::function<void()> action) { this->events.emplace(time, std::move(action)); }

    void deliver(Daemon& daemon, const std::function<void()>& action)
    {
        if (daemon.paused)
            daemon.inbox.push_back(action);
        else if (daemon.alive)
            action();
    }

    Daemon* findDaemon(const kernel::Address& address)
    {
        return address.port >= 1 && address.port <= this->daemons.size() ? this->daemons[address.port - 1].get() : nullptr;
    }

    void step()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->elapsed) {
            const auto action = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            action();
        }
        const auto isTick = this->elapsed % 100ms == Duration::zero();
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            auto& daemon = *this->daemons[i];
            if (!daemon.alive || daemon.paused)
                continue;
            if (isTick) {
                this->showMembers(daemon);
                this->act(daemon, [&](auto& actions) { tickNode(daemon.node, this->clockOf(daemon), this->random, actions); });
            }
            this->stepPools(daemon);
        }
        this->check();
    }

    void showMembers(Daemon& daemon)
    {
        std::vector<membership::Member> members;
        for (const auto& other : this->daemons) {
            const auto isSilent = !other->alive || other->paused;
            if (isSilent && this->elapsed - other->silentSince > 5s)
                continue;
            if (other->vm != daemon.vm && this->roll(1000) < this->faults.wrongMembers)
                continue;
            const auto state = isSilent && this->elapsed - other->silentSince > 1500ms ? membership::MemberState::Suspected : membership::MemberState::Live;
            members.push_back({ .id = other->vm, .state = state, .zone = "zone", .peer = other->node.ledger.self.address });
        }
        receiveMembers(daemon.node, members);
    }

    void act(Daemon& daemon, const std::function<void(Actions&)>& decide)
    {
        Actions actions;
        decide(actions);
        for (const auto& action : actions)
            std::visit([&](const auto& order) { this->perform(daemon, order); }, action);
    }

    void perform(Daemon& daemon, const Reply& reply)
    {
        const auto found = daemon.tickets.find(reply.ticket);
        if (found != daemon.tickets.end())
            found->second(reply.response);
        daemon.tickets.erase(reply.ticket);
    }

    void perform(Daemon& daemon, const Send& order)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [this, &daemon, done, id = order.id](const std::optional<Response>& response) {
            if (std::exchange(*done, true))
                return;
            this->deliver(daemon, [this, &daemon, id, response] { this->act(daemon, [&](auto& actions) { receiveResponse(daemon.node, id, response, this->clockOf(daemon), actions); }); });
        };
        this->at(this->elapsed + order.timeout, [finish] { finish(std::nullopt); });
        const auto copies = this->roll(100) < this->faults.lost ? 0 : 1 + (this->roll(100) < this->faults.doubled ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy)
            this->transmit(order, finish);
    }

    void transmit(const Send& order, const std::function<void(const std::optional<Response>&)>& finish)
    {
        const auto delay = this->roll(100) < this->faults.late ? std::chrono::milliseconds(this->roll(3000)) : std::chrono::milliseconds(1 + this->roll(3));
        const auto isAnswerLost = this->roll(100) < this->faults.lost;
        this->at(this->elapsed + delay, [this, order, finish, isAnswerLost] {
            auto* target = this->findDaemon(order.to);
            if (!target)
                return;
            this->deliver(*target, [this, target, order, finish, isAnswerLost] {
                const auto ticket = ++this->lastTicket;
                target->tickets[ticket] = [this, finish, isAnswerLost](const Response& response) {
                    if (!isAnswerLost)
                        this->at(this->elapsed + std::chrono::milliseconds(1 + this->roll(3)), [finish, response] { finish(response); });
                };
                this->act(*target, [&](auto& actions) { receiveRequest(target->node, ticket, order.request, this->clockOf(*target), actions); });
            });
        });
    }

    void perform(Daemon& daemon, const ReadRecord&)
    {
        if (this->storeDown)
            return;
        const auto startedAt = this->clockOf(daemon);
        this->at(this->elapsed + 5ms, [this, &daemon, startedAt] {
            const auto version = this->version;
            const auto record = this->row;
            this->at(this->elapsed + std::chrono::milliseconds(this->roll(100)), [this, &daemon, startedAt, version, record] {
                this->deliver(daemon, [this, &daemon, startedAt, version, record] { receiveRow(daemon.node, version, record, startedAt, this->clockOf(daemon)); });
            });
        });
    }

    void perform(Daemon& daemon, const WriteRecord& order)
    {
        if (this->storeDown)
            return;
        this->at(this->elapsed + std::chrono::milliseconds(5 + this->roll(200)), [this, &daemon, order] {
            const auto isWritten = order.expectedVersion == this->version;
            if (isWritten) {
                this->row = order.record;
                ++this->version;
            }
            const auto version = this->version;
            if (this->roll(100) < this->faults.lostWrites)
                return;
            this->deliver(daemon, [this, &daemon, isWritten, version] { receiveWritten(daemon.node.dealer, isWritten ? WriteOutcome::Written : WriteOutcome::Conflict, version, this->clockOf(daemon)); });
        });
    }

    void perform(Daemon& daemon, const ReadVms&)
    {
        std::set<std::string> vms;
        for (const auto& other : this->daemons) {
            if (other->alive || this->elapsed - other->silentSince < 30s)
                vms.insert(other->vm);
        }
        this->at(this->elapsed + 10ms, [this, &daemon, vms] { this->deliver(daemon, [&daemon, vms] { receiveVms(daemon.node, vms); }); });
    }

    void perform(Daemon& daemon, const Release& order)
    {
        this->at(this->elapsed + std::chrono::milliseconds(5 + this->roll(50)), [this, &daemon, order] {
            this->connections[{ order.upstream, order.vm }] = 0;
            if (this->roll(100) >= this->faults.lost)
                this->deliver(daemon, [&daemon, order] { receiveReleased(daemon.node.dealer, order.vm, order.upstream); });
        });
    }

    void stepPools(Daemon& daemon)
    {
        for (const auto& entry : this->limits) {
            const auto& id = entry.first;
            auto& pool = daemon.pools[id];
            const auto allowed = this->allowance(daemon, id);
            const auto before = std::pair(pool.open, pool.busy);
            auto& held = this->connections[{ id, daemon.vm }];
            for (auto i = pool.busy; i > 0; --i)
                pool.busy -= this->roll(20) == 0 ? 1 : 0;
            while (pool.open > std::max(allowed, pool.busy)) {
                --pool.open;
                held -= std::min(held, 1U);
            }
            while (pool.busy < pool.demand && pool.busy < pool.open)
                ++pool.busy;
            while (pool.busy < pool.demand && pool.open < allowed) {
                ++pool.open;
                ++held;
                ++pool.busy;
            }
            const ShareUse use { .open = pool.open, .busy = pool.busy, .waiting = pool.demand - std::min(pool.demand, pool.busy) };
            if (before != std::pair(pool.open, pool.busy) || use.waiting != this->reported[{ id, daemon.vm }]) {
                this->reported[{ id, daemon.vm }] = use.waiting;
                this->act(daemon, [&](auto& actions) { receiveUse(daemon.node, id, use, this->clockOf(daemon), actions); });
            }
        }
    }

    void check()
    {
        for (const auto& [id, limit] : this->limits) {
            std::uint32_t total = 0;
            for (const auto& daemon : this->daemons)
                total += std::max(this->connections[{ id, daemon->vm }], this->allowance(*daemon, id));
            this->worst[id] = std::max(this->worst[id], total);
            this->broken += total > usablePart({}, limit) ? 1 : 0;
        }
    }

    std::multimap<Duration, std::function<void()>> events;
    std::optional<EpochRecord> row;
    std::uint64_t version { 0 };
    std::uint64_t lastTicket { 0 };
    std::map<std::pair<group::UpstreamId, std::string>, std::uint32_t> reported;
};

}

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

/// @brief Probabilities of the injected faults.
struct Faults {
    int lossPercent { 0 }; ///< Requests and responses that are lost.
    int duplicatePercent { 0 };
    int delayPercent { 0 }; ///< Requests that are delayed by up to 3 s.
    int lostWriteResultPercent { 0 }; ///< Store responses that are lost after the write has taken effect.
    int missedMembersPerMille { 0 }; ///< Members that a daemon's failure detector omits.
};

/// @brief Simulates daemons, their pools and the upstreams in simulated time.
class Simulation {
public:
    struct Pool {
        std::uint32_t open { 0 }; ///< According to the daemon.
        std::uint32_t busy { 0 };
        std::uint32_t demand { 0 };
    };

    struct Daemon {
        ShareNode node;
        std::string vm;
        double clockRate { 1 }; ///< Rate of the local clock relative to simulated time.
        bool alive { true };
        bool paused { false };
        Duration silentSince {};
        std::map<group::UpstreamId, Pool> pools;
        std::vector<std::function<void()>> pausedDeliveries; ///< Messages that arrive while the daemon is paused.
        std::map<std::uint64_t, std::function<void(const Response&)>> pendingReplies;
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
        const Process self { .vm = "vm-" + std::to_string(number), .startTime = number, .address = { "10.0.0.1", static_cast<std::uint16_t>(number) } };
        auto daemon = std::make_unique<Daemon>(Daemon { .node = makeShareNode(self, {}), .vm = self.vm, .clockRate = 0.98 + 0.04 * this->randomBelow(100) / 100 });
        daemon->node.limits = this->limits;
        this->daemons.push_back(std::move(daemon));
        return *this->daemons.back();
    }

    void run(Duration duration)
    {
        for (const auto end = this->elapsed + duration; this->elapsed < end; this->elapsed += 10ms)
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
        for (const auto& deliver : std::exchange(daemon.pausedDeliveries, {}))
            this->schedule(this->elapsed, deliver);
    }

    [[nodiscard]] Time localTime(const Daemon& daemon) const
    {
        return Time(1h) + std::chrono::duration_cast<Duration>(this->elapsed * daemon.clockRate);
    }

    [[nodiscard]] std::uint32_t allowance(const Daemon& daemon, const group::UpstreamId& id) const
    {
        return daemon.alive ? computeAllowance(daemon.node.ledger, id, this->localTime(daemon)) : 0;
    }

    int randomBelow(int count) { return std::uniform_int_distribution<int>(0, count - 1)(this->random); }

    Random random;
    Faults faults;
    ConnectionCounts limits;
    Duration elapsed {};
    bool isStoreDown { false };
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::map<std::pair<group::UpstreamId, std::string>, std::uint32_t> connections; ///< According to the upstreams.
    std::map<group::UpstreamId, std::uint32_t> peakConnections; ///< Maximum of the connections held or allowed at the same time.
    int limitViolations { 0 }; ///< Steps in which a limit was exceeded.

private:
    void schedule(Duration time, std::function<void()> action) { this->events.emplace(time, std::move(action)); }

    void deliver(Daemon& daemon, const std::function<void()>& action)
    {
        if (daemon.paused)
            daemon.pausedDeliveries.push_back(action);
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
                this->updateMembers(daemon);
                this->execute(daemon, [&](auto& actions) { tickNode(daemon.node, this->localTime(daemon), this->random, actions); });
            }
            this->stepPools(daemon);
        }
        this->checkLimits();
    }

    void updateMembers(Daemon& daemon)
    {
        std::vector<membership::Member> members;
        for (const auto& other : this->daemons) {
            const auto isSilent = !other->alive || other->paused;
            if (isSilent && this->elapsed - other->silentSince > 5s)
                continue;
            if (other->vm != daemon.vm && this->randomBelow(1000) < this->faults.missedMembersPerMille)
                continue;
            const auto state = isSilent && this->elapsed - other->silentSince > 1500ms ? membership::MemberState::Suspected : membership::MemberState::Live;
            members.push_back({ .id = other->vm, .state = state, .zone = "zone", .peer = other->node.ledger.self.address });
        }
        receiveMembers(daemon.node, members);
    }

    void execute(Daemon& daemon, const std::function<void(Actions&)>& update)
    {
        Actions actions;
        update(actions);
        for (const auto& action : actions)
            std::visit([&](const auto& command) { this->perform(daemon, command); }, action);
    }

    void perform(Daemon& daemon, const SendReply& reply)
    {
        const auto found = daemon.pendingReplies.find(reply.ticket);
        if (found != daemon.pendingReplies.end())
            found->second(reply.response);
        daemon.pendingReplies.erase(reply.ticket);
    }

    void perform(Daemon& daemon, const SendRequest& command)
    {
        const auto isFinished = std::make_shared<bool>(false);
        const auto finish = [this, &daemon, isFinished, id = command.id](const std::optional<Response>& response) {
            if (std::exchange(*isFinished, true))
                return;
            this->deliver(daemon, [this, &daemon, id, response] { this->execute(daemon, [&](auto& actions) { receiveResponse(daemon.node, id, response, this->localTime(daemon), actions); }); });
        };
        this->schedule(this->elapsed + command.timeout, [finish] { finish(std::nullopt); });
        const auto copies = this->randomBelow(100) < this->faults.lossPercent ? 0 : 1 + (this->randomBelow(100) < this->faults.duplicatePercent ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy)
            this->transmit(command, finish);
    }

    void transmit(const SendRequest& command, const std::function<void(const std::optional<Response>&)>& finish)
    {
        const auto delay = this->randomBelow(100) < this->faults.delayPercent ? std::chrono::milliseconds(this->randomBelow(3000)) : std::chrono::milliseconds(1 + this->randomBelow(3));
        const auto isAnswerLost = this->randomBelow(100) < this->faults.lossPercent;
        this->schedule(this->elapsed + delay, [this, command, finish, isAnswerLost] {
            auto* target = this->findDaemon(command.to);
            if (!target)
                return;
            this->deliver(*target, [this, target, command, finish, isAnswerLost] {
                const auto ticket = ++this->lastTicket;
                target->pendingReplies[ticket] = [this, finish, isAnswerLost](const Response& response) {
                    if (!isAnswerLost)
                        this->schedule(this->elapsed + std::chrono::milliseconds(1 + this->randomBelow(3)), [finish, response] { finish(response); });
                };
                this->execute(*target, [&](auto& actions) { receiveRequest(target->node, ticket, command.request, this->localTime(*target), actions); });
            });
        });
    }

    void perform(Daemon& daemon, const ReadRecord&)
    {
        if (this->isStoreDown)
            return;
        const auto startedAt = this->localTime(daemon);
        this->schedule(this->elapsed + 5ms, [this, &daemon, startedAt] {
            const auto version = this->version;
            const auto record = this->row;
            this->schedule(this->elapsed + std::chrono::milliseconds(this->randomBelow(100)), [this, &daemon, startedAt, version, record] {
                this->deliver(daemon, [this, &daemon, startedAt, version, record] { receiveRow(daemon.node, version, record, startedAt, this->localTime(daemon)); });
            });
        });
    }

    void perform(Daemon& daemon, const WriteRecord& command)
    {
        if (this->isStoreDown)
            return;
        this->schedule(this->elapsed + std::chrono::milliseconds(5 + this->randomBelow(200)), [this, &daemon, command] {
            const auto isWritten = command.expectedVersion == this->version;
            if (isWritten) {
                this->row = command.record;
                ++this->version;
            }
            const auto version = this->version;
            if (this->randomBelow(100) < this->faults.lostWriteResultPercent)
                return;
            this->deliver(daemon, [this, &daemon, isWritten, version] { receiveWriteResult(daemon.node.coordinator, isWritten ? WriteOutcome::Written : WriteOutcome::Conflict, version, this->localTime(daemon)); });
        });
    }

    void perform(Daemon& daemon, const ListVms&)
    {
        std::set<std::string> vms;
        for (const auto& other : this->daemons) {
            if (other->alive || this->elapsed - other->silentSince < 30s)
                vms.insert(other->vm);
        }
        this->schedule(this->elapsed + 10ms, [this, &daemon, vms] { this->deliver(daemon, [&daemon, vms] { receiveVms(daemon.node, vms); }); });
    }

    void perform(Daemon& daemon, const ReleaseConnections& command)
    {
        this->schedule(this->elapsed + std::chrono::milliseconds(5 + this->randomBelow(50)), [this, &daemon, command] {
            this->connections[{ command.upstream, command.vm }] = 0;
            if (this->randomBelow(100) >= this->faults.lossPercent)
                this->deliver(daemon, [&daemon, command] { receiveReleaseConfirmation(daemon.node.coordinator, command.vm, command.upstream); });
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
                pool.busy -= this->randomBelow(20) == 0 ? 1 : 0;
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
            if (before != std::pair(pool.open, pool.busy) || use.waiting != this->reportedWaiting[{ id, daemon.vm }]) {
                this->reportedWaiting[{ id, daemon.vm }] = use.waiting;
                this->execute(daemon, [&](auto& actions) { receiveUse(daemon.node, id, use, this->localTime(daemon), actions); });
            }
        }
    }

    void checkLimits()
    {
        for (const auto& [id, limit] : this->limits) {
            std::uint32_t total = 0;
            for (const auto& daemon : this->daemons)
                total += std::max(this->connections[{ id, daemon->vm }], this->allowance(*daemon, id));
            this->peakConnections[id] = std::max(this->peakConnections[id], total);
            this->limitViolations += total > usableLimit({}, limit) ? 1 : 0;
        }
    }

    std::multimap<Duration, std::function<void()>> events;
    std::optional<EpochRecord> row;
    std::uint64_t version { 0 };
    std::uint64_t lastTicket { 0 };
    std::map<std::pair<group::UpstreamId, std::string>, std::uint32_t> reportedWaiting;
};

}

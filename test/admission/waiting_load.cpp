#include "admission/waiting_load.hpp"

#include <algorithm>

namespace amaranthhall::admission::simulation {

namespace {

    constexpr std::uint32_t slots = 6;
    constexpr std::size_t upstreamQueue = 12; // statements that wait at an upstream before it refuses more
    constexpr std::uint32_t linksPerDaemon = 4;
    constexpr unsigned maximumRetries = 2;
    constexpr Time start { 1h };

    class Queue final : public Order {
    public:
        bool push(const WaitingStatement& statement, double, Time now) override { return this->queue.push(statement, now).has_value(); }
        void beginPass() override { this->queue.beginPass(); }
        std::optional<WaitQueue::Next> next(Time now) override { return this->queue.next(now); }
        void block(Lane lane, Time now) override
        {
            this->queue.noteSaturated(lane, now);
            this->queue.block(lane);
        }
        void grant(std::uint64_t id, Time now) override { this->queue.grant(id, now); }
        void remove(std::uint64_t id) override { this->queue.remove(id); }

    private:
        WaitQueue queue;
    };

    class List final : public Order {
    public:
        explicit List(bool usedIsByArrival) noexcept
            : isByArrival(usedIsByArrival)
        {
        }

        bool push(const WaitingStatement& statement, double relativeCost, Time now) override
        {
            const auto position = std::find_if(this->list.begin(), this->list.end(), [&](const auto& other) { return !this->isByArrival && std::pair(statement.priority, statement.target) < std::pair(other.priority, other.target); });
            auto lane = this->lanes[statement.needsLeader ? 1 : 0];
            lane.waiting = static_cast<std::uint32_t>(std::count_if(this->list.begin(), position, [&](const auto& other) { return other.needsLeader == statement.needsLeader; }));
            if (admit(lane, { .now = now, .deadline = statement.target, .serviceWaiting = static_cast<std::uint32_t>(this->list.size()), .serviceLimit = 256, .expectedServiceTime = statement.expectedServiceTime, .relativeCost = relativeCost }))
                return false;
            this->list.insert(position, statement);
            return true;
        }

        void beginPass() override { this->blocked = {}; }

        std::optional<WaitQueue::Next> next(Time now) override
        {
            const auto find = [&](bool isLate) {
                return std::find_if(this->list.begin(), this->list.end(), [&](const auto& item) { return !this->blocked[item.needsLeader ? 1 : 0] && (this->isByArrival || (item.target < now + 30ms) == isLate); });
            };
            auto found = find(false);
            if (found == this->list.end())
                found = find(true);
            return found == this->list.end() ? std::nullopt : std::optional(WaitQueue::Next { .id = found->id });
        }

        void block(Lane lane, Time) override
        {
            this->blocked[static_cast<std::size_t>(lane)] = true;
            for (const auto& item : this->list)
                this->counted[item.id] = this->counted[item.id] || item.needsLeader == (lane == Lane::Leader);
            this->recount();
        }

        void grant(std::uint64_t id, Time now) override
        {
            const auto found = std::find_if(this->list.begin(), this->list.end(), [id](const auto& item) { return item.id == id; });
            const bool isCounted = this->counted[id];
            const auto lane = found->needsLeader ? 1 : 0;
            this->remove(id);
            if (isCounted)
                noteGrant(this->lanes[lane], now);
        }

        void remove(std::uint64_t id) override
        {
            std::erase_if(this->list, [id](const auto& item) { return item.id == id; });
            this->counted.erase(id);
            this->recount();
        }

    private:
        void recount()
        {
            this->lanes[0].waiting = this->lanes[1].waiting = 0;
            for (const auto& item : this->list)
                this->lanes[item.needsLeader ? 1 : 0].waiting += this->counted[item.id] ? 1 : 0;
        }

        bool isByArrival;
        std::list<WaitingStatement> list;
        std::map<std::uint64_t, bool> counted;
        std::array<QueueState, 2> lanes;
        std::array<bool, 2> blocked {};
    };

    double rateOf(const Route& route, Duration at)
    {
        double factor = 1;
        for (const auto& [from, value] : route.load)
            factor = at >= from ? value : factor;
        return route.ratePerSecond * factor;
    }

    struct Operation {
        const Route* route { nullptr };
        Outcome* outcome { nullptr };
        Time arrived;
        Duration work { 0 };
        bool needsLeader { false };
        bool isSettled { false };
        unsigned retries { 0 };
        std::size_t daemon { 0 };
    };

    /// A statement of an operation on a daemon.
    struct Attempt {
        Operation* operation { nullptr };
        std::uint64_t id { 0 };
        std::size_t daemon { 0 };
        std::size_t upstream { 0 };
        WaitingStatement waiting;
        Time sentAt;
        bool isEnded { false };
        unsigned tried { 0 };
    };

    struct Daemon {
        std::unique_ptr<Order> order;
        std::vector<placement::UpstreamHealth> health;
        std::vector<std::uint32_t> running;
        ServiceTimes times;
        std::map<std::uint64_t, Attempt*> waiting;
    };

    struct Upstream {
        std::uint32_t running { 0 };
        std::queue<Attempt*> queue;
    };

    class Service {
    public:
        Service(const Site& usedSite, const MakeOrder& makeOrder)
            : site(usedSite)
            , random(usedSite.seed)
            , upstreams(usedSite.upstreams)
            , outcomes(usedSite.routes.size(), { .value = std::vector<double>(usedSite.seconds), .valueDue = std::vector<double>(usedSite.seconds) })
        {
            for (std::size_t i = 0; i < site.daemons; ++i)
                this->daemons.push_back({ .order = makeOrder(), .health = std::vector<placement::UpstreamHealth>(site.upstreams), .running = std::vector<std::uint32_t>(site.upstreams) });
            // The daemons have measured the routes before the load rises: at a congested upstream they don't.
            constexpr int samples = 40;
            for (int i = 0; i < samples; ++i) {
                for (auto& daemon : this->daemons) {
                    for (const auto& route : site.routes)
                        noteServiceTime(daemon.times, route.kind, route.work);
                }
            }
        }

        std::vector<Outcome> run()
        {
            for (std::size_t i = 0; i < this->site.routes.size(); ++i)
                this->scheduleArrival(i);
            while (!this->events.empty()) {
                auto event = this->events.top();
                this->events.pop();
                this->now = event.at;
                event.action();
            }
            return this->outcomes;
        }

    private:
        struct Event {
            Time at;
            std::uint64_t number { 0 };
            std::function<void()> action;
            bool operator<(const Event& other) const { return std::pair(this->at, this->number) > std::pair(other.at, other.number); }
        };

        void after(Duration delay, std::function<void()> action) { this->events.push({ .at = this->now + delay, .number = ++this->lastNumber, .action = std::move(action) }); }

        Duration exponential(double mean) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(this->random))); }

        void scheduleArrival(std::size_t index)
        {
            const auto& route = this->site.routes[index];
            this->after(this->exponential(1 / rateOf(route, this->now - start)), [this, index] {
                if (this->now - start >= this->site.seconds * 1s)
                    return;
                this->arrive(index);
                this->scheduleArrival(index);
            });
        }

        void arrive(std::size_t index)
        {
            constexpr double longFraction = 0.03;
            constexpr int longFactor = 7;
            const auto& route = this->site.routes[index];
            auto& outcome = this->outcomes[index];
            const auto typical = route.work / (1 + longFraction * (longFactor - 1));
            const bool isLong = std::bernoulli_distribution(longFraction)(this->random);
            auto& operation = this->operations.emplace_back(Operation { .route = &route, .outcome = &outcome, .arrived = this->now, .work = std::chrono::duration_cast<Duration>(typical * (isLong ? longFactor : 1)), .needsLeader = std::bernoulli_distribution(route.writes)(this->random) });
            ++outcome.due;
            outcome.valueDue[secondOf(operation)] += route.valueOnTime;
            operation.daemon = this->random() % this->site.daemons;
            this->after(route.budget, [this, &operation] { this->settle(operation, operation.outcome->abandoned); });
            this->send(operation);
        }

        static std::size_t secondOf(const Operation& operation) { return static_cast<std::size_t>((operation.arrived - start) / 1s); }

        void settle(Operation& operation, unsigned& count)
        {
            if (!std::exchange(operation.isSettled, true))
                ++count;
        }

        void send(Operation& operation)
        {
            this->after(this->site.callerLatency, [this, &operation] {
                const auto& route = *operation.route;
                auto& attempt = this->attempts.emplace_back(Attempt { .operation = &operation, .id = ++this->lastNumber, .daemon = operation.daemon });
                attempt.waiting = { .id = attempt.id, .kind = route.kind, .priority = route.kind.priority, .target = this->now + route.target, .deadline = this->now + route.budget, .needsLeader = operation.needsLeader };
                this->push(attempt);
            });
        }

        void push(Attempt& attempt)
        {
            auto& daemon = this->daemons[attempt.daemon];
            const auto best = attempt.waiting.needsLeader ? daemon.health.begin() : std::min_element(daemon.health.begin(), daemon.health.end(), [](const auto& left, const auto& right) { return left.latency < right.latency; });
            attempt.waiting.attempt = attempt.tried;
            const auto expected = expectTimes(daemon.times, attempt.waiting.kind, best->latency);
            attempt.waiting.expectedServiceTime = expected.serviceTime;
            attempt.waiting.work = expected.work;
            if (!daemon.order->push(attempt.waiting, relativeCost(daemon.times, attempt.waiting.kind), this->now)) {
                this->refuse(attempt);
                return;
            }
            daemon.waiting[attempt.id] = &attempt;
            this->after(attempt.waiting.deadline - this->now, [this, &attempt] {
                if (this->daemons[attempt.daemon].waiting.erase(attempt.id) > 0)
                    this->daemons[attempt.daemon].order->remove(attempt.id);
            });
            this->serve(daemon);
        }

        void refuse(Attempt& attempt)
        {
            this->after(this->site.callerLatency, [this, &operation = *attempt.operation] {
                if (operation.isSettled)
                    return;
                if (operation.retries++ == maximumRetries) {
                    this->settle(operation, operation.outcome->refused);
                    return;
                }
                operation.daemon = (operation.daemon + 1 + this->random() % (this->site.daemons - 1)) % this->site.daemons;
                this->send(operation);
            });
        }

        void serve(Daemon& daemon)
        {
            daemon.order->beginPass();
            while (const auto next = daemon.order->next(this->now)) {
                auto& attempt = *daemon.waiting.at(next->id);
                if (next->willTimeOut) {
                    daemon.order->remove(next->id);
                    daemon.waiting.erase(next->id);
                    this->refuse(attempt);
                    continue;
                }
                std::vector<placement::Candidate> candidates;
                for (std::size_t i = 0; i < this->upstreams.size(); ++i)
                    candidates.push_back({ .health = &daemon.health[i], .slots = slots, .running = daemon.running[i], .limit = std::min(linksPerDaemon, placement::concurrencyLimit(daemon.health[i], slots)), .idle = linksPerDaemon, .isLeader = i == 0 });
                const auto choice = attempt.waiting.needsLeader ? placement::chooseLeader(candidates, this->now) : placement::chooseAny(candidates, this->now);
                if (choice.step != placement::Choice::Step::Serve) {
                    daemon.order->block(attempt.waiting.needsLeader ? Lane::Leader : Lane::Any, this->now);
                    continue;
                }
                daemon.order->grant(next->id, this->now);
                daemon.waiting.erase(next->id);
                ++daemon.running[choice.candidate];
                attempt.upstream = choice.candidate;
                attempt.sentAt = this->now;
                this->run(attempt);
            }
        }

        void run(Attempt& attempt)
        {
            auto& upstream = this->upstreams[attempt.upstream];
            if (upstream.running < slots)
                this->begin(attempt);
            else if (upstream.queue.size() < upstreamQueue)
                upstream.queue.push(&attempt);
            else
                this->after(1ms, [this, &attempt] { this->onBusy(attempt); });
        }

        void begin(Attempt& attempt)
        {
            ++this->upstreams[attempt.upstream].running;
            this->after(attempt.operation->work, [this, &attempt] {
                auto& upstream = this->upstreams[attempt.upstream];
                --upstream.running;
                if (!upstream.queue.empty()) {
                    auto& following = *upstream.queue.front();
                    upstream.queue.pop();
                    this->begin(following);
                }
                this->onAnswer(attempt);
            });
        }

        void onBusy(Attempt& attempt)
        {
            auto& daemon = this->daemons[attempt.daemon];
            --daemon.running[attempt.upstream];
            placement::noteOverload(daemon.health[attempt.upstream], this->now);
            if (++attempt.tried < 3)
                this->after(5ms, [this, &attempt] { this->push(attempt); });
            else
                this->refuse(attempt);
            this->serve(daemon);
        }

        void onAnswer(Attempt& attempt)
        {
            auto& daemon = this->daemons[attempt.daemon];
            auto& health = daemon.health[attempt.upstream];
            --daemon.running[attempt.upstream];
            placement::noteAnswer(health, this->now - attempt.sentAt, this->now);
            if (!placement::isCongested(health))
                noteServiceTime(daemon.times, attempt.waiting.kind, this->now - attempt.sentAt);
            const auto pause = placement::pacingDelay(health, this->site.daemons, slots);
            if (pause > Duration::zero()) {
                health.paceUntil = this->now + pause;
                this->after(pause, [this, &daemon] { this->serve(daemon); });
            }
            this->after(this->site.callerLatency, [this, &operation = *attempt.operation] {
                if (operation.isSettled)
                    return;
                const bool isOnTime = this->now - operation.arrived <= operation.route->target;
                operation.outcome->value[secondOf(operation)] += isOnTime ? operation.route->valueOnTime : operation.route->valueLate;
                this->settle(operation, isOnTime ? operation.outcome->onTime : operation.outcome->late);
            });
            this->serve(daemon);
        }

        const Site& site;
        std::mt19937_64 random;
        Time now { start };
        std::uint64_t lastNumber { 0 };
        std::priority_queue<Event> events;
        std::vector<Daemon> daemons;
        std::vector<Upstream> upstreams;
        std::list<Operation> operations;
        std::list<Attempt> attempts;
        std::vector<Outcome> outcomes;
    };

}

std::unique_ptr<Order> makeWaitQueue() { return std::make_unique<Queue>(); }
std::unique_ptr<Order> makeTargetOrder() { return std::make_unique<List>(false); }
std::unique_ptr<Order> makeArrivalOrder() { return std::make_unique<List>(true); }

Outcome& Outcome::operator+=(const Outcome& other)
{
    this->due += other.due;
    this->onTime += other.onTime;
    this->late += other.late;
    this->refused += other.refused;
    this->abandoned += other.abandoned;
    this->value.resize(other.value.size());
    this->valueDue.resize(other.value.size());
    for (std::size_t i = 0; i < other.value.size(); ++i) {
        this->value[i] += other.value[i];
        this->valueDue[i] += other.valueDue[i];
    }
    return *this;
}

double attainable(const Site& site, std::size_t second)
{
    auto routes = site.routes;
    std::sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) { return left.valueOnTime / static_cast<double>(left.work.count()) > right.valueOnTime / static_cast<double>(right.work.count()); });
    auto free = static_cast<double>(slots * site.upstreams);
    double value = 0;
    double due = 0;
    for (const auto& route : routes) {
        const auto rate = rateOf(route, second * 1s);
        const auto work = std::chrono::duration<double>(route.work).count();
        const auto served = std::min(rate, free / work);
        free -= served * work;
        value += served * route.valueOnTime;
        due += rate * route.valueOnTime;
    }
    return value / due;
}

std::vector<Outcome> run(const Site& site, const MakeOrder& makeOrder)
{
    return Service(site, makeOrder).run();
}

}

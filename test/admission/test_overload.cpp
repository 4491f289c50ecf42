#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/admission/service_times.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <list>
#include <random>
#include <set>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// The statements of a route: arrival rate, service time, target latency and value.
struct Workload {
    admission::StatementClass statementClass;
    double ratePerSecond { 0 };
    Duration serviceTime { 0 };
    Duration target { 0 };
    int value { 1 };
};

struct Statement {
    const Workload* workload { nullptr };
    Time arrived;
    [[nodiscard]] Time deadline() const { return this->arrived + this->workload->target; }
};

/// Simulates three routes whose statements can only be served by one upstream with two slots, as the replicas lag too far.
class Overload {
public:
    explicit Overload(bool usedUsesCosts)
        : usesCosts(usedUsesCosts)
    {
        for (int i = 0; i < 40; ++i) {
            for (const auto& workload : this->workloads)
                admission::noteServiceTime(this->serviceTimes, workload.statementClass, workload.serviceTime);
        }
    }

    /// Simulates ten seconds and returns the value of the statements answered in time as a fraction of the value of all.
    double run(double load)
    {
        const Time end = this->now + 10s;
        while (this->now < end) {
            this->arrive(load);
            this->serve();
            this->now += step;
        }
        return static_cast<double>(this->servedValue) / static_cast<double>(this->offeredValue);
    }

private:
    static constexpr Duration step = std::chrono::microseconds(500);

    void arrive(double load)
    {
        for (const auto& workload : this->workloads) {
            const double expected = workload.ratePerSecond * load * std::chrono::duration<double>(step).count();
            if (std::bernoulli_distribution(expected)(this->random))
                this->admit({ .workload = &workload, .arrived = this->now });
        }
    }

    void admit(const Statement& statement)
    {
        this->offeredValue += statement.workload->value;
        const auto position = std::find_if(this->queue.begin(), this->queue.end(), [&](const auto& other) {
            return std::pair(statement.workload->statementClass.priority, statement.deadline()) < std::pair(other.workload->statementClass.priority, other.deadline());
        });
        auto queueAhead = this->queueState;
        queueAhead.waiting = static_cast<std::uint32_t>(std::distance(this->queue.begin(), position));
        const auto cost = this->usesCosts ? admission::relativeCost(this->serviceTimes, statement.workload->statementClass) : 1;
        const admission::Arrival arrival { .now = this->now, .deadline = statement.deadline(), .serviceWaiting = static_cast<std::uint32_t>(this->queue.size()), .serviceLimit = 256, .expectedServiceTime = 14ms, .relativeCost = cost };
        if (admission::admit(queueAhead, arrival))
            return;
        this->queue.insert(position, statement);
        this->queueState.waiting = static_cast<std::uint32_t>(this->queue.size());
    }

    void serve()
    {
        this->running.erase(this->running.begin(), this->running.upper_bound(this->now));
        while (this->running.size() < 2 && !this->queue.empty()) {
            auto next = std::find_if(this->queue.begin(), this->queue.end(), [this](const auto& statement) { return statement.deadline() > this->now; });
            if (next == this->queue.end())
                next = this->queue.begin();
            const auto done = this->now + next->workload->serviceTime;
            if (done <= next->deadline())
                this->servedValue += next->workload->value;
            this->running.insert(done);
            this->queue.erase(next);
            this->queueState.waiting = static_cast<std::uint32_t>(this->queue.size());
            admission::noteGrant(this->queueState, this->now);
        }
    }

    const std::vector<Workload> workloads {
        { .statementClass = { .consistency = 0, .priority = 1 }, .ratePerSecond = 22.5, .serviceTime = 4500us, .target = 120ms, .value = 2 },
        { .statementClass = { .consistency = 1, .priority = 2 }, .ratePerSecond = 22.5, .serviceTime = 22ms, .target = 400ms, .value = 1 },
        { .statementClass = { .consistency = 2, .priority = 2 }, .ratePerSecond = 105, .serviceTime = 14ms, .target = 200ms, .value = 2 },
    };
    bool usesCosts;
    admission::ServiceTimes serviceTimes;
    admission::QueueState queueState;
    std::list<Statement> queue;
    std::multiset<Time> running;
    std::mt19937_64 random { 7 };
    Time now { 1h };
    long servedValue { 0 };
    long offeredValue { 0 };
};

}

TEST_GROUP(Overload) {};

TEST(Overload, SheddingExpensiveStatementsServesMoreInTime)
{
    for (const double load : { 1.1, 1.3, 1.6 }) {
        const auto withoutCosts = Overload(false).run(load);
        const auto withCosts = Overload(true).run(load);
        CHECK(withCosts > withoutCosts);
    }
    // At a load of 1.3, the second route is 24 % of the work and 9 % of the value; two slots can serve nearly all the rest.
    CHECK(Overload(true).run(1.3) > Overload(false).run(1.3) + 0.03);
}

TEST(Overload, NothingIsLostBelowCapacity)
{
    CHECK(Overload(true).run(0.7) > 0.98);
}

TEST(Overload, AnUnknownClassHasAverageCost)
{
    DOUBLES_EQUAL(1.0, admission::relativeCost({}, { .consistency = 1, .priority = 9 }), 0);
}

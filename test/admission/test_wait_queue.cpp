#include "amaranthhall/admission/wait_queue.hpp"

#include <CppUTest/TestHarness.h>
#include <ctime>
#include <vector>

using namespace amaranthhall;
using namespace amaranthhall::admission;
using namespace std::chrono_literals;

namespace {

constexpr auto start = Time(1h);

WaitingStatement makeStatement(std::uint64_t id, unsigned priority, Duration target, Time now = start)
{
    return { .id = id, .kind = { .consistency = 1, .priority = priority }, .priority = priority, .target = now + target, .deadline = now + 10 * target, .expectedServiceTime = 10ms, .work = 10ms };
}

std::vector<std::uint64_t> drain(WaitQueue& queue, Time now)
{
    std::vector<std::uint64_t> order;
    queue.beginPass();
    while (const auto next = queue.next(now)) {
        order.push_back(next->id);
        queue.grant(next->id, now);
    }
    return order;
}

/// Lets 20 statements of 10 ms arrive and be granted, one every 10 ms, while 30 more wait; returns the time of the last grant.
Time teachSpeed(WaitQueue& queue)
{
    auto now = start;
    for (std::uint64_t id = 1000; id < 1050; ++id) {
        const bool isArriving = id >= 1030;
        now += isArriving ? 10ms : 1s;
        CHECK(queue.push(makeStatement(id, 1, 60s, now), now).has_value());
        if (isArriving) {
            queue.noteSaturated(Lane::Any, now - 10ms);
            queue.grant(id - 30, now);
        }
    }
    return now;
}

}

TEST_GROUP(WaitQueue) {};

// The order of deployments whose routes have the same priority and target must not change.
TEST(WaitQueue, EqualRoutesAreServedInOrderOfTheirTarget)
{
    WaitQueue queue(100);
    auto cheap = makeStatement(1, 1, 200ms);
    auto expensive = makeStatement(2, 1, 201ms);
    expensive.kind.consistency = 2;
    expensive.work = expensive.expectedServiceTime = 60ms;
    auto later = makeStatement(3, 1, 202ms);
    CHECK(queue.push(later, start) && queue.push(expensive, start) && queue.push(cheap, start));
    CHECK((drain(queue, start) == std::vector<std::uint64_t> { 1, 2, 3 }));
}

TEST(WaitQueue, EqualRoutesAreServedInOrderAlsoWhereOneGetsLittle)
{
    WaitQueue queue(1000);
    for (std::uint64_t id = 10; id < 500; ++id) {
        const auto now = start + id * 10ms;
        auto statement = makeStatement(id, 1, 10s, now);
        statement.kind.consistency = id % 100 == 99 ? 2 : 1;
        CHECK(queue.push(statement, now).has_value());
        queue.noteSaturated(Lane::Any, now);
        if (id < 60)
            continue;
        queue.beginPass();
        const auto next = queue.next(now);
        LONGS_EQUAL(id - 50, next->id);
        queue.grant(next->id, now);
    }
}

TEST(WaitQueue, UrgentGoesFirstAndLateLast)
{
    WaitQueue queue(100);
    CHECK(queue.push(makeStatement(1, 1, 50ms), start).has_value());
    CHECK(queue.push(makeStatement(2, 2, 400ms), start).has_value());
    CHECK(queue.push(makeStatement(3, 1, 500ms), start).has_value());
    CHECK((drain(queue, start + 100ms) == std::vector<std::uint64_t> { 3, 2, 1 }));
}

// Without a share, a class or the late statements would get nothing while more urgent statements keep arriving.
TEST(WaitQueue, LessUrgentAndLateStatementsKeepAShare)
{
    WaitQueue queue(1000);
    auto late = makeStatement(1, 1, 5ms);
    late.deadline = start + 1h;
    CHECK(queue.push(late, start).has_value());
    for (std::uint64_t id = 2; id < 102; ++id)
        CHECK(queue.push(makeStatement(id, 2, 60s), start).has_value());
    queue.noteSaturated(Lane::Any, start);
    unsigned urgent = 0;
    unsigned lessUrgent = 0;
    bool isLateServed = false;
    for (std::uint64_t id = 200; id < 700; ++id) {
        const auto now = start + (id - 200) * 10ms;
        CHECK(queue.push(makeStatement(id, 0, 2s, now), now).has_value());
        queue.beginPass();
        const auto next = queue.next(now);
        isLateServed = isLateServed || next->id == 1;
        ++(next->id >= 200 ? urgent : lessUrgent);
        queue.grant(next->id, now);
    }
    CHECK(isLateServed);
    CHECK(lessUrgent >= 24);
    CHECK(urgent >= 440);
}

TEST(WaitQueue, AnOrganisationFarAboveItsUsualLoadPaysFirst)
{
    WaitQueue queue(1000);
    std::uint64_t id = 0;
    const auto push = [&](const char* organisation, Time now) {
        auto statement = makeStatement(++id, 1, 400ms, now);
        statement.organisation = statement.flow = organisation;
        CHECK(queue.push(statement, now).has_value());
    };
    auto now = start;
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        push("a", now);
        push("b", now);
        drain(queue, now);
    }
    for (int i = 0; i < 400; ++i)
        push("a", now);
    push("b", now + 1ms);
    const auto order = drain(queue, now + 1ms);
    const auto position = std::find(order.begin(), order.end(), id) - order.begin();
    CHECK(position < 200);
    // At the usual load, nothing is deferred.
    push("b", now + 10s);
    push("a", now + 10s + 1us);
    CHECK((drain(queue, now + 10s) == std::vector<std::uint64_t> { id - 1, id }));
}

TEST(WaitQueue, ARepeatedAttemptDoesNotDisplaceAFirstOne)
{
    WaitQueue queue(100);
    CHECK(queue.push(makeStatement(1, 1, 400ms), start).has_value());
    auto repeated = makeStatement(2, 1, 300ms);
    repeated.attempt = 1;
    CHECK(queue.push(repeated, start + 10ms).has_value());
    CHECK(queue.push(makeStatement(3, 1, 400ms, start + 20ms), start + 20ms).has_value());
    CHECK((drain(queue, start + 20ms) == std::vector<std::uint64_t> { 1, 2, 3 }));
}

TEST(WaitQueue, OnlyAStatementThatWouldTimeOutIsRefused)
{
    WaitQueue queue(100);
    const auto now = teachSpeed(queue); // 0.3 s of work wait
    auto statement = makeStatement(2, 2, 200ms, now); // will be late
    statement.deadline = now + 60s;
    CHECK(queue.push(statement, now).has_value());
    statement = makeStatement(3, 2, 200ms, now);
    statement.deadline = now + 250ms;
    const auto shed = queue.push(statement, now);
    CHECK(!shed && shed.error().reason == ShedReason::TooSlow);
    CHECK(shed.error().retryAfter >= 100ms);
    statement.priority = statement.kind.priority = 0; // nothing is ahead of it
    CHECK(queue.push(statement, now).has_value());
}

TEST(WaitQueue, AStatementThatTimesOutBeforeItsAnswerIsReported)
{
    WaitQueue queue(100);
    auto statement = makeStatement(1, 1, 100ms);
    statement.deadline = start + 200ms;
    CHECK(queue.push(statement, start).has_value());
    queue.noteSaturated(Lane::Any, start);
    queue.beginPass();
    CHECK(!queue.next(start + 190ms)->willTimeOut);
    CHECK(queue.next(start + 196ms)->willTimeOut);
}

TEST(WaitQueue, ABlockedFlowDoesNotHoldUpOthers)
{
    WaitQueue queue(100);
    auto first = makeStatement(1, 1, 100ms);
    first.flow = first.organisation = "a";
    CHECK(queue.push(first, start).has_value());
    CHECK(queue.push(makeStatement(2, 1, 200ms), start).has_value());
    queue.beginPass();
    queue.block(queue.next(start)->id);
    CHECK(queue.next(start)->id == 2);
    queue.block(Lane::Any);
    CHECK(!queue.next(start));
    queue.beginPass();
    CHECK(queue.next(start)->id == 1);
    LONGS_EQUAL(1, queue.waitingFor("a"));
}

TEST(WaitQueue, ADecisionCostsLessThanFiveMicrosecondsWhateverWaits)
{
    constexpr std::uint64_t waiting = 10'000;
    WaitQueue queue(4 * waiting);
    std::vector<std::string> organisations;
    for (int i = 0; i < 72; ++i)
        organisations.push_back("organisation" + std::to_string(i));
    auto now = start;
    const auto push = [&](std::uint64_t id) {
        now += 1us;
        auto statement = makeStatement(id, id % 3, 400ms + (id * 7919 % 1000) * 1ms, now);
        statement.organisation = statement.flow = organisations[id % organisations.size()];
        statement.deadline = now + 1h;
        CHECK(queue.push(statement, now).has_value());
    };
    for (std::uint64_t id = 0; id < waiting; ++id)
        push(id);
    queue.noteSaturated(Lane::Any, now);
    const auto before = std::clock();
    for (std::uint64_t id = waiting; id < 3 * waiting; ++id) {
        push(id);
        queue.beginPass();
        const auto next = queue.next(now);
        if (id % 2 == 0)
            queue.grant(next->id, now);
        else
            queue.remove(next->id);
    }
    constexpr double decisions = 3.0 * 2 * waiting; // push, next, and grant or remove
    const auto microseconds = 1e6 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / decisions;
    LONGS_EQUAL(waiting, queue.size());
    CHECK_TEXT(microseconds < 5, std::to_string(microseconds).c_str());
}

#include "admission/waiting_load.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>
#include <numeric>

using namespace amaranthhall::admission;
using namespace amaranthhall::admission::simulation;

namespace {

constexpr double services = 8;

/// Deployment S in a burst: 4,515 operations a second to eight services, 2.63 times the rates of the table.
Site burstOfS(std::size_t upstreams)
{
    constexpr double usual = 1.546 / services;
    const std::vector<std::pair<amaranthhall::Duration, double>> burst { { 2s, 1.7 }, { 5s, 1 } };
    return { .routes = {
                 { .kind = { .consistency = 0, .priority = 1 }, .ratePerSecond = 258 * usual, .writes = 1, .work = 9300us, .target = 200ms, .budget = 1200ms, .valueOnTime = 2, .valueLate = 0.2, .load = burst },
                 { .kind = { .consistency = 1, .priority = 2 }, .ratePerSecond = 258 * usual, .work = 47ms, .target = 800ms, .budget = 5s, .valueOnTime = 1, .valueLate = 0.1, .load = burst },
                 { .kind = { .consistency = 2, .priority = 2 }, .ratePerSecond = 1202 * usual, .writes = 0.12, .work = 28ms, .target = 400ms, .budget = 1200ms, .valueOnTime = 2, .valueLate = 0.1, .load = burst },
             },
        .upstreams = upstreams,
        .callerLatency = 3ms };
}

/// Deployment P on a heavy day: the read-only route at 2.6 times its rate for 3 s, then the route of priority 0 at 1.6 times.
Site heavyDayOfP(std::size_t upstreams)
{
    constexpr double usual = 1.5 / services;
    return { .routes = {
                 { .kind = { .consistency = 0, .priority = 0 }, .ratePerSecond = 126 * usual, .writes = 1, .work = 11ms, .target = 200ms, .budget = 4s, .valueOnTime = 3.5, .valueLate = 0.71, .load = { { 4s, 1.6 }, { 7s, 1 } } },
                 { .kind = { .consistency = 1, .priority = 2 }, .ratePerSecond = 219 * usual, .work = 55ms, .target = 1500ms, .budget = 12s, .valueOnTime = 0.47, .valueLate = 0.35, .load = { { 1s, 2.6 }, { 4s, 1 } } },
                 { .kind = { .consistency = 2, .priority = 2 }, .ratePerSecond = 591 * usual, .writes = 0.12, .work = 33ms, .target = 400ms, .budget = 4s, .valueOnTime = 1.9, .valueLate = 0.47 },
             },
        .upstreams = upstreams };
}

/// Deployment S with `read_your_writes` at four times its rate all the time, which alone asks for five times the capacity.
Site crowdedS()
{
    auto site = burstOfS(1);
    site.routes[2].load = { { 0s, 4 } };
    return site;
}

std::vector<Outcome> sum(Site site, const MakeOrder& order)
{
    constexpr unsigned runs = 8;
    std::vector<Outcome> total(site.routes.size());
    for (; site.seed <= runs; ++site.seed) {
        const auto outcomes = run(site, order);
        for (std::size_t i = 0; i < total.size(); ++i)
            total[i] += outcomes[i];
    }
    return total;
}

/// Returns the value relative to the value due, of all seconds or of one.
double valueOf(const std::vector<Outcome>& outcomes, std::optional<std::size_t> second = std::nullopt)
{
    double value = 0;
    double due = 0;
    for (const auto& outcome : outcomes) {
        for (std::size_t i = 0; i < outcome.value.size(); ++i) {
            value += !second || i == *second ? outcome.value[i] : 0;
            due += !second || i == *second ? outcome.valueDue[i] : 0;
        }
    }
    return value / due;
}

/// Returns the least value of a second relative to what the slots can run.
double worstSecond(const Site& site, const std::vector<Outcome>& outcomes)
{
    double worst = 1;
    for (std::size_t i = 0; i < site.seconds; ++i)
        worst = std::min(worst, valueOf(outcomes, i) / attainable(site, i));
    return worst;
}

/// Returns the fraction of the slots' time that a route gets.
double shareOf(const Site& site, const std::vector<Outcome>& outcomes, std::size_t route)
{
    const auto work = [&](std::size_t i) { return (outcomes[i].onTime + outcomes[i].late) * std::chrono::duration<double>(site.routes[i].work).count(); };
    double all = 0;
    for (std::size_t i = 0; i < outcomes.size(); ++i)
        all += work(i);
    return work(route) / all;
}

void print(const char* name, const Site& site, const MakeOrder& order)
{
    const auto outcomes = sum(site, order);
    std::printf("\n%-20s %zu upstreams: value %.3f, worst second %.3f of what the slots can run\n", name, site.upstreams, valueOf(outcomes), worstSecond(site, outcomes));
    for (std::size_t i = 0; i < site.seconds; ++i)
        std::printf("  %.3f", valueOf(outcomes, i) / attainable(site, i));
    std::printf("\n");
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto& o = outcomes[i];
        const auto share = [&](unsigned count) { return static_cast<double>(count) / o.due; };
        std::printf("  due %5u on time %.3f late %.3f refused %.3f abandoned %.3f value %.3f share %.3f\n", o.due, share(o.onTime), share(o.late), share(o.refused), share(o.abandoned), valueOf({ o }), shareOf(site, outcomes, i));
    }
}

/// Returns the goals that an order misses; the first route of each site is the most urgent.
std::vector<std::string> missedGoals(const MakeOrder& order)
{
    std::vector<std::string> missed;
    const auto require = [&missed](bool isMet, const char* goal) {
        if (!isMet)
            missed.emplace_back(goal);
    };
    const auto overloaded = sum(burstOfS(1), order);
    const auto whole = sum(burstOfS(3), order);
    require((2 * valueOf(overloaded) + 6 * valueOf(whole)) / services >= 0.80, "S: mean value 0.80");
    require(worstSecond(burstOfS(1), overloaded) >= 0.85, "S: worst second 0.85 of what the slots can run");
    for (const std::size_t upstreams : { 1, 2, 3 }) {
        for (const auto& site : { burstOfS(upstreams), heavyDayOfP(upstreams) }) {
            const auto outcomes = sum(site, order);
            for (std::size_t i = 1; i < outcomes.size(); ++i) {
                require(outcomes.front().refusedShare() <= outcomes[i].refusedShare(), "the most urgent route is refused least");
            }
        }
    }
    constexpr double classShare = 0.05;
    require(shareOf(crowdedS(), sum(crowdedS(), order), 1) >= classShare, "a class that is crowded out keeps its share");
    return missed;
}

}

TEST_GROUP(WaitingLoad) {};

TEST(WaitingLoad, TheWaitQueueMeetsTheGoals)
{
    const bool isPrinting = std::getenv("WAITING_LOAD") != nullptr; // prints the outcome for each kind of caller
    for (std::size_t upstreams = 1; isPrinting && upstreams <= 2; ++upstreams) {
        for (const auto& [name, site] : { std::pair("S", burstOfS(upstreams)), std::pair("P", heavyDayOfP(upstreams)) }) {
            print(std::string(name).append(" target order").c_str(), site, makeTargetOrder);
            print(std::string(name).append(" WaitQueue").c_str(), site, makeWaitQueue);
        }
    }
    if (isPrinting)
        print("S crowded", crowdedS(), makeWaitQueue);
    for (const auto& goal : missedGoals(makeWaitQueue))
        FAIL(goal.c_str());
}

TEST(WaitingLoad, AnOrderByArrivalWithoutSharesMissesThem)
{
    CHECK(!missedGoals(makeArrivalOrder).empty());
    CHECK(!missedGoals(makeTargetOrder).empty());
}

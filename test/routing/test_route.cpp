#include "amaranthhall/routing/route.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;
using namespace amaranthhall::routing;
using namespace std::chrono_literals;

namespace {

constexpr auto fixedSeed = 7U;
constexpr auto now = Time(1h);

group::UpstreamView makeView(group::Role role, std::string zone, group::LogPoint last)
{
    return { .zone = std::move(zone), .status = { .role = role, .term = last.term, .last = last, .applied = last.position }, .reachability = group::Reachability::Up, .freshAsOf = now };
}

}

TEST_GROUP(Route)
{
    Random random { fixedSeed };
    std::vector<group::UpstreamView> views {
        makeView(group::Role::Primary, "lautoka", { 3, 100 }),
        makeView(group::Role::Replica, "nadi", { 3, 100 }),
        makeView(group::Role::Replica, "ba", { 3, 90 }),
    };
    std::vector<Candidate> candidates;
    RouteContext context { .primary = 0, .term = 3, .zone = "nadi", .now = now };

    void setup() override
    {
        for (const auto& view : this->views)
            this->candidates.push_back({ .view = &view, .weight = 100, .idle = 1, .connectionLimit = 4 });
    }

    RouteDecision choose(const RouteRequest& request) { return chooseUpstream(this->candidates, request, this->context, this->random); }

    static std::uint8_t skipCount(const RouteDecision& decision, SkipReason reason) { return decision.skipped[static_cast<std::size_t>(reason)]; }
};

TEST(Route, AWriteGoesToThePrimaryOnly)
{
    CHECK(this->choose({}).action == RouteAction::UseIdle);
    CHECK_EQUAL(0U, this->choose({}).candidate);
    this->views[0].reachability = group::Reachability::Down;
    CHECK(this->choose({}).action == RouteAction::Wait);
    CHECK_EQUAL(1, skipCount(this->choose({}), SkipReason::Unreachable));
    this->context.primary.reset();
    CHECK(this->choose({}).action == RouteAction::Wait);
}

TEST(Route, AWriteDoesNotGoToADrainingPrimary)
{
    this->views[0].status.isDraining = true;
    CHECK(this->choose({}).action == RouteAction::Wait);
    CHECK_EQUAL(1, skipCount(this->choose({}), SkipReason::Draining));
}

TEST(Route, ASupersededPrimaryServesNothing)
{
    CHECK(this->choose({ .requiredPoint = group::LogPoint { 3, 200 } }).action == RouteAction::UseIdle);
    CHECK(this->choose({ .requiredPoint = group::LogPoint { 4, 1 } }).action == RouteAction::Wait);
}

TEST(Route, AReadStaysInItsZoneUnlessTheReplicaThereIsNearItsLimit)
{
    for (int i = 0; i < 50; ++i)
        CHECK_EQUAL(1U, this->choose({ .isRead = true }).candidate);
    this->candidates[1].busy = 3;
    int otherZone = 0;
    for (int i = 0; i < 200; ++i)
        otherZone += this->choose({ .isRead = true }).candidate == 2 ? 1 : 0;
    CHECK(otherZone > 100);
    CHECK(otherZone < 200);
}

TEST(Route, WeightsDivideTheReadsBetweenEquals)
{
    this->context.zone = "lautoka";
    this->candidates[2].weight = 300;
    int weightedCount = 0;
    for (int i = 0; i < 1000; ++i)
        weightedCount += this->choose({ .isRead = true }).candidate == 2 ? 1 : 0;
    CHECK(weightedCount > 700);
    CHECK(weightedCount < 800);
}

TEST(Route, AReadWithAPointSkipsAReplicaThatLags)
{
    this->context.zone = "ba";
    const auto decision = this->choose({ .isRead = true, .requiredPoint = group::LogPoint { 3, 95 } });
    CHECK_EQUAL(1U, decision.candidate);
    CHECK_EQUAL(1, skipCount(decision, SkipReason::Lag));
}

TEST(Route, AFencedUpstreamWithAnOldTailHasNotAppliedAPointOfTheNewTerm)
{
    // Position 100 in term 3 does not include position 95 of term 4, whatever term the upstream has accepted since.
    const group::UpstreamStatus oldTail { .role = group::Role::Replica, .term = 5, .last = { 3, 100 }, .applied = 100 };
    CHECK(!hasAppliedPoint(oldTail, { 4, 95 }));
    CHECK(hasAppliedPoint(oldTail, { 3, 95 }));
    CHECK(hasAppliedPoint({ .term = 5, .last = { 5, 120 }, .applied = 96 }, { 4, 95 }));
    CHECK(!hasAppliedPoint({ .term = 5, .last = { 5, 120 }, .applied = 94 }, { 4, 95 }));
}

TEST(Route, AReadGoesToThePrimaryOnlyAfterTheMaximumReplicaWait)
{
    const RouteRequest request { .isRead = true, .requiredPoint = group::LogPoint { 3, 101 }, .waitTime = 10ms, .maximumReplicaWait = 100ms };
    this->views[0].status.applied = 101;
    const auto early = this->choose(request);
    CHECK(early.action == RouteAction::Wait);
    CHECK(early.isLagging);
    auto late = request;
    late.waitTime = 100ms;
    CHECK(this->choose(late).action == RouteAction::UseIdle);
    CHECK_EQUAL(0U, this->choose(late).candidate);
}

TEST(Route, AReadGoesToThePrimaryAtOnceIfNoReplicaCanServeIt)
{
    this->views[1].reachability = group::Reachability::Down;
    this->views[2].status.isDraining = true;
    const auto decision = this->choose({ .isRead = true, .maximumReplicaWait = 100ms });
    CHECK(decision.action == RouteAction::UseIdle);
    CHECK_EQUAL(0U, decision.candidate);
    CHECK_EQUAL(1, skipCount(decision, SkipReason::Unreachable));
    CHECK_EQUAL(1, skipCount(decision, SkipReason::Draining));
}

TEST(Route, ReadsLeaveHalfOfThePrimaryToWrites)
{
    for (const auto index : { 1, 2 })
        this->candidates[static_cast<std::size_t>(index)] = { .view = &this->views[static_cast<std::size_t>(index)], .busy = 4, .connectionLimit = 4 };
    const RouteRequest request { .isRead = true, .waitTime = 1s, .maximumReplicaWait = 100ms };
    CHECK(this->choose(request).action == RouteAction::UseIdle);
    this->candidates[0].busy = 2;
    const auto decision = this->choose(request);
    CHECK(decision.action == RouteAction::Wait);
    CHECK_EQUAL(2, skipCount(decision, SkipReason::NoConnection));
}

TEST(Route, ABoundedStalenessReadNeedsAReplicaOfKnownFreshness)
{
    this->views[1].freshAsOf = now - 3s;
    this->views[2].freshAsOf = now - 1s;
    const auto decision = this->choose({ .isRead = true, .maximumStaleness = 2s });
    CHECK_EQUAL(2U, decision.candidate);
    CHECK_EQUAL(1, skipCount(decision, SkipReason::Stale));
    this->views[2].freshAsOf = {};
    CHECK_EQUAL(0U, this->choose({ .isRead = true, .maximumStaleness = 2s }).candidate);
    CHECK_EQUAL(1, skipCount(this->choose({ .isRead = true, .maximumStaleness = 2s }), SkipReason::UnknownFreshness));
}

TEST(Route, AnUpstreamThatWronglyClaimsToBePrimaryServesNoReads)
{
    this->views[1].status.role = group::Role::Primary;
    CHECK_EQUAL(2U, this->choose({ .isRead = true }).candidate);
    CHECK_EQUAL(1, skipCount(this->choose({ .isRead = true }), SkipReason::WrongRole));
}

TEST(Route, ANewConnectionIsOpenedOnlyWithinTheConnectionLimit)
{
    for (auto& candidate : this->candidates)
        candidate.idle = 0;
    const auto decision = this->choose({ .isRead = true });
    CHECK(decision.action == RouteAction::OpenConnection);
    CHECK_EQUAL(1U, decision.candidate);
    this->candidates[1].busy = 4;
    CHECK_EQUAL(2U, this->choose({ .isRead = true }).candidate);
}

TEST(Route, AnIdleConnectionInAnotherZoneServesWhileTheSameZoneIsPrewarmed)
{
    this->candidates[1].idle = 0;
    const auto decision = this->choose({ .isRead = true });
    CHECK(decision.action == RouteAction::UseIdle);
    CHECK_EQUAL(2U, decision.candidate);
    CHECK(decision.prewarm == 1U);
}

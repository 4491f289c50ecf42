#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/load/fleet_load.hpp"
#include "amaranthhall/load/load_report.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(FleetLoad)
{
    const Time start { 100s };
    load::FleetLoad fleet;
};

TEST(FleetLoad, SumsTheNewestReportOfEachDaemonUntilItExpires)
{
    this->fleet.note("u", "a", { .running = 2, .waiting = 1 }, this->start);
    this->fleet.note("u", "b", { .running = 3 }, this->start + 100ms);
    this->fleet.note("u", "b", { .running = 9 }, this->start + 50ms); // overtaken
    const auto sum = this->fleet.estimate("u", this->start + 200ms);
    DOUBLES_EQUAL(5, sum->running, 1e-9);
    DOUBLES_EQUAL(1, sum->waiting, 1e-9);
    LONGS_EQUAL(2, sum->reporters);
    CHECK(sum->age == 150ms);
    DOUBLES_EQUAL(3, this->fleet.estimate("u", this->start + 1050ms)->running * 10, 1e-6); // b at a tenth of its weight
    CHECK_FALSE(this->fleet.estimate("u", this->start + 1100ms).has_value());
    CHECK_FALSE(this->fleet.estimate("v", this->start).has_value());
}

TEST(FleetLoad, TheWindowIsSharedByDemand)
{
    const auto share = [](double own, std::optional<load::LoadEstimate> others) { return load::windowShare({ .slots = 6, .localLimit = 6, .ownDemand = own, .others = others }); };
    LONGS_EQUAL(6, share(20, std::nullopt));
    LONGS_EQUAL(5, share(1, load::LoadEstimate { .running = 3 })); // its own one and what is left of the window of 8.4
    LONGS_EQUAL(5, share(20, load::LoadEstimate { .running = 5, .waiting = 5 }));
    LONGS_EQUAL(2, share(10, load::LoadEstimate { .running = 10, .waiting = 10 }));
    LONGS_EQUAL(1, share(0, load::LoadEstimate { .running = 30 }));
}

TEST_GROUP(LoadReport)
{
    const Time start { 100s };
};

TEST(LoadReport, SurvivesTheWireAndIsToldFromADigest)
{
    const load::LoadReport report { .sender = 77, .sentAt = 4'000'000'000, .entries = { { .upstream = load::upstreamKey("u", 5), .load = { .running = 1.5, .waiting = 0.25, .rejected = 3 }, .position = load::ReportedPosition { .point = { .term = 2, .position = 1234 }, .age = 30ms } }, { .upstream = 9, .load = { .running = 40 } } } };
    const auto bytes = load::encodeReport(report);
    CHECK(bytes.size() < 50);
    CHECK(load::isReport(bytes));
    const auto read = load::decodeReport(bytes);
    LONGS_EQUAL(77, read->sender);
    LONGS_EQUAL(2, read->entries.size());
    DOUBLES_EQUAL(1.5, read->entries[0].load.running, 1e-9);
    CHECK(read->entries[0].position->point == group::LogPoint({ .term = 2, .position = 1234 }));
    DOUBLES_EQUAL(40, read->entries[1].load.running, 1e-9);
    CHECK_FALSE(read->entries[1].position.has_value());
    CHECK_FALSE(gossip::decodeDigest(bytes).has_value());
    CHECK_FALSE(load::isReport(gossip::encodeDigest({ .vm = "L", .profile = { .address = { .host = "127.0.0.1", .port = 1 } } })));
    CHECK_FALSE(load::decodeReport(bytes.substr(0, 20)).has_value());
}

// Guards against reports about an upstream process that has been replaced under the same id.
TEST(LoadReport, ARestartedUpstreamHasAnotherKey)
{
    CHECK(load::upstreamKey("u", 1) != load::upstreamKey("u", 2));
}

TEST(LoadReport, LateReportsAreRecognisedWithoutAComparableClock)
{
    load::DelayEstimator delays;
    CHECK(delays.note(4'294'967'200, this->start) == Duration::zero());
    const auto late = delays.note(4, this->start + 400ms); // the clock of the sender wrapped
    CHECK(*late > 299ms && *late <= 300ms);
    CHECK_FALSE(delays.note(4, this->start + 500ms).has_value());
    CHECK(*delays.note(504, this->start + 600ms) < 1ms);
    CHECK(delays.note(7, this->start + 10s) == Duration::zero()); // another process
}

TEST(LoadReport, OnlyBusyUpstreamsAreReported)
{
    load::ReportPolicy policy;
    const auto next = [&policy](double running, bool isFarRound, std::uint32_t rejected = 0) { return policy.next({ .slots = 6, .homes = 12, .own = { .running = running, .rejected = rejected } }, isFarRound); };
    CHECK_FALSE(next(0.3, true).near.has_value());
    CHECK(next(0.4, false).near.has_value());
    CHECK(next(0.1, false).near.has_value()); // tells that it is not busy any more
    CHECK_FALSE(next(0.1, false).near.has_value());
    CHECK_FALSE(next(0.1, true).far.has_value());
    CHECK(next(0, false, 2).near.has_value());
    LONGS_EQUAL(2, next(0, true).far->rejected);
}

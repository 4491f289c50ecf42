#include "amaranthhall/table/replica.hpp"
#include "amaranthhall/table/table_json.hpp"
#include "table/sample_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

table::Stage makeStage(table::StageNumber number, const table::TableImage& image)
{
    return { .info = { .number = number, .version = image.version, .digest = table::digestTable(image), .editId = "edit-" + std::to_string(number), .editor = "vm-1" }, .image = image };
}

table::TableImage changed(table::TableImage image)
{
    ++image.version;
    image.upstreams[0].weight += 1;
    return image;
}

}

TEST_GROUP(Replica)
{
    const Time start { 1000s };
    const table::ReplicaOptions options {};
    const table::TableImage first = table::sampleTable(1);
    const table::TableImage second = changed(first);
    table::Replica replica;

    void setup() override
    {
        CHECK(table::takeTable(replica, first, table::digestTable(first)));
        table::renewContact(replica, start);
    }

    [[nodiscard]] bool mayWork(Time now, const char* service = "coach-ledger") const { return table::mayTakeWork(replica, service, now, options); }

    /// What a peer that has the first version in force, and this stage, would report.
    static table::Report peerReport(const table::TableImage& inForce, table::StageNumber lastStage, const table::Stage* stage = nullptr)
    {
        table::Report report { .isLoaded = true, .version = inForce.version, .digest = table::digestTable(inForce), .knownVersion = inForce.version, .lastStage = lastStage, .contactAge = 0s };
        if (stage != nullptr) {
            report.stage = stage->info;
            report.pendingAge = 0s;
        }
        return report;
    }
};

TEST(Replica, WithoutAnyContactNoWorkIsTaken)
{
    const table::Replica fresh;
    CHECK(!table::mayTakeWork(fresh, "coach-ledger", start, options));
    STRCMP_CONTAINS("has no table yet", table::explainRefusal(fresh, start, options).c_str());
}

TEST(Replica, ADaemonThatIsCutOffTakesNoWorkOnceItsLeaseLapses)
{
    CHECK(mayWork(start + 4s));
    CHECK(!mayWork(start + 4s + 1ms));
    STRCMP_CONTAINS("cut off", table::explainRefusal(replica, start + 5s, options).c_str());
    table::renewContact(replica, start + 5s);
    CHECK(mayWork(start + 6s));
}

TEST(Replica, AContactIsAsOldAsTheReporterSays)
{
    auto report = peerReport(first, 1);
    report.contactAge = 3s;
    CHECK(table::takeReport(replica, report, start + 5s).isEmpty());
    CHECK(mayWork(start + 6s));
    CHECK(!mayWork(start + 6s + 1ms));
}

TEST(Replica, AStagedEditIsNotInForceAndStopsOnlyTheTouchedServicesAfterTheBound)
{
    CHECK(table::holdStage(replica, makeStage(5, second), start) == table::StageAnswer::Held);
    LONGS_EQUAL(1, replica.inForce.version);
    table::renewContact(replica, start + 3s);
    CHECK(mayWork(start + 2s));
    CHECK(!mayWork(start + 2s + 1ms));
    CHECK(mayWork(start + 3s, "recoveries-db"));
    table::renewPending(replica, 5, start + 1s);
    CHECK(mayWork(start + 3s));
}

TEST(Replica, APausedHolderThatWakesTakesNoWorkUntilItHasLearntTheFate)
{
    const auto stage = makeStage(5, second);
    table::holdStage(replica, stage, start);
    const auto woken = start + 1h;
    CHECK(!mayWork(woken));
    // The stage that was sent before the pause and is read only now proves nothing.
    table::holdStage(replica, stage, woken);
    CHECK(!mayWork(woken));
    CHECK(table::takeReport(replica, peerReport(second, 6), woken).isEmpty());
    CHECK(mayWork(woken));
    LONGS_EQUAL(2, replica.inForce.version);
}

TEST(Replica, ACommitIsLearntFromAnyReport)
{
    table::holdStage(replica, makeStage(5, second), start);
    CHECK(table::takeReport(replica, peerReport(second, 6), std::nullopt).isEmpty());
    LONGS_EQUAL(2, replica.inForce.version);
    CHECK(!replica.staged);
}

TEST(Replica, AnAbortIsLearntFromWhoNoLongerHoldsTheStage)
{
    table::holdStage(replica, makeStage(5, second), start);
    CHECK(table::takeReport(replica, peerReport(first, 4), start).isEmpty());
    CHECK(replica.staged.has_value());
    CHECK(table::takeReport(replica, peerReport(first, 5), start).isEmpty());
    CHECK(!replica.staged);
    LONGS_EQUAL(1, replica.inForce.version);
    CHECK(table::holdStage(replica, makeStage(5, second), start) == table::StageAnswer::Decided);
}

TEST(Replica, AReportOfAnUnknownStageIsNoContactUntilItsRowsAreHeld)
{
    const auto stage = makeStage(5, second);
    const auto report = peerReport(first, 5, &stage);
    const auto wanted = table::takeReport(replica, report, start + 10s);
    CHECK(wanted.stage.has_value());
    CHECK(!mayWork(start + 10s));
    table::holdStage(replica, stage, start + 10s);
    CHECK(table::takeReport(replica, report, start + 10s).isEmpty());
    CHECK(mayWork(start + 10s));
}

TEST(Replica, VersionsOnlyGrow)
{
    CHECK(table::takeTable(replica, second, table::digestTable(second)));
    CHECK(!table::takeTable(replica, first, table::digestTable(first)));
    CHECK(table::takeReport(replica, peerReport(first, 3), start).isEmpty());
    LONGS_EQUAL(2, replica.inForce.version);
}

TEST(Replica, WhoIsBehindTakesNoWork)
{
    auto third = changed(second);
    CHECK(table::holdStage(replica, makeStage(9, third), start) == table::StageAnswer::Held);
    CHECK(!mayWork(start));
    STRCMP_CONTAINS("is behind: version 2", table::explainRefusal(replica, start, options).c_str());
    CHECK(table::takeTable(replica, second, table::digestTable(second)));
    CHECK(mayWork(start));
}

TEST(Replica, RowsWithoutTheirDigestAreNotTaken)
{
    CHECK(!table::takeTable(replica, second, table::digestTable(first)));
    auto stage = makeStage(5, second);
    stage.image.upstreams[0].weight = 7;
    CHECK(table::holdStage(replica, stage, start) == table::StageAnswer::Invalid);
}

TEST(Replica, AReporterThatHasLostItsMemoryIsNotHeard)
{
    auto report = peerReport(first, 9);
    report.isLoaded = false;
    table::holdStage(replica, makeStage(5, second), start);
    CHECK(table::takeReport(replica, report, start).isEmpty());
    CHECK(replica.staged.has_value());
}

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/store/table_watch.hpp"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace amaranthhall;
using namespace std::chrono_literals;
using store::Row;
using store::Rows;
using store::StoreError;

namespace {

/// A store whose calls are pending until the test answers them.
class ManualStore final : public store::Store {
public:
    void read(const std::string&, const std::string&, const std::string& from, RowsCallback done) override
    {
        this->lastFrom = from;
        ++this->reads;
        this->pending.push_back(std::move(done));
    }
    void follow(const std::string&, store::Version after, std::chrono::milliseconds wait, RowsCallback done) override
    {
        this->lastAfter = after;
        this->lastWait = wait;
        ++this->follows;
        this->pending.push_back(std::move(done));
    }
    void commit(const store::Transaction&, CommitCallback) override { }
    [[nodiscard]] store::Era era() const noexcept override { return this->newestEra; }
    [[nodiscard]] const freshness::StoreClock& clock() const noexcept override { return this->storeClock; }

    void answer(store::StoreResult<Rows> result)
    {
        auto done = std::move(this->pending.front());
        this->pending.pop_front();
        done(std::move(result));
    }

    std::deque<RowsCallback> pending;
    std::string lastFrom;
    store::Version lastAfter;
    store::Era newestEra { 0 };
    std::chrono::milliseconds lastWait { 0 };
    int reads { 0 };
    int follows { 0 };
    freshness::StoreClock storeClock;
};

Row row(const char* key, std::uint64_t number, bool isRemoved = false)
{
    return { .key = { .table = "t", .key = key }, .value = "v" + std::to_string(number), .version = { .number = number }, .isRemoved = isRemoved };
}

}

TEST_GROUP(TableWatch)
{
    kernel::Loop loop;
    ManualStore storage;
    std::vector<std::string> events;
    store::TableWatch watch { this->loop, this->storage, { .table = "t" }, {
                                                                               .changed = [this](const Row& changed) { this->events.push_back((changed.isRemoved ? "-" : "+") + changed.key.key + "@" + std::to_string(changed.version.number)); },
                                                                               .batchApplied = [] {},
                                                                               .reachabilityChanged = [this](bool isReachable) { this->events.emplace_back(isReachable ? "reached" : "lost"); },
                                                                           } };

    void runFor(Duration span)
    {
        const auto timer = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }

    void list(std::vector<Row> rows, std::uint64_t number)
    {
        this->watch.start();
        this->storage.answer(Rows { .rows = std::move(rows), .version = { .number = number } });
        this->events.clear();
    }
};

TEST(TableWatch, AListingReadsAllPages)
{
    this->watch.start();
    this->storage.answer(Rows { .rows = { row("a", 1) }, .version = { .number = 5 }, .hasMore = true });
    CHECK_EQUAL(std::string("a\0", 2), this->storage.lastFrom);
    this->storage.answer(Rows { .rows = { row("b", 2) }, .version = { .number = 6 } });
    CHECK(this->events == std::vector<std::string>({ "reached", "+a@1", "+b@2" }));
    // The feed starts at the version of the first page, so that changes during the listing are not lost.
    LONGS_EQUAL(5, this->storage.lastAfter.number);
}

TEST(TableWatch, FeedChangesAreAppliedAndOlderRowVersionsAreDropped)
{
    this->list({ row("a", 4) }, 5);
    this->storage.answer(Rows { .rows = { row("a", 3), row("b", 7) }, .version = { .number = 7 } });
    CHECK(this->events == std::vector<std::string>({ "+b@7" }));
    LONGS_EQUAL(7, this->storage.lastAfter.number);
}

TEST(TableWatch, ExpiredHistoryCausesANewListingThatReportsRemovedRows)
{
    this->list({ row("a", 1), row("b", 2) }, 5);
    this->storage.answer(tl::unexpected(StoreError::HistoryGone));
    this->runFor(300ms);
    LONGS_EQUAL(2, this->storage.reads);
    this->storage.answer(Rows { .rows = { row("b", 2) }, .version = { .number = 9 } });
    CHECK(this->events == std::vector<std::string>({ "lost", "reached", "-a@9" }));
}

TEST(TableWatch, AnAnswerOfALaggingStoreDoesNotRevertRows)
{
    this->list({ row("a", 8) }, 9);
    this->storage.answer(tl::unexpected(StoreError::HistoryGone));
    this->runFor(300ms);
    this->storage.answer(Rows { .rows = { row("a", 2) }, .version = { .number = 3 } });
    CHECK(this->events == std::vector<std::string>({ "lost", "reached" }));
}

TEST(TableWatch, AFailedFeedCallIsRetriedFromTheSameVersion)
{
    this->list({ row("a", 1) }, 5);
    this->storage.answer(tl::unexpected(StoreError::Unreachable));
    this->runFor(300ms);
    LONGS_EQUAL(1, this->storage.reads);
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(5, this->storage.lastAfter.number);
}

TEST(TableWatch, RowsFromAPeerAreMergedAndForwarded)
{
    this->watch.merge({ row("a", 3), row("b", 4, true) });
    CHECK(this->events == std::vector<std::string>({ "+a@3", "-b@4" }));
    LONGS_EQUAL(4, this->watch.newestRow().number);
    LONGS_EQUAL(1, this->watch.rowsAfter({ .number = 3 }).size());
    this->watch.merge({ row("b", 2) });
    CHECK(this->watch.find("b") == nullptr);
}

TEST(TableWatch, ANewerVersionElsewhereCausesARequestAfterTheFeedGracePeriod)
{
    this->list({ row("a", 1) }, 5);
    this->watch.noteNewerVersion({ .number = 6 });
    LONGS_EQUAL(1, this->storage.follows);
    this->runFor(350ms);
    this->watch.noteNewerVersion({ .number = 6 });
    LONGS_EQUAL(2, this->storage.follows);
    this->watch.noteNewerVersion({ .number = 5 });
    LONGS_EQUAL(2, this->storage.follows);
}

TEST(TableWatch, ARequestInProgressIsNotRepeated)
{
    this->list({ row("a", 1) }, 5);
    this->runFor(350ms);
    this->watch.noteNewerVersion({ .number = 6 });
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(0, this->storage.lastWait.count());
    this->runFor(700ms);
    this->watch.noteNewerVersion({ .number = 6 });
    LONGS_EQUAL(2, this->storage.follows);
    this->storage.pending.pop_front();
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = { .number = 6 } });
    CHECK(this->events == std::vector<std::string>({ "+a@6" }));
    this->runFor(350ms);
    this->watch.noteNewerVersion({ .number = 7 });
    LONGS_EQUAL(4, this->storage.follows);
}

TEST(TableWatch, AListingInProgressIsNotRestarted)
{
    this->list({ row("a", 1) }, 5);
    this->watch.setFollowing(false);
    this->watch.refresh();
    this->watch.refresh();
    LONGS_EQUAL(2, this->storage.reads);
    this->storage.pending.pop_front();
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = { .number = 6 } });
    this->watch.refresh();
    LONGS_EQUAL(3, this->storage.reads);
}

TEST(TableWatch, ChangesInQuickSuccessionAreFetchedInOneCall)
{
    store::TableWatch pacedWatch(this->loop, this->storage, { .table = "t", .pauseAfterChange = 50ms }, { .changed = [](const Row&) {}, .batchApplied = [] {}, .reachabilityChanged = [](bool) {} });
    pacedWatch.start();
    this->storage.answer(Rows { .rows = {}, .version = { .number = 5 } });
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = { .number = 6 } });
    LONGS_EQUAL(1, this->storage.follows);
    pacedWatch.noteNewerVersion({ .number = 7 });
    LONGS_EQUAL(1, this->storage.follows);
    this->runFor(100ms);
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(6, this->storage.lastAfter.number);
}

namespace {

constexpr freshness::Micros second = 1'000'000; // µs

}

/// The store's clock is the local boot clock, so that copies have an age.
TEST_GROUP_BASE(TableWatchAge, TEST_GROUP_CppUTestGroupTableWatch) {
    void setup() override {
        const auto now = freshness::bootNow();
this->storage.storeClock.observe(now, now, now);
}

void listAt(freshness::Micros ago, std::vector<Row> rows, std::uint64_t number)
{
    this->watch.start();
    this->storage.answer(Rows { .rows = std::move(rows), .version = { .number = number }, .readAt = freshness::bootNow() - ago });
    this->storage.pending.clear();
    this->events.clear();
}

store::CopyState copyOf(std::uint64_t newestRow, freshness::Micros ago, std::uint64_t version, store::Era era = 0) const
{
    return { .newestRow = { .era = era, .number = newestRow }, .verifiedAt = freshness::bootNow() - ago, .verifiedVersion = version };
}
}
;

TEST(TableWatchAge, AnOldCopyIsPolledBesideAFeedThatIsSilent)
{
    this->listAt(2 * second, { row("a", 1) }, 5);
    LONGS_EQUAL(1, this->storage.follows);
    CHECK(this->watch.age() >= 2s);
    this->watch.pollIfDue(9);
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(0, this->storage.lastWait.count());
    this->storage.answer(Rows { .rows = { row("b", 7) }, .version = { .number = 7 }, .readAt = freshness::bootNow() });
    CHECK(this->events == std::vector<std::string>({ "+b@7" }));
    CHECK(this->watch.age() < 1s);
    CHECK(this->watch.pollIfDue(9) > Duration::zero());
    LONGS_EQUAL(2, this->storage.follows);
    // The feed should have delivered the row, so its connection is dead.
    this->runFor(350ms);
    this->watch.pollIfDue(9);
    LONGS_EQUAL(3, this->storage.follows);
    CHECK(this->storage.lastWait > 0ms);
    LONGS_EQUAL(7, this->storage.lastAfter.number);
}

TEST(TableWatchAge, APollThatTheStoreDoesNotAnswerIsRepeatedBeforeItTimesOut)
{
    this->listAt(2 * second, { row("a", 1) }, 5);
    this->watch.pollIfDue(0);
    this->watch.pollIfDue(0);
    LONGS_EQUAL(2, this->storage.follows);
    this->runFor(550ms);
    this->watch.pollIfDue(0);
    LONGS_EQUAL(3, this->storage.follows);
}

TEST(TableWatchAge, AnAnswerToAPeerMakesTheOwnCopyYoung)
{
    this->listAt(2 * second, { row("a", 4) }, 5);
    this->watch.noteVerifiedByPeer(this->copyOf(4, 0, 80));
    CHECK(this->watch.age() < 1s);
    this->watch.pollIfDue(9);
    LONGS_EQUAL(1, this->storage.follows);
    // The history of the store may no longer reach back to the own last answer.
    this->watch.poll();
    LONGS_EQUAL(80, this->storage.lastAfter.number);
}

TEST(TableWatchAge, AnAnswerToAPeerWithNewerRowsProvesNothing)
{
    this->listAt(2 * second, { row("a", 4) }, 5);
    this->watch.noteVerifiedByPeer(this->copyOf(6, 0, 80));
    CHECK(this->watch.age() >= 2s);
    this->watch.mergeCopy({ row("a", 6) }, this->copyOf(6, 0, 80));
    CHECK(this->watch.age() < 1s);
    CHECK(this->watch.copyState().newestRow == store::Version({ .number = 6 }));
    LONGS_EQUAL(80, this->watch.copyState().verifiedVersion);
}

TEST(TableWatchAge, AnAnswerOfAnEarlierEraOrOfTheFutureProvesNothing)
{
    this->listAt(2 * second, { row("a", 4) }, 5);
    this->watch.mergeCopy({ { .key = { .table = "t", .key = "a" }, .value = "v", .version = { .era = 1, .number = 3 } } }, this->copyOf(3, 2 * second, 5, 1));
    this->watch.noteVerifiedByPeer(this->copyOf(4, 0, 80));
    CHECK(this->watch.age() >= 2s);
    this->watch.noteVerifiedByPeer(this->copyOf(3, -60 * second, 80, 1));
    CHECK(this->watch.age() >= 2s);
}

// A daemon that has written a row does not know what others wrote before it.
TEST(TableWatchAge, AnOwnRowDoesNotMakeTheCopyCompleteUpToIt)
{
    this->listAt(0, { row("a", 4) }, 5);
    this->watch.merge({ row("own", 9) });
    LONGS_EQUAL(4, this->watch.copyState().newestRow.number);
    this->watch.poll();
    LONGS_EQUAL(5, this->storage.lastAfter.number);
    this->storage.answer(Rows { .rows = { row("b", 8), row("own", 9) }, .version = { .number = 9 }, .readAt = freshness::bootNow() });
    LONGS_EQUAL(9, this->watch.copyState().newestRow.number);
}

TEST(TableWatchAge, APollBehindTheHistoryOfTheStoreCausesAListing)
{
    this->listAt(2 * second, { row("a", 1) }, 5);
    this->watch.poll();
    this->storage.answer(tl::unexpected(StoreError::HistoryGone));
    LONGS_EQUAL(2, this->storage.reads);
}

TEST(TableWatchAge, APollThatShowsANewEraCausesAListing)
{
    this->listAt(2 * second, { row("a", 4) }, 5);
    this->watch.poll();
    this->storage.answer(Rows { .rows = {}, .version = { .era = 1, .number = 3 }, .readAt = freshness::bootNow() });
    LONGS_EQUAL(2, this->storage.reads);
    CHECK(this->watch.age() >= 2s);
}

TEST(TableWatchAge, APeerThatAnswersWithoutItsNewestRowDoesNotMakeTheCopyComplete)
{
    this->listAt(2 * second, { row("a", 4) }, 5);
    this->watch.mergeCopy({}, this->copyOf(6, 0, 80));
    LONGS_EQUAL(4, this->watch.copyState().newestRow.number);
    CHECK(this->watch.age() >= 2s);
    this->watch.mergeCopy({ row("b", 5) }, this->copyOf(6, 0, 80));
    LONGS_EQUAL(4, this->watch.copyState().newestRow.number);
}

TEST(TableWatchAge, AnAnswerIsBelievedAfterTheClockOfTheStoreWasSetBack)
{
    this->listAt(0, { row("a", 1) }, 5);
    const auto earlier = freshness::bootNow() - 5 * second;
    this->storage.storeClock = {};
    this->storage.storeClock.observe(freshness::bootNow(), freshness::bootNow(), earlier);
    this->watch.poll();
    this->storage.answer(Rows { .rows = {}, .version = { .number = 6 }, .readAt = earlier });
    CHECK(this->watch.age() < 1s);
}

TEST(TableWatchAge, AFeedIsExpectedToDeliverForItsGracePeriodOnly)
{
    this->watch.start();
    this->storage.answer(Rows { .rows = { row("a", 1) }, .version = { .number = 5 }, .readAt = freshness::bootNow() });
    CHECK_TRUE(this->watch.isFeedExpectedToDeliver({ .number = 6 }));
    this->runFor(350ms);
    CHECK_FALSE(this->watch.isFeedExpectedToDeliver({ .number = 6 }));
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = { .number = 6 } });
    CHECK_TRUE(this->watch.isFeedExpectedToDeliver({ .number = 7 }));
}

// When a whole fleet starts at once, only a few daemons may query the store; the others get the rows from them.
TEST(TableWatch, TheStoreIsNotReadIfAPeerProvidesTheRows)
{
    store::TableWatch delayedWatch(this->loop, this->storage, { .table = "t", .listDelay = 20ms, .follows = false }, { .changed = [](const auto&) {}, .batchApplied = [] {}, .reachabilityChanged = [](bool) {} });
    delayedWatch.start();
    LONGS_EQUAL(0, this->storage.reads);
    delayedWatch.merge({ row("a", 3) });
    this->runFor(40ms);
    LONGS_EQUAL(0, this->storage.reads);
    CHECK_TRUE(delayedWatch.hasRows());
    // The table is listed once the watch has to follow the feed.
    delayedWatch.setFollowing(true);
    LONGS_EQUAL(1, this->storage.reads);
}

TEST(TableWatch, TheStoreIsReadIfNoPeerProvidesTheRows)
{
    store::TableWatch delayedWatch(this->loop, this->storage, { .table = "t", .listDelay = 20ms, .follows = false }, { .changed = [](const auto&) {}, .batchApplied = [] {}, .reachabilityChanged = [](bool) {} });
    delayedWatch.start();
    this->runFor(40ms);
    LONGS_EQUAL(1, this->storage.reads);
    this->storage.answer(Rows { .rows = { row("a", 3) }, .version = { .number = 3 } });
    LONGS_EQUAL(0, this->storage.follows);
}

// The store was restored from a copy: version numbers go back and are assigned again in a new era.
TEST_GROUP_BASE(TableWatchAfterRestore, TEST_GROUP_CppUTestGroupTableWatch) {
    static Row restoredRow(const char* key, std::uint64_t number, const char* value) {
        return { .key = { .table = "t", .key = key }, .value = value, .version = { .era = 1, .number = number } };
}

static Rows restoredAnswer(std::vector<Row> rows, std::uint64_t number)
{
    return { .rows = std::move(rows), .version = { .era = 1, .number = number } };
}
}
;

TEST(TableWatchAfterRestore, ANewEraCausesANewListingAndLowerNumbersAreApplied)
{
    this->list({ row("a", 40), row("b", 20), row("c", 41) }, 42);
    // The rows of the feed are not enough, because version numbers were assigned again.
    this->storage.answer(restoredAnswer({ restoredRow("d", 43, "new") }, 43));
    LONGS_EQUAL(2, this->storage.reads);
    CHECK(this->watch.find("a") != nullptr);
    this->storage.answer(restoredAnswer({ restoredRow("a", 30, "older"), restoredRow("b", 20, "v20"), restoredRow("d", 43, "new") }, 43));
    // An unchanged row is not reported again; a row that is absent from the copy is reported as removed.
    CHECK(this->events == std::vector<std::string>({ "+a@30", "+d@43", "-c@43" }));
    LONGS_EQUAL(43, this->storage.lastAfter.number);
    LONGS_EQUAL(1, this->storage.lastAfter.era);
    CHECK(this->watch.newestRow() == store::Version({ .era = 1, .number = 43 }));
}

TEST(TableWatchAfterRestore, ALateAnswerOfAnEarlierEraIsDropped)
{
    this->list({ row("a", 40) }, 42);
    this->storage.answer(restoredAnswer({}, 30));
    this->storage.answer(restoredAnswer({ restoredRow("a", 30, "older") }, 30));
    this->events.clear();
    this->storage.answer(Rows { .rows = { row("a", 50) }, .version = { .number = 50 } });
    CHECK(this->events == std::vector<std::string>({ "lost" }));
    CHECK_EQUAL(std::string("older"), this->watch.find("a")->value);
}

TEST(TableWatchAfterRestore, PagesOfTwoErasAreNotMixed)
{
    this->watch.start();
    this->storage.answer(Rows { .rows = { row("a", 40) }, .version = { .number = 42 }, .hasMore = true });
    this->storage.answer(restoredAnswer({ restoredRow("b", 20, "b") }, 30));
    LONGS_EQUAL(3, this->storage.reads);
    CHECK_EQUAL(std::string(), this->storage.lastFrom);
}

TEST(TableWatchAfterRestore, ANewerEraIsAdoptedFromPeers)
{
    this->watch.merge({ row("a", 40) });
    this->events.clear();
    this->watch.merge({ restoredRow("a", 12, "older") });
    CHECK(this->events == std::vector<std::string>({ "+a@12" }));
    // A peer that does not know the new era yet sends rows of the earlier one.
    this->watch.merge({ row("a", 41) });
    CHECK_EQUAL(std::string("older"), this->watch.find("a")->value);
    LONGS_EQUAL(0, this->watch.rowsAfter({ .era = 1, .number = 12 }).size());
    LONGS_EQUAL(1, this->watch.rowsAfter({ .number = 99 }).size());
}

TEST(TableWatchAfterRestore, ANewerEraElsewhereCausesANewListing)
{
    this->list({ row("a", 40) }, 42);
    this->runFor(350ms);
    this->watch.noteNewerVersion({ .era = 1, .number = 12 });
    LONGS_EQUAL(2, this->storage.reads);
    this->storage.pending.pop_front();
    this->storage.answer(restoredAnswer({ restoredRow("a", 12, "older") }, 12));
    this->watch.updateEra(1);
    LONGS_EQUAL(2, this->storage.reads);
    this->watch.updateEra(2);
    LONGS_EQUAL(2, this->storage.reads - 1);
}

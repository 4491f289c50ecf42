#include "amaranthhall/store/table_watch.hpp"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace amaranthhall;
using namespace std::chrono_literals;
using store::Row;
using store::Rows;
using store::StoreError;

namespace {

/// A store whose calls wait until the test answers them.
class WaitingStore final : public store::Store {
public:
    void read(const std::string&, const std::string&, const std::string& from, RowsDone done) override
    {
        this->lastFrom = from;
        ++this->reads;
        this->pending.push_back(std::move(done));
    }
    void follow(const std::string&, store::Version after, std::chrono::milliseconds wait, RowsDone done) override
    {
        this->lastAfter = after;
        this->lastWait = wait;
        ++this->follows;
        this->pending.push_back(std::move(done));
    }
    void commit(const store::Transaction&, CommitDone) override { }
    [[nodiscard]] const freshness::StoreClock& clock() const noexcept override { return this->storeClock; }

    void answer(store::StoreResult<Rows> result)
    {
        auto done = std::move(this->pending.front());
        this->pending.pop_front();
        done(std::move(result));
    }

    std::deque<RowsDone> pending;
    std::string lastFrom;
    store::Version lastAfter { 0 };
    std::chrono::milliseconds lastWait { 0 };
    int reads { 0 };
    int follows { 0 };

private:
    freshness::StoreClock storeClock;
};

Row row(const char* key, store::Version version, bool isRemoved = false)
{
    return { .key = { .table = "t", .key = key }, .value = "v" + std::to_string(version), .version = version, .isRemoved = isRemoved };
}

}

TEST_GROUP(TableWatch)
{
    kernel::Loop loop;
    WaitingStore storage;
    std::vector<std::string> events;
    store::TableWatch watch { this->loop, this->storage, { .table = "t" }, {
                                                                               .changed = [this](const Row& changed) { this->events.push_back((changed.isRemoved ? "-" : "+") + changed.key.key + "@" + std::to_string(changed.version)); },
                                                                               .settled = [] {},
                                                                               .reached = [this](bool isReachable) { this->events.emplace_back(isReachable ? "reached" : "lost"); },
                                                                           } };

    void runFor(Duration span)
    {
        const auto timer = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }

    void list(std::vector<Row> rows, store::Version version)
    {
        this->watch.start();
        this->storage.answer(Rows { .rows = std::move(rows), .version = version });
        this->events.clear();
    }
};

TEST(TableWatch, AListingComesPageByPage)
{
    this->watch.start();
    this->storage.answer(Rows { .rows = { row("a", 1) }, .version = 5, .hasMore = true });
    CHECK_EQUAL(std::string("a\0", 2), this->storage.lastFrom);
    this->storage.answer(Rows { .rows = { row("b", 2) }, .version = 6 });
    CHECK(this->events == std::vector<std::string>({ "reached", "+a@1", "+b@2" }));
    // Changes since the first page are asked for again.
    LONGS_EQUAL(5, this->storage.lastAfter);
}

TEST(TableWatch, ChangesFollowAndOldCopiesAreDropped)
{
    this->list({ row("a", 4) }, 5);
    this->storage.answer(Rows { .rows = { row("a", 3), row("b", 7) }, .version = 7 });
    CHECK(this->events == std::vector<std::string>({ "+b@7" }));
    LONGS_EQUAL(7, this->storage.lastAfter);
}

TEST(TableWatch, ALostHistoryIsListedAnewAndShowsWhatIsGone)
{
    this->list({ row("a", 1), row("b", 2) }, 5);
    this->storage.answer(tl::unexpected(StoreError::HistoryGone));
    this->runFor(300ms);
    LONGS_EQUAL(2, this->storage.reads);
    this->storage.answer(Rows { .rows = { row("b", 2) }, .version = 9 });
    CHECK(this->events == std::vector<std::string>({ "lost", "reached", "-a@9" }));
}

TEST(TableWatch, AnAnswerOfALaggingStoreTakesNothingBack)
{
    this->list({ row("a", 8) }, 9);
    this->storage.answer(tl::unexpected(StoreError::HistoryGone));
    this->runFor(300ms);
    this->storage.answer(Rows { .rows = { row("a", 2) }, .version = 3 });
    CHECK(this->events == std::vector<std::string>({ "lost", "reached" }));
}

TEST(TableWatch, AFailedCallIsMadeAgainFromWhereItWas)
{
    this->list({ row("a", 1) }, 5);
    this->storage.answer(tl::unexpected(StoreError::Unreachable));
    this->runFor(300ms);
    LONGS_EQUAL(1, this->storage.reads);
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(5, this->storage.lastAfter);
}

TEST(TableWatch, RowsOfAPeerAreTakenInAndHandedOn)
{
    this->watch.merge({ row("a", 3), row("b", 4, true) });
    CHECK(this->events == std::vector<std::string>({ "+a@3", "-b@4" }));
    LONGS_EQUAL(4, this->watch.newestRow());
    LONGS_EQUAL(1, this->watch.rowsAfter(3).size());
    this->watch.merge({ row("b", 2) });
    CHECK(this->watch.find("b") == nullptr);
}

TEST(TableWatch, AHintOfANewerVersionAsksAnewOnceTheFeedIsLate)
{
    this->list({ row("a", 1) }, 5);
    this->watch.hint(6);
    LONGS_EQUAL(1, this->storage.follows);
    this->runFor(350ms);
    this->watch.hint(6);
    LONGS_EQUAL(2, this->storage.follows);
    this->watch.hint(5);
    LONGS_EQUAL(2, this->storage.follows);
}

TEST(TableWatch, ALargeAnswerOnItsWayIsNotAskedForAgain)
{
    this->list({ row("a", 1) }, 5);
    this->runFor(350ms);
    this->watch.hint(6);
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(0, this->storage.lastWait.count());
    this->runFor(700ms);
    this->watch.hint(6);
    LONGS_EQUAL(2, this->storage.follows);
    this->storage.pending.pop_front();
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = 6 });
    CHECK(this->events == std::vector<std::string>({ "+a@6" }));
    this->runFor(350ms);
    this->watch.hint(7);
    LONGS_EQUAL(4, this->storage.follows);
}

TEST(TableWatch, AListingUnderWayIsNotBegunAnew)
{
    this->list({ row("a", 1) }, 5);
    this->watch.setFollowing(false);
    this->watch.refresh();
    this->watch.refresh();
    LONGS_EQUAL(2, this->storage.reads);
    this->storage.pending.pop_front();
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = 6 });
    this->watch.refresh();
    LONGS_EQUAL(3, this->storage.reads);
}

TEST(TableWatch, ChangesInQuickSuccessionCostOneCall)
{
    store::TableWatch slow(this->loop, this->storage, { .table = "t", .pauseAfterChange = 50ms }, { .changed = [](const Row&) {}, .settled = [] {}, .reached = [](bool) {} });
    slow.start();
    this->storage.answer(Rows { .rows = {}, .version = 5 });
    this->storage.answer(Rows { .rows = { row("a", 6) }, .version = 6 });
    LONGS_EQUAL(1, this->storage.follows);
    slow.hint(7);
    LONGS_EQUAL(1, this->storage.follows);
    this->runFor(100ms);
    LONGS_EQUAL(2, this->storage.follows);
    LONGS_EQUAL(6, this->storage.lastAfter);
}

// Load: a fleet that starts all at once; few daemons ask the store, and hand on what they are told.
TEST(TableWatch, ADaemonWhoseNeighboursHandOnTheRowsDoesNotAskTheStore)
{
    store::TableWatch patient(this->loop, this->storage, { .table = "t", .listAfter = 20ms, .follows = false }, { .changed = [](const auto&) {}, .settled = [] {}, .reached = [](bool) {} });
    patient.start();
    LONGS_EQUAL(0, this->storage.reads);
    patient.merge({ row("a", 3) });
    this->runFor(40ms);
    LONGS_EQUAL(0, this->storage.reads);
    CHECK_TRUE(patient.hasRows());
    // It lists once it is to follow the store.
    patient.setFollowing(true);
    LONGS_EQUAL(1, this->storage.reads);
}

TEST(TableWatch, ADaemonThatIsToldNothingAsksTheStore)
{
    store::TableWatch patient(this->loop, this->storage, { .table = "t", .listAfter = 20ms, .follows = false }, { .changed = [](const auto&) {}, .settled = [] {}, .reached = [](bool) {} });
    patient.start();
    this->runFor(40ms);
    LONGS_EQUAL(1, this->storage.reads);
    this->storage.answer(Rows { .rows = { row("a", 3) }, .version = 3 });
    LONGS_EQUAL(0, this->storage.follows);
}

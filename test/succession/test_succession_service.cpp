#include "amaranthhall/engine/boot_clock.hpp"
#include "amaranthhall/succession/succession_service.hpp"
#include "engine/fake_links.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <nlohmann/json.hpp>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// A store that makes each transaction at once; its clock is the boot clock.
class PromptStore final : public store::Store {
public:
    explicit PromptStore(kernel::Loop& loop)
        : loop(loop)
    {
        const auto now = engine::bootNow();
        this->storeClock.observe(now, now, now);
    }

    void read(const std::string&, const std::string&, const std::string&, RowsCallback) override { }
    void follow(const std::string&, store::Version, std::chrono::milliseconds, RowsCallback) override { }
    void commit(const store::Transaction& transaction, CommitCallback done) override
    {
        ++this->commits;
        this->lastPut = transaction.puts.front();
        this->lastCondition = transaction.conditions.front().version;
        const store::Version made { .era = this->newestEra, .number = ++this->version };
        this->loop.post([made, done = std::move(done)] { done(made); });
    }
    [[nodiscard]] store::Era era() const noexcept override { return this->newestEra; }
    [[nodiscard]] const freshness::StoreClock& clock() const noexcept override { return this->storeClock; }

    int commits { 0 };
    store::Row lastPut;
    store::Version lastCondition;
    store::Era newestEra { 0 };
    std::uint64_t version { 100 };

private:
    kernel::Loop& loop;
    freshness::StoreClock storeClock;
};

class RecordingPromoter final : public succession::Promoter {
public:
    void promote(const succession::PromotionOrder& order, Done done) override
    {
        this->orders.push_back(order);
        done(this->outcome);
    }

    std::vector<succession::PromotionOrder> orders;
    succession::OrderOutcome outcome { succession::OrderOutcome::Accepted };
};

constexpr freshness::Micros longAgo = 60'000'000; // µs

}

TEST_GROUP(SuccessionService)
{
    kernel::Loop loop;
    catalog::Catalog known;
    engine::fakes::FakeLinkFactory links { this->loop };
    engine::Dispatcher dispatcher { this->loop, this->links, this->known, { .zone = "z", .sharers = [](auto) { return std::optional<std::size_t>(2); } } };
    PromptStore storage { this->loop };
    store::TableWatch fleet { this->loop, this->storage, { .table = "t" }, { .changed = [](const auto&) {}, .batchApplied = [] {}, .reachabilityChanged = [](bool) {} } };
    gossip::PeerRegistry peers;
    const std::vector<std::string> daemons { "me", "other" };
    const std::vector<std::string> services { "s" };
    RecordingPromoter promoter;
    std::unique_ptr<succession::SuccessionService> service;

    void setup() override
    {
        this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
        this->put("p", catalog::Role::Primary, true, 1);
        this->put("a", catalog::Role::Replica, false, 2);
        this->put("b", catalog::Role::Replica, false, 3);
        this->links.upstreams["a"].point = { .term = 1, .position = 90 };
        this->links.upstreams["b"].point = { .term = 1, .position = 95 };
        this->dispatcher.onCatalogChanged();
        this->peers.noteActivity("other", { .address = { .host = "127.0.0.1", .port = 1 }, .zone = "z" }, this->loop.now());
        succession::SuccessionService::Parts parts {
            .loop = this->loop,
            .catalog = this->known,
            .dispatcher = this->dispatcher,
            .store = this->storage,
            .fleet = this->fleet,
            .peers = this->peers,
            .promoter = this->promoter,
            .group = [this](const auto&) -> const std::vector<std::string>& { return this->daemons; },
            .served = [this]() -> const std::vector<std::string>& { return this->services; },
        };
        this->service = std::make_unique<succession::SuccessionService>(std::move(parts), succession::SuccessionService::Options { .self = { .vm = "me", .incarnation = 1 }, .zone = "z", .table = "t" }, [] {});
    }

    void put(const char* id, catalog::Role role, bool draining, std::uint64_t number)
    {
        this->known.put({ .id = id, .service = "s", .role = role, .draining = draining, .slots = 2 }, { .number = number }, this->loop.now());
    }

    void holdDuty(const char* vm, std::uint64_t incarnation, freshness::Micros age, group::Term term = 1)
    {
        const nlohmann::json row { { "holder", vm }, { "incarnation", incarnation }, { "taken_at", engine::bootNow() - age }, { "term", term } };
        this->fleet.merge({ { .key = { .table = "t", .key = "duty/s" }, .value = row.dump(), .version = { .number = 50 } } });
    }

    void hearOrder(freshness::Micros age) const
    {
        gossip::Digest digest { .vm = "other" };
        digest.orders.push_back({ .service = "s", .candidate = "b", .fence = { .number = 50 }, .at = engine::bootNow() - age });
        this->service->take(digest, this->storage.clock());
    }

    void runFor(Duration span)
    {
        const auto end = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

TEST(SuccessionService, TheHolderOrdersTheReplicaThatReceivedMostUnderItsFence)
{
    this->holdDuty("me", 1, longAgo);
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.orders.size());
    CHECK_EQUAL(std::string("b"), this->promoter.orders[0].candidate);
    LONGS_EQUAL(50, this->promoter.orders[0].fence);
    LONGS_EQUAL(0, this->storage.commits);
}

TEST(SuccessionService, AnotherDaemonActsWhenTheHolderDoesNot)
{
    this->holdDuty("other", 7, longAgo);
    this->runFor(2000ms);
    LONGS_EQUAL(1, this->promoter.orders.size());
    LONGS_EQUAL(101, this->promoter.orders[0].fence);
}

TEST(SuccessionService, ADaemonThatStartedAnewTakesAFenceOfItsOwn)
{
    this->holdDuty("me", 99, longAgo);
    this->runFor(2000ms);
    LONGS_EQUAL(1, this->promoter.orders.size());
    LONGS_EQUAL(101, this->promoter.orders[0].fence);
}

TEST(SuccessionService, ADutyThatWasTakenLatelyIsLeftToItsHolder)
{
    this->holdDuty("other", 7, 0);
    this->runFor(2000ms);
    CHECK(this->promoter.orders.empty());
}

TEST(SuccessionService, ASecondOrderUnderTheSameFenceIsNewsToo)
{
    this->holdDuty("other", 7, longAgo);
    this->hearOrder(longAgo);
    this->hearOrder(0);
    this->runFor(2000ms);
    CHECK(this->promoter.orders.empty());
    LONGS_EQUAL(0, this->storage.commits);
}

TEST(SuccessionService, ARefusedOrderIsFollowedByAnotherReplicaUnderANewFence)
{
    this->promoter.outcome = succession::OrderOutcome::Refused;
    this->holdDuty("me", 1, longAgo);
    this->runFor(1300ms);
    CHECK(this->promoter.orders.size() >= 2);
    CHECK_EQUAL(std::string("b"), this->promoter.orders[0].candidate);
    CHECK_EQUAL(std::string("a"), this->promoter.orders[1].candidate);
    CHECK(this->promoter.orders[1].fence > this->promoter.orders[0].fence);
}

// Fault: the store is away while a primary is replaced, so that the registration of the new one does not change.
TEST(SuccessionService, AnOrderedCandidateThatSaysItLeadsIsUsedWithoutItsRegistration)
{
    this->holdDuty("me", 1, longAgo);
    this->links.upstreams["a"].isReplica = true;
    this->links.upstreams["b"].isReplica = true;
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.orders.size());
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("p"));
    this->links.upstreams["b"].isReplica = false;
    this->runFor(400ms);
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("b"));
    // The others are told.
    gossip::Digest digest;
    this->service->fill(digest, this->storage.clock());
    CHECK_TRUE(digest.orders.at(0).isLeading);
    // A registration that came later counts more.
    this->known.put({ .id = "a", .service = "s", .role = catalog::Role::Primary, .slots = 2 }, { .number = 200 }, this->loop.now());
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("a"));
}

TEST(SuccessionService, ADaemonThatIsToldOfALeadingCandidateUsesIt)
{
    gossip::Digest digest { .vm = "other" };
    digest.orders.push_back({ .service = "s", .candidate = "b", .fence = { .number = 50 }, .at = engine::bootNow(), .isLeading = true });
    this->service->take(digest, this->storage.clock());
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("b"));
}

// Fault, as traced on a day of partitions: on one side of a cut only the primary that was superseded answers, with more entries than
// its successor had when it took over. The daemon that acts there knows of the successor's term by the duty's row alone.
TEST(SuccessionService, AnUpstreamThatMissedTheLastTermIsNotOrdered)
{
    this->links.upstreams["a"].isSilent = true;
    this->links.upstreams["b"].point = { .term = 1, .position = 133 };
    this->links.upstreams["p"].isSilent = true;
    this->holdDuty("other", 7, longAgo, 2);
    this->runFor(2500ms);
    CHECK(this->promoter.orders.empty());
    // Questions of any kind come with pauses that grow.
    const auto& sent = this->links.upstreams["b"].sent;
    CHECK(std::count(sent.begin(), sent.end(), "- STATUS") <= 6);
    // One that has followed it comes back, with fewer entries.
    this->links.upstreams["a"].isSilent = false;
    this->links.upstreams["a"].term = 2;
    this->runFor(2500ms);
    CHECK_FALSE(this->promoter.orders.empty());
    CHECK_EQUAL(std::string("a"), this->promoter.orders[0].candidate);
}

TEST(SuccessionService, AmongThoseThatAnswerTheNewestTermCounts)
{
    this->links.upstreams["b"].point = { .term = 1, .position = 133 };
    this->links.upstreams["a"].term = 2;
    this->holdDuty("me", 1, longAgo);
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.orders.size());
    CHECK_EQUAL(std::string("a"), this->promoter.orders[0].candidate);
}

// Who takes the duty over, on whatever side of a partition, learns of the term from the duty's row.
TEST(SuccessionService, TheHolderWritesTheTermOfItsCandidateIntoTheDutysRow)
{
    this->holdDuty("me", 1, longAgo);
    this->links.upstreams["a"].isReplica = true;
    this->links.upstreams["b"].isReplica = true;
    this->runFor(1200ms);
    LONGS_EQUAL(0, this->storage.commits);
    this->links.upstreams["b"].isReplica = false;
    this->links.upstreams["b"].term = 2;
    this->runFor(400ms);
    LONGS_EQUAL(1, this->storage.commits);
    LONGS_EQUAL(2, nlohmann::json::parse(this->storage.lastPut.value).at("term").get<int>());
    this->runFor(600ms);
    LONGS_EQUAL(1, this->storage.commits);
}

TEST(SuccessionService, WhoTakesTheDutyOverKeepsTheTermOfItsRow)
{
    this->holdDuty("other", 7, longAgo, 2);
    this->links.upstreams["a"].term = 2;
    this->runFor(2000ms);
    CHECK(this->storage.commits >= 1);
    LONGS_EQUAL(2, nlohmann::json::parse(this->storage.lastPut.value).at("term").get<int>());
}

// The store comes back from a copy: its rows may be old, its numbers are given out again.
TEST_GROUP_BASE(SuccessionOverACopy, TEST_GROUP_CppUTestGroupSuccessionService)
{
    void takeRowOfCopy(const char* vm, std::uint64_t incarnation, std::uint64_t number, store::Era writtenIn)
    {
        const nlohmann::json row { { "holder", vm }, { "incarnation", incarnation }, { "taken_at", engine::bootNow() - longAgo }, { "era", writtenIn }, { "term", 1 } };
        this->fleet.merge({ { .key = { .table = "t", .key = "duty/s" }, .value = row.dump(), .version = { .era = this->storage.newestEra, .number = number } } });
    }

    /// The primary answers, so that nobody has a reason to act.
    void keepPrimary()
    {
        this->dispatcher.confirmLeader("s", { .upstream = "p", .term = 1, .lastEntry = 1 });
        this->proofs = this->loop.every(20ms, [this] { this->dispatcher.noteProof("s", { .upstream = "p", .point = { .term = 1, .position = 1 }, .at = this->loop.now() }, engine::bootNow()); });
    }

    kernel::Registration proofs;
};

TEST(SuccessionOverACopy, AFenceRisesAcrossEras)
{
    CHECK(succession::fenceOf({ .era = 1, .number = 3 }) > succession::fenceOf({ .number = 1'000'000'000 }));
    CHECK(succession::fenceOf({ .era = 8000, .number = 1 }) < (std::uint64_t { 1 } << 53U));
}

TEST(SuccessionOverACopy, AHolderWritesItsRowAgainAndOrdersUnderANewFence)
{
    this->holdDuty("me", 1, longAgo);
    this->runFor(100ms);
    this->storage.newestEra = 1;
    this->storage.version = 30;
    this->takeRowOfCopy("me", 1, 30, 0);
    this->runFor(300ms);
    LONGS_EQUAL(1, this->storage.commits);
    CHECK(this->storage.lastCondition == store::Version({ .era = 1, .number = 30 }));
    this->runFor(1500ms);
    LONGS_EQUAL(1, this->promoter.orders.size());
    LONGS_EQUAL(succession::fenceOf({ .era = 1, .number = 31 }), this->promoter.orders[0].fence);
}

TEST(SuccessionOverACopy, ADutyThatWasSeenHeldIsLeftAloneThoughTheCopyNamesAnOlderHolder)
{
    this->holdDuty("other", 7, longAgo);
    this->runFor(100ms);
    this->storage.newestEra = 1;
    // As the copy has it, this daemon is the holder.
    this->takeRowOfCopy("me", 1, 30, 0);
    this->runFor(2500ms);
    CHECK(this->promoter.orders.empty());
    LONGS_EQUAL(0, this->storage.commits);
    this->runFor(2000ms);
    CHECK_FALSE(this->promoter.orders.empty());
    CHECK(this->promoter.orders[0].fence >= succession::fenceOf({ .era = 1, .number = 1 }));
}

TEST(SuccessionOverACopy, NoRowIsWrittenUnderAConditionOfTheEarlierEra)
{
    this->holdDuty("me", 1, longAgo);
    this->keepPrimary();
    this->runFor(100ms);
    // The daemon learns of the era before it has listed the table anew.
    this->storage.newestEra = 1;
    this->runFor(500ms);
    LONGS_EQUAL(0, this->storage.commits);
    this->takeRowOfCopy("me", 1, 30, 0);
    this->runFor(300ms);
    LONGS_EQUAL(1, this->storage.commits);
}

TEST(SuccessionOverACopy, ADaemonThatIsCutOffFromTheStoreDoesNotOrderUnderAFenceOfTheEarlierEra)
{
    this->holdDuty("me", 1, longAgo);
    this->runFor(100ms);
    // It hears of the new era by the rows of a peer only.
    this->fleet.merge({ { .key = { .table = "t", .key = "daemon/other" }, .value = "x", .version = { .era = 1, .number = 12 } } });
    this->runFor(2000ms);
    CHECK(this->promoter.orders.empty());
}

TEST(SuccessionOverACopy, AWriteThatWasUnderWayDuringTheReturnCountsAsNotMade)
{
    this->holdDuty("other", 7, longAgo);
    const auto drill = this->loop.every(5ms, [this] { this->storage.newestEra = this->storage.commits > 0 ? 1 : 0; });
    this->storage.newestEra = 0;
    this->runFor(1500ms);
    for (const auto& order : this->promoter.orders)
        CHECK(order.fence >= succession::fenceOf({ .era = 1 }));
}

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/succession/succession_service.hpp"
#include "engine/fake_links.hpp"
#include "succession/immediate_store.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

using namespace amaranthhall;
using namespace std::chrono_literals;
using succession::testing::ImmediateStore;

namespace {

class RecordingPromoter final : public succession::Promoter {
public:
    void promote(const succession::PromotionRequest& request, Done done) override
    {
        this->requests.push_back(request);
        done(this->outcome);
    }

    std::vector<succession::PromotionRequest> requests;
    succession::PromotionOutcome outcome { succession::PromotionOutcome::Accepted };
};

constexpr freshness::Micros longAgo = 60'000'000; // µs

}

TEST_GROUP(SuccessionService)
{
    kernel::Loop loop;
    catalog::Catalog known;
    engine::fakes::FakeLinkFactory links { this->loop };
    engine::Dispatcher dispatcher { this->loop, this->links, this->known, { .zone = "z", .sharers = [](auto) { return std::optional<std::size_t>(2); } } };
    ImmediateStore storage { this->loop };
    store::TableWatch fleet { this->loop, this->storage, { .table = "t" }, { .changed = [](const auto&) {}, .batchApplied = [] {}, .reachabilityChanged = [](bool) {} } };
    gossip::PeerRegistry peers;
    const std::vector<std::string> daemons { "me", "other" };
    std::set<std::string> registered { "other" };
    const std::vector<std::string> services { "s" };
    RecordingPromoter promoter;
    kernel::Registration proofTimer;
    std::unique_ptr<succession::SuccessionService> service;

    void setup() override
    {
        this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
        this->putUpstreams();
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
            .registered = [this]() -> const std::set<std::string>& { return this->registered; },
            .served = [this]() -> const std::vector<std::string>& { return this->services; },
        };
        this->service = std::make_unique<succession::SuccessionService>(std::move(parts), succession::SuccessionService::Options { .self = { .vm = "me", .incarnation = 1 }, .zone = "z", .table = "t" }, [] {});
    }

    void putUpstreams()
    {
        this->putUpstream("p", catalog::Role::Primary, true, 1);
        this->putUpstream("a", catalog::Role::Replica, false, 2);
        this->putUpstream("b", catalog::Role::Replica, false, 3);
    }

    void putUpstream(const char* id, catalog::Role role, bool draining, std::uint64_t number)
    {
        this->known.put({ .id = id, .service = "s", .role = role, .draining = draining, .slots = 2 }, { .number = number }, this->loop.now());
    }

    void putLease(const char* vm, std::uint64_t incarnation, freshness::Micros age, group::Term term = 1)
    {
        const nlohmann::json row { { "holder", vm }, { "incarnation", incarnation }, { "taken_at", freshness::bootNow() - age }, { "term", term } };
        this->fleet.merge({ { .key = { .table = "t", .key = "duty/s" }, .value = row.dump(), .version = { .number = 50 } } });
    }

    void receivePromotionReport(freshness::Micros age) const
    {
        gossip::Digest digest { .vm = "other" };
        digest.orders.push_back({ .service = "s", .candidate = "b", .fence = { .number = 50 }, .at = freshness::bootNow() - age });
        this->service->mergeDigest(digest, this->storage.clock());
    }

    /// Confirms the primary and records proofs periodically, so that no failover starts.
    void keepPrimaryProven()
    {
        this->dispatcher.confirmLeader("s", { .upstream = "p", .term = 1, .lastEntryTerm = 1 });
        this->proofTimer = this->loop.every(20ms, [this] { this->dispatcher.noteProof("s", { .upstream = "p", .point = { .term = 1, .position = 1 }, .at = this->loop.now() }, freshness::bootNow()); });
    }

    void runFor(Duration span)
    {
        const auto end = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

TEST(SuccessionService, HolderPromotesReplicaWithNewestLogPoint)
{
    this->putLease("me", 1, longAgo);
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    CHECK_EQUAL(std::string("b"), this->promoter.requests[0].candidate);
    LONGS_EQUAL(101, this->promoter.requests[0].fencingToken);
    LONGS_EQUAL(1, this->storage.commits);
}

// Failure: while the platform was slow to answer a request, another daemon took the lease over, as its row was old, and requested a promotion too.
TEST(SuccessionService, AnOldLeaseIsRenewedBeforeItIsActedUnder)
{
    this->putLease("me", 1, longAgo);
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    CHECK(this->storage.lastCondition == store::Version({ .number = 50 }));
    const auto takenAt = nlohmann::json::parse(this->storage.lastPut.value).at("taken_at").get<freshness::Micros>();
    CHECK(freshness::bootNow() - takenAt < 1'200'000);
}

TEST(SuccessionService, AFreshLeaseIsNotRenewed)
{
    this->putLease("me", 1, 0);
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    LONGS_EQUAL(50, this->promoter.requests[0].fencingToken);
    LONGS_EQUAL(0, this->storage.commits);
}

TEST(SuccessionService, AHolderWhoseRowHasChangedRequestsNothing)
{
    this->storage.error = store::StoreError::Conflict;
    this->putLease("me", 1, longAgo);
    this->runFor(1200ms);
    CHECK(this->storage.commits >= 1);
    CHECK(this->promoter.requests.empty());
}

TEST(SuccessionService, AHolderWithoutACandidateDoesNotKeepOthersFromTheLease)
{
    this->links.upstreams["a"].isSilent = this->links.upstreams["b"].isSilent = true;
    this->putLease("me", 1, longAgo);
    this->runFor(1200ms);
    LONGS_EQUAL(0, this->storage.commits);
}

TEST(SuccessionService, AHolderActsUnderItsLeaseWhileTheStoreIsAway)
{
    this->storage.error = store::StoreError::Unreachable;
    this->putLease("me", 1, longAgo);
    this->runFor(1200ms);
    CHECK_FALSE(this->promoter.requests.empty());
    LONGS_EQUAL(50, this->promoter.requests[0].fencingToken);
}

TEST(SuccessionService, AHolderThatDoesNotReachThePlatformLetsItsLeaseExpire)
{
    this->promoter.outcome = succession::PromotionOutcome::NotDone;
    this->putLease("me", 1, longAgo);
    this->runFor(4s);
    CHECK(this->promoter.requests.size() >= 2);
    LONGS_EQUAL(1, this->storage.commits);
}

TEST(SuccessionService, OtherDaemonTakesOverInactiveHolder)
{
    this->putLease("other", 7, longAgo);
    this->runFor(2000ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    LONGS_EQUAL(101, this->promoter.requests[0].fencingToken);
}

TEST(SuccessionService, RestartedHolderAcquiresNewToken)
{
    this->putLease("me", 99, longAgo);
    this->runFor(2000ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    LONGS_EQUAL(101, this->promoter.requests[0].fencingToken);
}

TEST(SuccessionService, DoesNotTakeOverRecentlyAcquiredLease)
{
    this->putLease("other", 7, 0);
    this->runFor(2000ms);
    CHECK(this->promoter.requests.empty());
}

TEST(SuccessionService, SecondRequestWithTheSameTokenPostponesTakeover)
{
    this->putLease("other", 7, longAgo);
    this->receivePromotionReport(longAgo);
    this->receivePromotionReport(0);
    this->runFor(2000ms);
    CHECK(this->promoter.requests.empty());
    LONGS_EQUAL(0, this->storage.commits);
}

TEST(SuccessionService, RefusedRequestIsRetriedWithOtherReplicaAndNewToken)
{
    this->promoter.outcome = succession::PromotionOutcome::Refused;
    this->putLease("me", 1, longAgo);
    this->runFor(1300ms);
    CHECK(this->promoter.requests.size() >= 2);
    CHECK_EQUAL(std::string("b"), this->promoter.requests[0].candidate);
    CHECK_EQUAL(std::string("a"), this->promoter.requests[1].candidate);
    CHECK(this->promoter.requests[1].fencingToken > this->promoter.requests[0].fencingToken);
}

// Regression: the store is unavailable during a failover, so the registration of the new primary is not updated.
TEST(SuccessionService, UsesPromotedCandidateBeforeItsRegistration)
{
    this->putLease("me", 1, longAgo);
    this->links.upstreams["a"].isReplica = true;
    this->links.upstreams["b"].isReplica = true;
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("p"));
    this->links.upstreams["b"].isReplica = false;
    this->runFor(400ms);
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("b"));
    // The peers are informed.
    gossip::Digest digest;
    this->service->fill(digest, this->storage.clock());
    CHECK_TRUE(digest.orders.at(0).isLeading);
    // A later registration takes precedence.
    this->known.put({ .id = "a", .service = "s", .role = catalog::Role::Primary, .slots = 2 }, { .number = 200 }, this->loop.now());
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("a"));
}

TEST(SuccessionService, UsesLeadingCandidateReportedByPeer)
{
    gossip::Digest digest { .vm = "other" };
    digest.orders.push_back({ .service = "s", .candidate = "b", .fence = { .number = 50 }, .at = freshness::bootNow(), .isLeading = true });
    this->service->mergeDigest(digest, this->storage.clock());
    CHECK(this->dispatcher.leader("s") == std::optional<std::string>("b"));
}

// Regression, traced during a network partition: on one side only the superseded primary answers, with more entries than its
// successor had when it was promoted. The daemon on that side knows the successor's term only from the lease row.
TEST(SuccessionService, DoesNotPromoteUpstreamThatMissedTheLastTerm)
{
    this->links.upstreams["a"].isSilent = true;
    this->links.upstreams["b"].point = { .term = 1, .position = 133 };
    this->links.upstreams["p"].isSilent = true;
    this->putLease("other", 7, longAgo, 2);
    this->runFor(2500ms);
    CHECK(this->promoter.requests.empty());
    // Status queries are sent with increasing delays.
    const auto& sent = this->links.upstreams["b"].sent;
    CHECK(std::count(sent.begin(), sent.end(), "- STATUS") <= 6);
    // An upstream that followed the last term returns, with fewer entries.
    this->links.upstreams["a"].isSilent = false;
    this->links.upstreams["a"].term = 2;
    this->runFor(2500ms);
    CHECK_FALSE(this->promoter.requests.empty());
    CHECK_EQUAL(std::string("a"), this->promoter.requests[0].candidate);
}

TEST(SuccessionService, PrefersNewestTermAmongAnswers)
{
    this->links.upstreams["b"].point = { .term = 1, .position = 133 };
    this->links.upstreams["a"].term = 2;
    this->putLease("me", 1, longAgo);
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    CHECK_EQUAL(std::string("a"), this->promoter.requests[0].candidate);
}

// A daemon that takes the lease over learns the term from its row, on either side of a partition.
TEST(SuccessionService, HolderWritesTheNewTermToTheLease)
{
    this->putLease("me", 1, longAgo);
    this->links.upstreams["a"].isReplica = true;
    this->links.upstreams["b"].isReplica = true;
    this->runFor(1200ms);
    LONGS_EQUAL(1, this->storage.commits); // the lease was renewed
    this->links.upstreams["b"].isReplica = false;
    this->links.upstreams["b"].term = 2;
    this->runFor(400ms);
    LONGS_EQUAL(2, this->storage.commits);
    LONGS_EQUAL(2, nlohmann::json::parse(this->storage.lastPut.value).at("term").get<int>());
    this->runFor(600ms);
    LONGS_EQUAL(2, this->storage.commits);
}

TEST(SuccessionService, TakeoverKeepsTheTermOfTheLease)
{
    this->putLease("other", 7, longAgo, 2);
    this->links.upstreams["a"].term = 2;
    this->runFor(2000ms);
    CHECK(this->storage.commits >= 1);
    LONGS_EQUAL(2, nlohmann::json::parse(this->storage.lastPut.value).at("term").get<int>());
}

// A service whose primary confirms a commit once one replica has it. The primary drains, and still answers.
TEST_GROUP_BASE(SynchronousReplicas, TEST_GROUP_CppUTestGroupSuccessionService)
{
    kernel::Registration confirmTimer;

    void setup() override
    {
        TEST_GROUP_CppUTestGroupSuccessionService::setup();
        this->configure();
        this->known.noteComplete(this->loop.now() - 10s);
        this->links.upstreams["p"].point = { .term = 1, .position = 97 };
        this->links.upstreams["a"].isReplica = this->links.upstreams["b"].isReplica = true;
        this->putLease("me", 1, longAgo);
        this->confirmTimer = this->loop.every(5ms, [this] { this->confirmOrders(); });
    }

    /// The other daemon tells that it knows what this one has told.
    void confirmOrders() const
    {
        gossip::Digest own;
        this->service->fill(own, this->storage.clock());
        this->service->mergeDigest({ .vm = "other", .pendingOrders = own.pendingOrders }, this->storage.clock());
    }

    void configure()
    {
        this->known.apply({ .version = 2, .services = { { "s", { .name = "s", .maximumConnections = 30, .synchronousReplicas = 1 } } } });
    }

    /// Returns the candidates of pending orders in the row that was written last, separated by commas.
    std::string recordedCandidates() const
    {
        std::string names;
        for (const auto& order : nlohmann::json::parse(this->storage.lastPut.value).value("orders", nlohmann::json::array()))
            names += (names.empty() ? "" : ",") + order.at("candidate").get<std::string>();
        return names;
    }

    /// Runs until an order is sent; returns false if none is within the limit.
    bool awaitOrder(Duration limit)
    {
        const auto end = this->loop.now() + limit;
        while (this->promoter.requests.empty() && this->loop.now() < end)
            this->runFor(10ms);
        return !this->promoter.requests.empty();
    }
};

// Failure: commits that only the other replica had received were acknowledged until the promotion took effect.
TEST(SynchronousReplicas, TheCandidateIsToldBeforeItsPromotionIsOrdered)
{
    this->runFor(850ms); // 600 ms after the start, the primary is judged
    CHECK(this->promoter.requests.empty());
    gossip::Digest digest;
    this->service->fill(digest, this->storage.clock());
    LONGS_EQUAL(1, digest.orders.size());
    CHECK_EQUAL(std::string("b"), digest.orders.front().candidate);
}

// Failure: a daemon that was restarted while an order had no answer was told of it by nobody, and acknowledged commits that its candidate lacked.
TEST(SynchronousReplicas, TheLeaseNamesTheCandidateBeforeItsPromotionIsOrdered)
{
    this->storage.error = store::StoreError::Unreachable;
    CHECK_FALSE(this->awaitOrder(1500ms));
    this->links.upstreams["b"].point.position = 97;
    this->storage.error.reset();
    CHECK_TRUE(this->awaitOrder(1500ms));
    CHECK_EQUAL(this->promoter.requests.front().candidate, this->recordedCandidates());
    LONGS_EQUAL(this->promoter.requests.front().fencingToken, this->storage.version);
}

// Failure: an order without an answer was carried out after another candidate had been announced, which all daemons then waited for in its place.
TEST(SynchronousReplicas, ASecondCandidateIsRecordedBesideTheFirst)
{
    this->promoter.outcome = succession::PromotionOutcome::Unknown;
    this->links.upstreams["b"].point.position = 97;
    CHECK_TRUE(this->awaitOrder(1500ms));
    this->links.upstreams["a"].point.position = this->links.upstreams["p"].point.position = 99;
    this->promoter.requests.clear();
    CHECK_TRUE(this->awaitOrder(6s));
    CHECK_EQUAL(std::string("a"), this->promoter.requests.front().candidate);
    CHECK_EQUAL(std::string("b,a"), this->recordedCandidates());
}

// Failure: an order without an answer was forgotten after ten seconds and carried out later, when the primary that it was to replace had long been back.
TEST(SynchronousReplicas, AnOlderOrderIsMadeVoidOnceThePrimaryServesAgain)
{
    this->promoter.outcome = succession::PromotionOutcome::Unknown;
    this->links.upstreams["b"].point.position = 97;
    CHECK_TRUE(this->awaitOrder(1500ms));
    this->promoter.outcome = succession::PromotionOutcome::Accepted;
    this->putUpstream("p", catalog::Role::Primary, false, 9);
    this->keepPrimaryProven();
    const auto first = std::exchange(this->promoter.requests, {}).front();
    CHECK_TRUE(this->awaitOrder(1s));
    CHECK_EQUAL(std::string("p"), this->promoter.requests.front().candidate);
    CHECK(this->promoter.requests.front().fencingToken > first.fencingToken);
    CHECK_EQUAL(std::string("b,p"), this->recordedCandidates());
    this->runFor(succession::takeoverLimit - 100ms);
    CHECK_EQUAL(std::string("b,p"), this->recordedCandidates());
    this->runFor(300ms);
    CHECK_EQUAL(std::string(), this->recordedCandidates());
    LONGS_EQUAL(1, this->promoter.requests.size());
    CHECK(this->service->pendingOrders().refresh("s").orders.empty());
}

// Failure: the candidate was promoted without commits that had been acknowledged before the daemons knew of it.
TEST(SynchronousReplicas, TheCandidateIsPromotedOnceItHasWhatThePrimaryHad)
{
    CHECK_FALSE(this->awaitOrder(1500ms));
    this->links.upstreams["b"].point.position = 97;
    CHECK_TRUE(this->awaitOrder(600ms));
    CHECK_EQUAL(std::string("b"), this->promoter.requests.front().candidate);
}

TEST(SynchronousReplicas, AConfirmationOfAllDaemonsEndsTheWait)
{
    this->links.upstreams["b"].point.position = 97;
    const auto startedAt = this->loop.now();
    CHECK_TRUE(this->awaitOrder(1s));
    CHECK(this->loop.now() - startedAt < 950ms); // 1760 ms at least without it
}

// Failure: a daemon that had not heard of the candidate was waited for for 250 ms only, and went on acknowledging commits that the candidate lacked.
TEST(SynchronousReplicas, ADaemonThatDoesNotConfirmIsAwaitedUntilItsKnowledgeIsTooOld)
{
    this->links.upstreams["b"].point.position = 97;
    this->registered.insert("unheard");
    const auto startedAt = this->loop.now();
    CHECK_FALSE(this->awaitOrder(600ms + succession::orderKnowledgeLifetime));
    CHECK_TRUE(this->awaitOrder(500ms));
    CHECK(this->loop.now() - startedAt >= 600ms + succession::orderKnowledgeLifetime);
}

// Failure: a replica that did not answer in 80 ms was passed over, also if it alone had acknowledged commits.
TEST(SynchronousReplicas, ASilentReplicaIsAwaitedIfThePrimaryIsSilentToo)
{
    this->links.upstreams["p"].isSilent = true;
    this->links.upstreams["a"].isSilent = true;
    CHECK_FALSE(this->awaitOrder(2500ms));
    this->links.upstreams["a"].isSilent = false;
    this->links.upstreams["a"].point.position = 99;
    CHECK_TRUE(this->awaitOrder(2500ms));
    CHECK_EQUAL(std::string("a"), this->promoter.requests.front().candidate);
}

// Failure: an entry lapsed with the store and was back two seconds later; meanwhile the replica that alone had all commits was passed over at a promotion.
TEST(SynchronousReplicas, AReplicaWhoseEntryIsMissingIsAskedAndAwaited)
{
    this->links.upstreams["p"].isSilent = true;
    this->links.upstreams["a"].isSilent = true;
    this->links.upstreams["a"].point.position = 99;
    this->known.markMissing("a", { .number = 9 }, this->loop.now());
    CHECK_FALSE(this->awaitOrder(2500ms));
    this->links.upstreams["a"].isSilent = false;
    CHECK_TRUE(this->awaitOrder(2500ms));
    CHECK_EQUAL(std::string("a"), this->promoter.requests.front().candidate);
}

TEST(SynchronousReplicas, AReplicaThatIsGoneIsNotAwaited)
{
    this->links.upstreams["p"].isSilent = true;
    this->links.upstreams["a"].isSilent = true;
    this->known.markMissing("a", { .number = 9 }, this->loop.now() - catalog::Catalog::missingGracePeriod);
    LONGS_EQUAL(1, this->known.expire(this->loop.now(), this->loop.now() - 10s).size());
    this->dispatcher.onCatalogChanged();
    CHECK_TRUE(this->awaitOrder(2500ms));
    CHECK_EQUAL(std::string("b"), this->promoter.requests.front().candidate);
}

// Failure: as with a missing entry, on a daemon that started after the entry had lapsed and does not know that there is another replica.
TEST(SynchronousReplicas, ADaemonThatMayNotKnowAllReplicasAwaitsThem)
{
    this->links.upstreams["p"].isSilent = true;
    this->known = {};
    this->configure();
    this->putUpstreams();
    this->known.noteComplete(this->loop.now());
    this->dispatcher.onCatalogChanged();
    CHECK_FALSE(this->awaitOrder(catalog::Catalog::missingGracePeriod - 200ms));
    CHECK_TRUE(this->awaitOrder(2500ms));
}

// Failure: a primary that crashed together with a replica was dropped from the catalog while the replica was awaited, and then replaced by nobody.
TEST(SynchronousReplicas, APrimaryThatIsGoneIsReplaced)
{
    this->dispatcher.confirmLeader("s", { .upstream = "p", .term = 1, .lastEntryTerm = 1 });
    this->dispatcher.noteProof("s", { .upstream = "p", .point = { .term = 1, .position = 97 }, .at = this->loop.now() }, freshness::bootNow());
    this->known.markMissing("p", { .number = 9 }, this->loop.now() - catalog::Catalog::missingGracePeriod);
    LONGS_EQUAL(1, this->known.expire(this->loop.now(), this->loop.now() - 10s).size());
    this->dispatcher.onCatalogChanged();
    CHECK_TRUE(this->awaitOrder(4s));
}

// The store is restored from a backup: its rows may be outdated, and it reuses version numbers.
TEST_GROUP_BASE(SuccessionAfterRestore, TEST_GROUP_CppUTestGroupSuccessionService) {
    void restoreLeaseRow(const char* vm, std::uint64_t incarnation, std::uint64_t number, store::Era writtenIn) {
        const nlohmann::json row { { "holder", vm }, { "incarnation", incarnation }, { "taken_at", freshness::bootNow() - longAgo }, { "era", writtenIn }, { "term", 1 } };
this->fleet.merge({ { .key = { .table = "t", .key = "duty/s" }, .value = row.dump(), .version = { .era = this->storage.newestEra, .number = number } } });
}
}
;

TEST(SuccessionAfterRestore, FencingTokenIncreasesAcrossEras)
{
    CHECK(succession::fencingTokenOf({ .era = 1, .number = 3 }) > succession::fencingTokenOf({ .number = 1'000'000'000 }));
    CHECK(succession::fencingTokenOf({ .era = 8000, .number = 1 }) < (std::uint64_t { 1 } << 53U));
}

TEST(SuccessionAfterRestore, HolderRewritesLeaseAndUsesNewToken)
{
    this->putLease("me", 1, longAgo);
    this->runFor(100ms);
    this->storage.newestEra = 1;
    this->storage.version = 30;
    this->restoreLeaseRow("me", 1, 30, 0);
    this->runFor(300ms);
    LONGS_EQUAL(1, this->storage.commits);
    CHECK(this->storage.lastCondition == store::Version({ .era = 1, .number = 30 }));
    this->runFor(1500ms);
    LONGS_EQUAL(1, this->promoter.requests.size());
    LONGS_EQUAL(succession::fencingTokenOf({ .era = 1, .number = 31 }), this->promoter.requests[0].fencingToken);
}

TEST(SuccessionAfterRestore, RespectsObservedHolderDespiteOlderBackupRow)
{
    this->putLease("other", 7, longAgo);
    this->runFor(100ms);
    this->storage.newestEra = 1;
    // The restored row names this daemon as the holder.
    this->restoreLeaseRow("me", 1, 30, 0);
    this->runFor(2500ms);
    CHECK(this->promoter.requests.empty());
    LONGS_EQUAL(0, this->storage.commits);
    this->runFor(2000ms);
    CHECK_FALSE(this->promoter.requests.empty());
    CHECK(this->promoter.requests[0].fencingToken >= succession::fencingTokenOf({ .era = 1, .number = 1 }));
}

TEST(SuccessionAfterRestore, DoesNotWriteWithVersionOfEarlierEra)
{
    this->putLease("me", 1, longAgo);
    this->keepPrimaryProven();
    this->runFor(100ms);
    // The daemon learns of the new era before it has listed the table again.
    this->storage.newestEra = 1;
    this->runFor(500ms);
    LONGS_EQUAL(0, this->storage.commits);
    this->restoreLeaseRow("me", 1, 30, 0);
    this->runFor(300ms);
    LONGS_EQUAL(1, this->storage.commits);
}

TEST(SuccessionAfterRestore, DaemonWithoutStoreDoesNotUseTokenOfEarlierEra)
{
    this->putLease("me", 1, longAgo);
    this->runFor(100ms);
    // The daemon learns of the new era only from a row received from a peer.
    this->fleet.merge({ { .key = { .table = "t", .key = "daemon/other" }, .value = "x", .version = { .era = 1, .number = 12 } } });
    this->runFor(2000ms);
    CHECK(this->promoter.requests.empty());
}

TEST(SuccessionAfterRestore, IgnoresWriteCommittedInLaterEra)
{
    this->putLease("other", 7, longAgo);
    const auto eraTimer = this->loop.every(5ms, [this] { this->storage.newestEra = this->storage.commits > 0 ? 1 : 0; });
    this->storage.newestEra = 0;
    this->runFor(1500ms);
    for (const auto& request : this->promoter.requests)
        CHECK(request.fencingToken >= succession::fencingTokenOf({ .era = 1 }));
}

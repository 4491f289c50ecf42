#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/succession/order_tracker.hpp"
#include "succession/immediate_store.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;
using Names = std::vector<std::string>;

/// A daemon that starts beside a service of "p", "a" and "b".
TEST_GROUP(OrderTracker)
{
    kernel::Loop loop;
    catalog::Catalog known;
    succession::testing::ImmediateStore storage { this->loop };
    store::TableWatch fleet { this->loop, this->storage, { .table = "t" }, { .changed = [](const auto&) {}, .batchApplied = [] {}, .reachabilityChanged = [](bool) {} } };
    std::unique_ptr<succession::LeaseKeeper> leases;
    std::unique_ptr<succession::OrderTracker> tracker;
    std::set<std::string> registered { "d1", "d2" };

    void setup() override
    {
        this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .synchronousReplicas = 1 } } } });
        for (const auto* id : { "p", "a", "b" })
            this->known.put({ .id = id, .service = "s" }, { .number = 1 }, this->loop.now());
        this->leases = std::make_unique<succession::LeaseKeeper>(succession::LeaseKeeper::Parts { .loop = this->loop, .store = this->storage, .fleet = this->fleet }, succession::LeaseKeeper::Options { .self = { .vm = "me", .incarnation = 1 }, .table = "t" });
        this->tracker = std::make_unique<succession::OrderTracker>(succession::OrderTracker::Parts { .loop = this->loop, .catalog = this->known, .store = this->storage, .fleet = this->fleet, .leases = *this->leases, .registered = [this]() -> const std::set<std::string>& { return this->registered; } }, succession::FenceCheck::Present);
    }

    /// Another daemon hands on the lease's row; its copy was that of the store until `age` ago.
    void receiveRow(std::uint64_t version, const Names& candidates, freshness::Micros age)
    {
        this->runFor(5ms); // more than the resolution of the store's clock
        succession::FailoverLease lease { .holder = { .vm = "other", .incarnation = 7 } };
        for (const auto& candidate : candidates)
            lease.orders.push_back({ .candidate = candidate });
        const store::Row row { .key = { .table = "t", .key = "duty/s" }, .value = succession::encodeLease(lease), .version = { .number = version } };
        this->fleet.mergeCopy({ row }, { .newestRow = row.version, .verifiedAt = freshness::bootNow() - age });
    }

    void runFor(Duration span)
    {
        const auto end = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }

    /// Another daemon tells that it knew of no orders a time ago.
    void tell(const char* vm, freshness::Micros age) const { this->tracker->merge({ .vm = vm, .pendingOrdersAt = freshness::bootNow() - age }); }

    static gossip::PendingOrdersReport report(std::uint64_t version, const Names& candidates)
    {
        gossip::PendingOrdersReport report { .service = "s", .version = { .number = version } };
        for (const auto& candidate : candidates)
            report.orders.push_back({ .candidate = candidate, .fence = { .number = version } });
        return report;
    }
};

// Failure: a daemon that was restarted while an order had no answer acknowledged commits that the candidate lacked, as nobody told it of the order.
TEST(OrderTracker, ADaemonThatStartsLearnsOfOrdersFromTheLeaseRow)
{
    CHECK(this->tracker->candidatesOf("s").upstreams == Names({ "a", "b", "p" }));
    this->receiveRow(50, { "a" }, 0);
    CHECK(this->tracker->candidatesOf("s").upstreams == Names({ "a" }));
    gossip::Digest digest;
    this->tracker->fill(digest);
    LONGS_EQUAL(1, digest.pendingOrders.size());
    CHECK(digest.pendingOrders[0].version == store::Version({ .number = 50 }));
}

// Failure: as above; a copy of the rows that a peer had read before the daemon started may lack an order.
TEST(OrderTracker, ACopyFromBeforeTheStartDoesNotShowThatThereAreNoOrders)
{
    this->receiveRow(50, {}, 1'000'000);
    CHECK(this->tracker->candidatesOf("s").upstreams == Names({ "a", "b", "p" }));
    this->receiveRow(51, {}, 0);
    CHECK(this->tracker->candidatesOf("s").upstreams.empty());
}

TEST(OrderTracker, TheNewestOfRowAndReportsHolds)
{
    this->receiveRow(50, { "a" }, 0);
    CHECK_TRUE(this->tracker->merge({ .vm = "d1", .pendingOrders = { this->report(60, { "b" }) } }));
    CHECK(this->tracker->candidatesOf("s").upstreams == Names({ "b" }));
    CHECK_FALSE(this->tracker->merge({ .vm = "d1", .pendingOrders = { this->report(55, { "p" }) } }));
    this->receiveRow(61, {}, 0);
    CHECK(this->tracker->candidatesOf("s").upstreams.empty());
}

// Failure: a daemon that was cut off from the others went on acknowledging commits that an ordered candidate lacked.
TEST(OrderTracker, KnowledgeThatIsTooOldIsNotGoneBy)
{
    this->receiveRow(50, {}, 0);
    CHECK(this->tracker->candidatesOf("s").upstreams.empty());
    this->runFor(succession::orderKnowledgeLifetime);
    CHECK(this->tracker->candidatesOf("s").upstreams == Names({ "a", "b", "p" }));
    this->receiveRow(51, {}, 0);
    CHECK(this->tracker->candidatesOf("s").upstreams.empty());
}

// While the store is away, the daemons that may hold a lease tell each other what they know.
TEST(OrderTracker, AllRegisteredDaemonsTogetherKnowTheOrders)
{
    this->runFor(5ms);
    this->tell("d1", 0);
    CHECK_FALSE(this->tracker->candidatesOf("s").upstreams.empty());
    this->tell("d2", 10'000'000);
    CHECK_FALSE(this->tracker->candidatesOf("s").upstreams.empty());
    this->tell("d2", 0);
    CHECK(this->tracker->candidatesOf("s").upstreams.empty());
    this->registered.insert("d3");
    CHECK_FALSE(this->tracker->candidatesOf("s").upstreams.empty());
}

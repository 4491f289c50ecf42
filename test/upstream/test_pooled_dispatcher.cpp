#include "amaranthhall/upstream/pooled_dispatcher.hpp"

#include "amaranthhall/upstream/batched_confirmer.hpp"
#include "upstream/recording_sink.hpp"
#include "upstream/scripted_upstream.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using namespace amaranthhall::upstream;
using namespace std::chrono_literals;

namespace {

constexpr auto testTimeout = 10s;
const group::GroupId groupId { .service = "coach-ledger", .instance = "1" };

/// A table that the test edits.
class EditedTable final : public kernel::Service, public table::TableSource {
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "table"; }
    [[nodiscard]] const table::TableImage& image() const noexcept override { return this->content; }
    [[nodiscard]] bool mayTakeWork(std::string_view) const noexcept override { return this->isOpen; }
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

    table::TableImage content;
    bool isOpen { true };
    kernel::Observers observers;
};

/// Views that the test sets; statuses that links bring are taken in.
class SetGroups final : public kernel::Service, public group::GroupSource {
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "groups"; }
    [[nodiscard]] const group::GroupView* view(const group::GroupId&) const noexcept override { return &this->content; }
    void report(const group::UpstreamId& id, group::Symptom) override { this->reported.push_back(id.name); }
    void observe(const group::UpstreamId& id, const group::UpstreamStatus& status) override
    {
        for (auto& upstream : this->content.upstreams) {
            if (upstream.id == id)
                upstream.status = status;
        }
    }
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

    group::GroupView content;
    std::vector<std::string> reported;
    kernel::Observers observers;
};

/// Allowances that the test sets, and the most connections seen.
class SetShares final : public kernel::Service, public share::ShareSource {
public:
    [[nodiscard]] std::string_view name() const noexcept override { return "shares"; }
    [[nodiscard]] std::uint32_t allowance(const group::UpstreamId&) const noexcept override { return this->allowed; }
    void reportUse(const group::UpstreamId&, const share::ShareUse& use) override
    {
        this->mostOpen = std::max(this->mostOpen, use.open);
        this->mostWaiting = std::max(this->mostWaiting, use.waiting);
    }
    void onChange(kernel::Observers::Callback callback) override { this->observers.add(std::move(callback)); }

    std::uint32_t allowed { 2 };
    std::uint32_t mostOpen { 0 };
    std::uint32_t mostWaiting { 0 };
    kernel::Observers observers;
};

/// An upstream that answers each statement with its first word as the tag, and status queries as a row.
struct FakeUpstream {
    FakeUpstream(kernel::Loop& loop, group::Role role, group::Position position)
        : status { .role = role, .term = 3, .last = { 3, position }, .applied = position }
        , server(loop, [this](const auto& frame, auto& answer) { this->answer(frame, answer); })
    {
    }

    void answer(const pgwire::Frame& frame, pgwire::FrameWriter& out)
    {
        if (frame.type == 'P') {
            this->text = frame.body.substr(1, frame.body.size() - 4);
            this->texts.push_back(this->text);
        }
        if (this->isSilent)
            return;
        if (frame.type == 'E' && this->text.find("ah_status") != std::string::npos)
            this->answerStatus(out);
        else if (frame.type == 'E')
            ScriptedUpstream::complete(out, this->text.substr(0, this->text.find(' ')));
        if (frame.type == 'S')
            out.addReadyForQuery(pgwire::TransactionStatus::Idle);
    }

    void answerStatus(pgwire::FrameWriter& out) const
    {
        const std::vector<std::string> cells { this->status.role == group::Role::Primary ? "primary" : "replica", std::to_string(this->status.term), std::to_string(this->status.last.term),
            std::to_string(this->status.last.position), std::to_string(this->status.applied), "0" };
        const std::vector<pgwire::Column> columns(cells.size(), pgwire::Column { .name = "cell" });
        const std::vector<pgwire::Value> values(cells.begin(), cells.end());
        out.add('1', "");
        out.add('2', "");
        out.addRowDescription(columns);
        out.addDataRow(values);
        out.addCommandComplete("SELECT 1");
    }

    [[nodiscard]] bool ran(std::string_view wanted) const
    {
        return std::any_of(this->texts.begin(), this->texts.end(), [&](const auto& text) { return text.find(wanted) != std::string::npos; });
    }

    group::UpstreamStatus status;
    bool isSilent { false };
    std::string text;
    std::vector<std::string> texts;
    ScriptedUpstream server;
};

}

TEST_GROUP(PooledDispatcher)
{
    kernel::Loop loop;
    kernel::Settings settings { .vm = { .id = "vm-1", .zone = "nadi" }, .upstreams = { .user = "amaranthhall", .tlsMode = "disable" } };
    FakeUpstream a { loop, group::Role::Primary, 100 };
    FakeUpstream b { loop, group::Role::Replica, 100 };
    FakeUpstream c { loop, group::Role::Replica, 100 };
    kernel::Registry registry;
    EditedTable* table { nullptr };
    SetGroups* groups { nullptr };
    SetShares* shares { nullptr };
    PooledDispatcher* dispatcher { nullptr };
    BatchedConfirmer* confirmer { nullptr };
    RecordingSink sink;
    std::vector<std::unique_ptr<Ticket>> tickets;

    void setup() override
    {
        this->registry.add(std::make_unique<telemetry::Metrics>());
        this->table = &this->registry.add(std::make_unique<EditedTable>());
        this->groups = &this->registry.add(std::make_unique<SetGroups>());
        this->shares = &this->registry.add(std::make_unique<SetShares>());
        this->dispatcher = &this->registry.add(std::make_unique<PooledDispatcher>(this->loop, this->registry, this->settings));
        this->confirmer = &this->registry.add(std::make_unique<BatchedConfirmer>(this->loop, this->registry, "nadi"));
        this->table->content.services.push_back({ .name = groupId.service, .database = "ledger" });
        this->addUpstream("a", this->a, "lautoka");
        this->addUpstream("b", this->b, "nadi");
        this->addUpstream("c", this->c, "ba");
        this->groups->content.id = groupId;
        this->groups->content.term = 3;
        this->groups->content.primary = "a";
        this->registry.start();
    }

    void addUpstream(const std::string& name, const FakeUpstream& fake, const std::string& zone) const
    {
        const group::UpstreamId id { .group = groupId, .name = name };
        this->table->content.upstreams.push_back({ .id = id, .address = fake.server.address(), .zone = zone });
        this->groups->content.upstreams.push_back({ .id = id, .address = fake.server.address(), .zone = zone, .status = fake.status, .reachability = group::Reachability::Up });
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        bool hasTimedOut = false;
        const auto limit = this->loop.after(testTimeout, [&] {
            hasTimedOut = true;
            this->loop.stop();
        });
        const auto poll = this->loop.every(1ms, [&] {
            if (isDone())
                this->loop.stop();
        });
        this->loop.run();
        CHECK(!hasTimedOut);
    }

    [[nodiscard]] WorkRequest makeWork(Need need, Duration patience = 5s) const
    {
        return { .group = groupId, .need = need, .deadline = this->loop.now() + patience };
    }

    std::optional<AssignmentResult> ask(const WorkRequest& work)
    {
        std::optional<AssignmentResult> got;
        this->tickets.push_back(this->dispatcher->request(work, [&got](auto result) { got.emplace(std::move(result)); }));
        this->runUntil([&] { return got.has_value(); });
        return got;
    }

    void runOn(Assignment & assignment, const std::string& text)
    {
        bool hasEnded = false;
        this->sink.whenEnded = [&](const auto&) { hasEnded = true; };
        assignment.lease->run({ .queries = { { .text = text } } }, this->sink);
        this->runUntil([&] { return hasEnded; });
    }
};

TEST(PooledDispatcher, WritesGoToThePrimaryAndReadsToTheReplicaOfTheZone)
{
    const auto write = this->ask(this->makeWork(Need::Primary));
    CHECK(write->has_value() && (*write)->primary && (*write)->upstream.name == "a");
    const auto read = this->ask(this->makeWork(Need::Read));
    CHECK(read->has_value() && !(*read)->primary && (*read)->upstream.name == "b");
    CHECK(((*read)->point == group::LogPoint { 3, 100 }));
}

TEST(PooledDispatcher, ALinkOfAWriteIsResetBeforeItIsLentAgain)
{
    auto write = this->ask(this->makeWork(Need::Primary));
    this->runOn(**write, "INSERT 1");
    write.reset();
    this->runUntil([&] { return this->a.ran("DISCARD ALL"); });
    CHECK(this->ask(this->makeWork(Need::Primary))->has_value());
    CHECK_EQUAL(1U, this->a.server.untyped().size());
}

TEST(PooledDispatcher, ALinkOfAPlainReadIsLentAgainWithoutAReset)
{
    for (int i = 0; i < 3; ++i) {
        auto read = this->ask(this->makeWork(Need::Read));
        this->runOn(**read, "SELECT 1");
    }
    CHECK(!this->b.ran("DISCARD ALL"));
    auto read = this->ask(this->makeWork(Need::Read));
    this->runOn(**read, "SET x");
    read.reset();
    this->runUntil([&] { return this->b.ran("DISCARD ALL"); });
    CHECK_EQUAL(1U, this->b.server.untyped().size());
}

TEST(PooledDispatcher, ADiscardedLinkIsClosedAndNeverLentAgain)
{
    auto write = this->ask(this->makeWork(Need::Primary));
    (*write)->lease.discard();
    CHECK(this->ask(this->makeWork(Need::Primary))->has_value());
    CHECK_EQUAL(2U, this->a.server.untyped().size());
}

TEST(PooledDispatcher, ALinkLentInAnOlderTermIsClosedOnItsReturn)
{
    auto write = this->ask(this->makeWork(Need::Primary));
    this->groups->content.term = 4;
    this->groups->observers.notify();
    CHECK(this->ask(this->makeWork(Need::Read))->has_value());
    write.reset();
    CHECK(this->ask(this->makeWork(Need::Primary))->has_value());
    CHECK_EQUAL(2U, this->a.server.untyped().size());
}

TEST(PooledDispatcher, WorkOnASupersededPrimaryIsGivenUpAtOnce)
{
    auto write = this->ask(this->makeWork(Need::Primary));
    bool hasEnded = false;
    this->sink.whenEnded = [&](const auto& end) {
        CHECK(end.lost && end.sent);
        hasEnded = true;
    };
    this->a.isSilent = true;
    (*write)->lease->run({ .queries = { { .text = "INSERT 1" } } }, this->sink);
    this->runUntil([&] { return this->a.ran("INSERT"); });
    CHECK(!hasEnded);
    this->groups->content.term = 4;
    this->groups->content.primary.reset();
    this->groups->observers.notify();
    this->runUntil([&] { return hasEnded; });
    write.reset();
    CHECK(this->groups->reported.empty());
}

TEST(PooledDispatcher, ConnectionsNeverExceedTheAllowanceAndWaitersAreServedInTurn)
{
    std::vector<int> order;
    std::vector<AssignmentResult> held;
    for (int i = 0; i < 20; ++i) {
        this->tickets.push_back(this->dispatcher->request(this->makeWork(Need::Primary), [&, i](auto result) {
            CHECK(result.has_value());
            order.push_back(i);
            held.push_back(std::move(result));
        }));
    }
    this->runUntil([&] {
        if (held.size() == 2)
            held.clear();
        return order.size() == 20;
    });
    CHECK(std::is_sorted(order.begin(), order.end()));
    CHECK_EQUAL(2U, this->shares->mostOpen);
    CHECK(this->shares->mostWaiting >= 18);
    CHECK_EQUAL(2U, this->a.server.untyped().size());
}

TEST(PooledDispatcher, AWriteWaitsThroughAChangeOfPrimary)
{
    this->groups->content.primary.reset();
    std::optional<AssignmentResult> got;
    const auto ticket = this->dispatcher->request(this->makeWork(Need::Primary), [&](auto result) { got.emplace(std::move(result)); });
    int turns = 0;
    this->runUntil([&] { return ++turns > 20; });
    CHECK(!got);
    this->groups->content.term = 4;
    this->groups->content.primary = "c";
    this->groups->observers.notify();
    this->runUntil([&] { return got.has_value(); });
    CHECK(got->has_value() && (*got)->upstream.name == "c");
    CHECK_EQUAL(4U, (*got)->term);
}

TEST(PooledDispatcher, WorkWithoutAPrimaryIsRefusedAtItsDeadlineAsNotRun)
{
    this->groups->content.primary.reset();
    const auto got = this->ask(this->makeWork(Need::Primary, 30ms));
    STRCMP_EQUAL("57P03", got->error().sqlstate.c_str());
    CHECK(got->error().verdict == Verdict::NotRun);
    CHECK(got->error().retryAfter > 0ms);
}

TEST(PooledDispatcher, AFullUpstreamsOwnSqlstateIsPassedOn)
{
    this->a.server.refuse(pgwire::makeError("FATAL", "53300", "sorry, too many clients already"));
    const auto got = this->ask(this->makeWork(Need::Primary, 100ms));
    STRCMP_EQUAL("53300", got->error().sqlstate.c_str());
    CHECK(got->error().message.find("too many clients") != std::string::npos);
}

TEST(PooledDispatcher, ADaemonThatMayNotTakeWorkRefusesAtOnceAlsoWhatWaits)
{
    this->groups->content.primary.reset();
    std::optional<AssignmentResult> waiting;
    const auto ticket = this->dispatcher->request(this->makeWork(Need::Primary), [&](auto result) { waiting.emplace(std::move(result)); });
    int turns = 0;
    this->runUntil([&] { return ++turns > 5; });
    this->table->isOpen = false;
    this->table->observers.notify();
    this->runUntil([&] { return waiting.has_value(); });
    STRCMP_EQUAL("57P03", waiting->error().sqlstate.c_str());
    STRCMP_EQUAL("57P03", this->ask(this->makeWork(Need::Read))->error().sqlstate.c_str());
}

TEST(PooledDispatcher, AnUpstreamThatIsLeavingGetsNoNewWork)
{
    CHECK((*this->ask(this->makeWork(Need::Read)))->upstream.name == "b");
    this->groups->content.upstreams[1].status.isDraining = true;
    CHECK((*this->ask(this->makeWork(Need::Read)))->upstream.name == "c");
}

TEST(PooledDispatcher, ANewPrimaryIsWarmedToTheDemandOfTheFormerOne)
{
    std::vector<AssignmentResult> held;
    for (int i = 0; i < 2; ++i)
        this->tickets.push_back(this->dispatcher->request(this->makeWork(Need::Primary), [&](auto result) { held.push_back(std::move(result)); }));
    this->runUntil([&] { return held.size() == 2; });
    this->groups->content.term = 4;
    this->groups->content.primary = "c";
    this->groups->observers.notify();
    this->runUntil([&] { return this->c.server.untyped().size() == 2; });
}

TEST(PooledDispatcher, AnUpstreamThatIsDownLosesItsIdleLinksAndTheNearOneIsOpenedAgain)
{
    CHECK((*this->ask(this->makeWork(Need::Read)))->upstream.name == "b");
    this->groups->content.upstreams[1].reachability = group::Reachability::Down;
    this->groups->observers.notify();
    CHECK((*this->ask(this->makeWork(Need::Read)))->upstream.name == "c");
    this->groups->content.upstreams[1].reachability = group::Reachability::Up;
    this->groups->observers.notify();
    // The far replica has a link at hand and serves at once; the near one is opened for the reads to come.
    CHECK((*this->ask(this->makeWork(Need::Read)))->upstream.name == "c");
    this->runUntil([&] { return this->b.server.untyped().size() == 2; });
}

TEST(PooledDispatcher, AnAllowanceThatShrinksClosesIdleLinks)
{
    for (int i = 0; i < 2; ++i)
        CHECK(this->ask(this->makeWork(Need::Read))->has_value());
    this->shares->allowed = 0;
    this->shares->observers.notify();
    const auto got = this->ask(this->makeWork(Need::Read, 30ms));
    STRCMP_EQUAL("53300", got->error().sqlstate.c_str());
}

TEST(PooledDispatcher, AReadWithATokenWaitsForAReplicaToCatchUp)
{
    this->b.status.applied = 120;
    this->b.status.last = { 3, 120 };
    auto work = this->makeWork(Need::Read);
    work.atLeast = group::LogPoint { 3, 120 };
    const auto got = this->ask(work);
    CHECK(got->has_value() && (*got)->upstream.name == "b");
    CHECK(((*got)->point == group::LogPoint { 3, 120 }));
}

TEST(PooledDispatcher, ABarrierIsSharedAndSetsThePointOfThePrimary)
{
    this->a.status.last = { 3, 150 };
    this->b.status.last = { 3, 150 };
    this->b.status.applied = 150;
    auto work = this->makeWork(Need::Read);
    work.barrier = true;
    std::size_t granted = 0;
    for (int i = 0; i < 10; ++i) {
        this->tickets.push_back(this->dispatcher->request(work, [&](auto result) {
            CHECK(result.has_value());
            CHECK(((*result).upstream.name != "a"));
            CHECK(((*result).point == group::LogPoint { 3, 150 }));
            ++granted;
        }));
    }
    this->runUntil([&] { return granted == 10; });
    CHECK(this->a.texts.size() <= 2);
}

TEST(PooledDispatcher, ABarrierIsNotSetByASupersededPrimary)
{
    this->b.status.term = 4;
    this->c.status.term = 4;
    auto work = this->makeWork(Need::Read, 100ms);
    work.barrier = true;
    CHECK(!this->ask(work)->has_value());
}

TEST(PooledDispatcher, AWriteIsConfirmedByAReplicaThatHoldsIt)
{
    std::optional<Confirmation> got;
    this->confirmer->confirm({ .group = groupId, .name = "a" }, { 3, 100 }, this->loop.now() + 5s, [&](auto confirmation) { got = confirmation; });
    this->runUntil([&] { return got.has_value(); });
    CHECK(*got == Confirmation::Confirmed);
    CHECK(this->b.ran("ah_confirm(3, 100"));
}

TEST(PooledDispatcher, AWriteOfASupersededPrimaryIsNotConfirmed)
{
    this->b.status.term = 4;
    std::optional<Confirmation> got;
    this->confirmer->confirm({ .group = groupId, .name = "a" }, { 3, 100 }, this->loop.now() + 5s, [&](auto confirmation) { got = confirmation; });
    this->runUntil([&] { return got.has_value(); });
    CHECK(*got == Confirmation::Superseded);
}

TEST(PooledDispatcher, ATermIsConfirmedByAMajority)
{
    std::optional<Confirmation> got;
    this->confirmer->confirmTerm({ .group = groupId, .name = "a" }, 3, this->loop.now() + 5s, [&](auto confirmation) { got = confirmation; });
    this->runUntil([&] { return got.has_value(); });
    CHECK(*got == Confirmation::Confirmed);
    got.reset();
    this->confirmer->confirmTerm({ .group = groupId, .name = "a" }, 2, this->loop.now() + 5s, [&](auto confirmation) { got = confirmation; });
    this->runUntil([&] { return got.has_value(); });
    CHECK(*got == Confirmation::Superseded);
}

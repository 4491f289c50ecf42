#include "engine/session_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using engine::ReplyCode;
using engine::RequestKind;
using engine::TransactionState;
using engine::fakes::FakeRelays;
using engine::fakes::SessionFixture;

/// Keys of organisations.
TEST_GROUP_BASE(EngineSessionKeys, SessionFixture) {};

TEST(EngineSessionKeys, AnUnknownKeyIsRefusedAtTheStart)
{
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "wrong");
    CHECK(this->channel.refusal == ReplyCode::NotAuthorised);
    this->channel.refusal = ReplyCode::None;
    this->open("strict");
    CHECK(this->channel.refusal == ReplyCode::NotAuthorised);
    this->open("strict", "k1");
    CHECK_TRUE(this->channel.isAccepted);
}

TEST(EngineSessionKeys, LinksAreNeverSharedBetweenOrganisations)
{
    this->useKeys(2, { { "k1", "a" }, { "k2", "b" } });
    for (const auto* key : { "k1", "k2", "k1", "k2" }) {
        this->open("strict", key);
        CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
    }
    const auto& upstream = this->links.upstreams["p"];
    std::vector<std::string> writers;
    for (std::size_t i = 0; i < upstream.sent.size(); ++i) {
        if (upstream.sent[i].find("WRITE") != std::string::npos)
            writers.push_back(upstream.organisations[i]);
    }
    CHECK(writers == (std::vector<std::string> { "a", "b", "a", "b" }));
}

TEST(EngineSessionKeys, AtTheConnectionLimitTheLinkThatWasIdleLongestMakesRoom)
{
    this->useKeys(2, { { "k1", "a" }, { "k2", "b" }, { "k3", "c" }, { "k4", "d" } }, 4);
    for (const auto* key : { "k1", "k2", "k3", "k4", "k1" }) {
        this->open("strict", key);
        CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
        CHECK(this->links.upstreams["p"].opened - this->links.upstreams["p"].closed <= 4);
    }
}

TEST(EngineSessionKeys, AWithdrawnKeyEndsTheSessionWithItsNextStatement)
{
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Read, "READ i").succeeded());
    this->useKeys(3, {});
    const auto statementsBefore = this->links.upstreams["p"].sent.size();
    CHECK_FALSE(this->session->review());
    const auto reply = this->ask(RequestKind::Write, "WRITE i x", {}, {}, true);
    CHECK(reply.code == ReplyCode::NotAuthorised);
    CHECK(reply.state == TransactionState::Idle);
    CHECK_TRUE(this->channel.isClosed);
    LONGS_EQUAL(statementsBefore, this->links.upstreams["p"].sent.size());
}

TEST(EngineSessionKeys, AWithdrawnKeyEndsAnOpenTransactionBeforeItsCommitIsSent)
{
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
    this->useKeys(3, {});
    const auto reply = this->ask(RequestKind::Commit, "COMMIT");
    CHECK(reply.code == ReplyCode::Aborted);
    CHECK(reply.state == TransactionState::Idle);
    this->runWhile([] { return true; }, 20ms);
    for (const auto& command : this->links.upstreams["p"].sent)
        CHECK(command.find("COMMIT") == std::string::npos);
    CHECK(this->ask(RequestKind::Read, "READ i").code == ReplyCode::NotAuthorised);
}

TEST(EngineSessionKeys, AnIdleTransactionOfAWithdrawnKeyIsRolledBackAtOnce)
{
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    this->useKeys(3, {});
    CHECK_FALSE(this->session->review());
    this->runWhile([&] { return this->links.upstreams["p"].sent.back() != "- ROLLBACK"; }, 20ms);
    STRCMP_EQUAL("- ROLLBACK", this->links.upstreams["p"].sent.back().c_str());
    CHECK(this->ask(RequestKind::Read, "READ i").code == ReplyCode::Malformed);
}

TEST(EngineSessionKeys, AKeyThatMovesEndsTheTransactionAndThenServesItsNewOrganisation)
{
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    this->useKeys(3, { { "k1", "b" } });
    CHECK(this->ask(RequestKind::Read, "READ i").code == ReplyCode::Aborted);
    CHECK_TRUE(this->ask(RequestKind::Rollback, "ROLLBACK").succeeded());
    CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
    STRCMP_EQUAL("b", this->links.upstreams["p"].organisations.back().c_str());
}

// The upstream does not answer, so the statement waits for the only link while the key is withdrawn.
TEST(EngineSessionKeys, AQueuedStatementIsCheckedAgainWhenItGetsItsLink)
{
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
    const auto statementsBefore = this->links.upstreams["p"].sent.size();
    this->session->handle({ .id = "late", .kind = RequestKind::Write, .text = "WRITE i y", .writes = true });
    this->useKeys(3, {}); // before the queue is processed
    this->runWhile([&] { return this->channel.answers.size() < 2; });
    CHECK(this->channel.answers.back().code == ReplyCode::NotAuthorised);
    LONGS_EQUAL(statementsBefore, this->links.upstreams["p"].sent.size());
}

TEST(EngineSessionKeys, APublicRouteNeedsNoKeyAndUsesNoLinkOfAnOrganisation)
{
    this->useKeys(2, { { "k1", "a" } }, 30, true);
    this->open("strict");
    CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
    STRCMP_EQUAL("", this->links.upstreams["p"].organisations.back().c_str());
}

TEST(EngineSessionKeys, AnotherDaemonRunsTheStatementsOfItsOrganisations)
{
    FakeRelays relays(this->loop);
    relays.foreignOrganisations = { "a" };
    this->context->relays = &relays;
    this->useKeys(2, { { "k1", "a" }, { "k2", "b" } });
    this->open("strict", "k1");
    STRCMP_EQUAL("relayed", this->ask(RequestKind::Read, "READ i").digest.c_str());
    this->open("strict", "k2");
    STRCMP_EQUAL("digest", this->ask(RequestKind::Read, "READ i").digest.c_str());
}

TEST(EngineSessionKeys, ARelayedStatementOfAWithdrawnKeyIsRefused)
{
    this->useKeys(7, {});
    this->session = std::make_unique<engine::Session>(*this->context, this->channel);
    const auto* route = this->testCatalog.configuration()->findRoute("strict");
    this->session->handleRelayed({ .request = { .id = "q", .kind = RequestKind::Read, .text = "READ i" }, .route = *route, .identity = { .organisation = "a", .credential = hashing::digestOf("k1"), .configurationVersion = 6 }, .timeLeft = 200ms });
    this->runWhile([&] { return this->channel.answers.empty(); });
    CHECK(this->channel.answers.back().code == ReplyCode::NotAuthorised);
}

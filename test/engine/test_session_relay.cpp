#include "engine/session_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using engine::ReplyCode;
using engine::fakes::FakeRelays;
using engine::fakes::SessionFixture;

/// This daemon cannot connect to the primary, while other daemons report that it leads.
TEST_GROUP_BASE(EngineRelay, SessionFixture)
{
    FakeRelays relays { this->loop };
    kernel::Registration proofTimer;

    void setup() override
    {
        SessionFixture::setup();
        this->context->relays = &this->relays;
        this->links.upstreams["p"].refusesConnections = true;
        this->dispatcher->confirmLeader("s", { .upstream = "p", .term = 1, .lastEntryTerm = 1 });
        this->proofTimer = this->loop.every(5ms, [this] {
            this->dispatcher->noteProof("s", { .upstream = "p", .point = { .term = 1, .position = 10 }, .at = this->loop.now() }, freshness::bootNow());
        });
    }
};

TEST(EngineRelay, StatementsThatNeedTheLeaderAreRelayed)
{
    this->open("strict");
    CHECK_EQUAL(std::string("relayed"), this->read().digest);
    CHECK_EQUAL(std::string("relayed"), this->write().digest);
    CHECK(this->relays.sent == std::vector<std::string>({ "d1 READ a", "d1 WRITE a b" }));
}

TEST(EngineRelay, AStatementRefusedByADaemonIsRelayedToTheNext)
{
    this->relays.codes = { { "d1", ReplyCode::Busy }, { "d2", ReplyCode::ReadOnly } };
    this->open("strict");
    CHECK_EQUAL(std::string("relayed"), this->write().digest);
    LONGS_EQUAL(3, this->relays.sent.size());
}

TEST(EngineRelay, AfterThreeRefusalsTheStatementIsReportedAsNotRun)
{
    this->relays.codes = { { "d1", ReplyCode::Busy }, { "d2", ReplyCode::Busy }, { "d3", ReplyCode::Busy } };
    this->open("strict");
    CHECK(engine::impliesNotRun(this->write().code));
    LONGS_EQUAL(3, this->relays.sent.size());
}

TEST(EngineRelay, ARelayedStatementWithAnUnknownOutcomeIsNotRetried)
{
    this->relays.codes = { { "d1", ReplyCode::InDoubt } };
    this->open("strict");
    CHECK(this->write().code == ReplyCode::InDoubt);
    LONGS_EQUAL(1, this->relays.sent.size());
}

TEST(EngineRelay, AWriteIsRelayedIfTheLeaderIsAtItsConnectionLimit)
{
    this->links.upstreams["p"].refusesConnections = false;
    this->links.upstreams["p"].isAtConnectionLimit = true;
    this->dispatcher->pool("p")->open({});
    this->runFor(10ms);
    this->open("strict");
    CHECK_EQUAL(std::string("relayed"), this->write().digest);
}

TEST(EngineRelay, ADaemonThatDoesNotReachTheLeaderIsRecordedAndTheNextOneTried)
{
    this->relays.hasConnections = false;
    this->relays.codes = { { "d1", ReplyCode::Busy } };
    this->relays.daemonsWithoutLeader = { "d1" };
    this->open("strict");
    CHECK_EQUAL(std::string("relayed"), this->write().digest);
    CHECK(this->relays.sent == std::vector<std::string>({ "d1 WRITE a b", "d2 WRITE a b" }));
    CHECK(this->relays.reachability["d1"] == engine::LeaderReachability::Unreachable);
    CHECK(this->relays.reachability["d2"] == engine::LeaderReachability::Reachable);
}

TEST(EngineRelay, ARefusalByADaemonWithAFullQueueIsNotRetried)
{
    this->relays.hasConnections = false;
    this->relays.codes = { { "d1", ReplyCode::Busy } };
    this->open("strict");
    CHECK(this->write().code == ReplyCode::Busy);
    LONGS_EQUAL(1, this->relays.sent.size());
}

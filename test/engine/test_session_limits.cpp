#include "engine/session_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;
using engine::ReplyCode;
using engine::RequestKind;
using engine::fakes::FakeLimiter;
using engine::fakes::SessionFixture;

/// Limits of organisations.
TEST_GROUP_BASE(EngineSessionLimits, SessionFixture) {};

TEST(EngineSessionLimits, AnOperationBeyondTheLimitIsRefusedAsNotRunBeforeAnyQueue)
{
    FakeLimiter limiter;
    this->context->limiter = &limiter;
    this->useKeys(2, { { "k1", "a" } }, 30, false, catalog::OperationLimit { .perSecond = 5, .burst = 5 });
    this->open("strict", "k1");
    const auto reply = this->ask(RequestKind::Write, "WRITE i x", {}, {}, true);
    CHECK(reply.code == ReplyCode::Busy);
    CHECK(engine::impliesNotRun(reply.code));
    CHECK_TRUE(limiter.asked == std::vector<std::string> { "a" });
    for (const auto& command : this->links.upstreams["p"].sent)
        CHECK(command.find("WRITE") == std::string::npos);
}

TEST(EngineSessionLimits, ATransactionCountsAsOneOperation)
{
    FakeLimiter limiter;
    limiter.remaining = 1;
    this->context->limiter = &limiter;
    this->useKeys(2, { { "k1", "a" } }, 30, false, catalog::OperationLimit { .perSecond = 5, .burst = 5 });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Begin, "BEGIN").succeeded());
    CHECK_TRUE(this->ask(RequestKind::Write, "WRITE i x", {}, {}, true).succeeded());
    CHECK_TRUE(this->ask(RequestKind::Commit, "COMMIT").succeeded());
    LONGS_EQUAL(1, limiter.asked.size());
    CHECK(this->ask(RequestKind::Begin, "BEGIN").code == ReplyCode::Busy);
}

TEST(EngineSessionLimits, AStatementThatIsSentAgainCountsAgainOnlyIfItMayHaveRun)
{
    FakeLimiter limiter;
    limiter.remaining = 9;
    this->context->limiter = &limiter;
    this->useKeys(2, { { "k1", "a" } }, 30, false, catalog::OperationLimit { .perSecond = 5, .burst = 5 });
    this->open("strict", "k1");
    this->links.upstreams["p"].replies["READ busy"] = { { .code = ReplyCode::Busy }, { .digest = "d" } };
    CHECK_TRUE(this->ask(RequestKind::Read, "READ busy").succeeded());
    LONGS_EQUAL(1, limiter.asked.size());
    this->links.upstreams["p"].replies["READ lost"] = { { .lost = true }, { .digest = "d" } };
    CHECK_TRUE(this->ask(RequestKind::Read, "READ lost").succeeded());
    LONGS_EQUAL(3, limiter.asked.size());
}

TEST(EngineSessionLimits, WithoutALimitNothingIsAsked)
{
    FakeLimiter limiter;
    this->context->limiter = &limiter;
    this->useKeys(2, { { "k1", "a" } });
    this->open("strict", "k1");
    CHECK_TRUE(this->ask(RequestKind::Read, "READ i").succeeded());
    CHECK_TRUE(limiter.asked.empty());
}

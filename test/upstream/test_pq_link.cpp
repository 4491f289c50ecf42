#include "amaranthhall/upstream/pq_link.hpp"

#include "upstream/recording_sink.hpp"
#include "upstream/scripted_upstream.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace amaranthhall::upstream;
using namespace std::chrono_literals;

namespace {

constexpr auto testTimeout = 10s;

std::string join(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += (text.empty() ? "" : "|") + line;
    return text;
}

}

TEST_GROUP(PqLink)
{
    kernel::Loop loop;
    RecordingSink sink;
    std::string openError;
    std::unique_ptr<PqLink> link;

    void connect(const ScriptedUpstream& upstream)
    {
        this->link = std::make_unique<PqLink>(this->loop, LinkOptions { .address = upstream.address(), .database = "recoveries-db", .user = "amaranthhall", .tlsMode = "disable", .connectTimeout = testTimeout, .applicationName = "amaranthhall/vm-7" });
        this->link->open([this](const auto& error) {
            this->openError = error.sqlstate();
            this->loop.stop(); }, nullptr);
        this->runLoop();
    }

    void runLoop()
    {
        bool hasTimedOut = false;
        const auto limit = this->loop.after(testTimeout, [&] {
            hasTimedOut = true;
            this->loop.stop();
        });
        this->loop.run();
        CHECK(!hasTimedOut);
    }

    void stopAtEnd()
    {
        this->sink.whenEnded = [this](const auto&) { this->loop.stop(); };
    }

    std::string runBatch(const Batch& batch)
    {
        this->stopAtEnd();
        this->link->run(batch, this->sink);
        this->runLoop();
        return join(this->sink.lines);
    }
};

TEST(PqLink, AFailedCommitIsAnErrorOfTheLastQueryAndNoSuccess)
{
    const ScriptedUpstream upstream(this->loop, [](const auto& frame, auto& answer) {
        if (frame.type == 'E')
            ScriptedUpstream::complete(answer, "INSERT 0 1");
        if (frame.type != 'S')
            return;
        answer.addErrorFields('E', pgwire::makeError("ERROR", "23503", "a deferred constraint failed"));
        answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    });
    this->connect(upstream);
    STRCMP_EQUAL("completed 0 INSERT 0 1|error 1 23503|end whole sent I", this->runBatch({ .queries = { { .text = "INSERT 1" }, { .text = "INSERT 2" } } }).c_str());
}

TEST(PqLink, QueriesAfterAFailedOneAreNotReported)
{
    const ScriptedUpstream upstream(this->loop, [skipping = false](const auto& frame, auto& answer) mutable {
        if (frame.type == 'P' && !skipping) {
            skipping = true;
            answer.addErrorFields('E', pgwire::makeError("ERROR", "42601", "syntax error"));
        }
        if (frame.type == 'S')
            answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    });
    this->connect(upstream);
    STRCMP_EQUAL("error 0 42601|end whole sent I", this->runBatch({ .queries = { { .text = "wrong" }, { .text = "SELECT 1" } } }).c_str());
}

TEST(PqLink, TheStateOfTheTransactionIsKnownBehindAStatusQuery)
{
    auto state = pgwire::TransactionStatus::Idle;
    const ScriptedUpstream upstream(this->loop, [&state](const auto& frame, auto& answer) {
        if (frame.type == 'E')
            ScriptedUpstream::complete(answer, "SELECT 0");
        if (frame.type == 'S')
            answer.addReadyForQuery(state);
    });
    this->connect(upstream);
    const Batch batch { .queries = { { .text = "SELECT" } }, .withPosition = true };
    STRCMP_EQUAL("completed 0 SELECT 0|end whole sent I", this->runBatch(batch).c_str());
    this->sink.lines.clear();
    state = pgwire::TransactionStatus::Active;
    STRCMP_EQUAL("completed 0 SELECT 0|end whole sent T", this->runBatch(batch).c_str());
    this->sink.lines.clear();
    state = pgwire::TransactionStatus::Failed;
    STRCMP_EQUAL("completed 0 SELECT 0|end whole sent E", this->runBatch(batch).c_str());
}

TEST(PqLink, ANoticeAndAChangedParameterReachTheSink)
{
    const ScriptedUpstream upstream(this->loop, [](const auto& frame, auto& answer) {
        if (frame.type == 'E') {
            answer.addErrorFields('N', pgwire::makeError("NOTICE", "00000", "take care"));
            answer.addParameterStatus("TimeZone", "Pacific/Fiji");
            ScriptedUpstream::complete(answer, "SET");
        }
        if (frame.type == 'S')
            answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    });
    this->connect(upstream);
    CHECK(!this->link->holdsState());
    STRCMP_EQUAL("notice take care|completed 0 SET|parameter TimeZone Pacific/Fiji|end whole sent I", this->runBatch({ .queries = { { .text = "SET TimeZone = 'Pacific/Fiji'" } } }).c_str());
    CHECK(this->link->holdsState());
}

TEST(PqLink, DescribeTellsParametersAndColumns)
{
    const ScriptedUpstream upstream(this->loop, [](const auto& frame, auto& answer) {
        if (frame.type == 'D') {
            answer.begin('t');
            answer.addInt16(1);
            answer.addInt32(23);
            answer.end();
            const pgwire::Column column { .name = "ring" };
            answer.addRowDescription({ &column, 1 });
        }
        if (frame.type == 'S')
            answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    });
    this->connect(upstream);
    STRCMP_EQUAL("types 0 23|columns 0 ring|completed 0|end whole sent I", this->runBatch({ .queries = { { .kind = QueryKind::DescribePrepared, .statement = "s1" } } }).c_str());
}

TEST(PqLink, CopyInRunsOutsideThePipelineAndTheLinkServesOn)
{
    const ScriptedUpstream upstream(this->loop, [](const auto& frame, auto& answer) {
        if (frame.type == 'Q') {
            answer.begin('G');
            answer.addByte(0);
            answer.addInt16(1);
            answer.addInt16(0);
            answer.end();
        } else if (frame.type == 'c') {
            answer.addCommandComplete("COPY 2");
            answer.addReadyForQuery(pgwire::TransactionStatus::Active);
        } else if (frame.type == 'E') {
            ScriptedUpstream::complete(answer, "SELECT 0");
        } else if (frame.type == 'S') {
            answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
        }
    });
    this->connect(upstream);
    this->stopAtEnd();
    this->sink.whenCopyIn = [this] {
        CHECK(this->link->sendCopyData("1\n2\n"));
        this->link->endCopy(std::nullopt);
    };
    this->link->runCopy("COPY rings FROM STDIN", this->sink);
    this->runLoop();
    STRCMP_EQUAL("copyIn 0 1|completed 0 COPY 2|end whole sent T", join(this->sink.lines).c_str());
    this->sink.lines.clear();
    STRCMP_EQUAL("completed 0 SELECT 0|end whole sent I", this->runBatch({ .queries = { { .text = "SELECT" } } }).c_str());
}

TEST(PqLink, CopyOutGivesEachDataMessage)
{
    const ScriptedUpstream upstream(this->loop, [](const auto& frame, auto& answer) {
        if (frame.type != 'Q')
            return;
        answer.begin('H');
        answer.addByte(0);
        answer.addInt16(1);
        answer.addInt16(0);
        answer.end();
        answer.add('d', "1\n");
        answer.add('d', "2\n");
        answer.add('c', "");
        answer.addCommandComplete("COPY 2");
        answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    });
    this->connect(upstream);
    this->stopAtEnd();
    this->link->runCopy("COPY rings TO STDOUT", this->sink);
    this->runLoop();
    STRCMP_EQUAL("copyOut 0 1|data 0 1\n|data 0 2\n|completed 0 COPY 2|end whole sent I", join(this->sink.lines).c_str());
}

TEST(PqLink, CancelSendsTheKeyOfItsConnection)
{
    ScriptedUpstream upstream(this->loop, [](const auto&, auto&) {});
    this->connect(upstream);
    this->link->run({ .queries = { { .text = "SELECT slow" } } }, this->sink);
    this->link->cancel();
    const auto poll = this->loop.every(1ms, [&] {
        if (upstream.untyped().size() > 1)
            this->loop.stop();
    });
    this->runLoop();
    CHECK_EQUAL(2U, upstream.untyped().size());
    pgwire::FieldReader fields(upstream.untyped()[1]);
    CHECK_EQUAL(80877102, fields.int32().value_or(0));
    CHECK_EQUAL(ScriptedUpstream::processId, fields.int32().value_or(0));
    CHECK_EQUAL(ScriptedUpstream::secretKey, fields.int32().value_or(0));
    CHECK(upstream.untyped()[0].find("amaranthhall/vm-7") != std::string::npos);
}

TEST(PqLink, ARefusedConnectCarriesTheUpstreamsOwnSqlstate)
{
    ScriptedUpstream upstream(this->loop, [](const auto&, auto&) {});
    upstream.refuse(pgwire::makeError("FATAL", "53300", "sorry, too many clients already"));
    this->connect(upstream);
    STRCMP_EQUAL("53300", this->openError.c_str());
    CHECK(this->link->isBroken());
}

TEST(PqLink, AnAnswerThatCameWholeBeforeTheBreakCounts)
{

    ScriptedUpstream upstream(this->loop, [](const auto& frame, auto& answer) {
        if (frame.type == 'E')
            ScriptedUpstream::complete(answer, "UPDATE 1");
        if (frame.type != 'S')
            return;
        answer.addReadyForQuery(pgwire::TransactionStatus::Idle);
    });
    this->connect(upstream);
    STRCMP_EQUAL("completed 0 UPDATE 1|end whole sent I", this->runBatch({ .queries = { { .text = "UPDATE" } } }).c_str());
    this->sink.lines.clear();
    upstream.closeAll();
    STRCMP_EQUAL("end lost sent I", this->runBatch({ .queries = { { .text = "UPDATE" } } }).c_str());
    this->sink.lines.clear();
    STRCMP_EQUAL("end lost unsent I", this->runBatch({ .queries = { { .text = "UPDATE" } } }).c_str());
}

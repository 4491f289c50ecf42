#include "platform/line_codec.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <string>

using namespace amaranthhall;
using engine::ReplyCode;
using engine::RequestKind;
using engine::TransactionState;
using fleet::CallerMessage;
using fleet::UpstreamMessage;

namespace {

engine::Request statement(std::string_view text)
{
    return fleet::parseCallerLine("QUERY 5c0e " + std::string(text)).request;
}

std::string commandLine(const engine::Command& input)
{
    std::string out;
    fleet::appendCommand(out, input);
    return out;
}

}

TEST_GROUP(LineCodec) {};

TEST(LineCodec, AStartupNamesTheDatabase)
{
    const auto message = fleet::parseCallerLine("STARTUP lepu270 u3f1");
    CHECK(message.kind == CallerMessage::Kind::Startup);
    STRCMP_EQUAL("lepu270", message.database.c_str());
}

TEST(LineCodec, StatementsKeepIdAndText)
{
    const auto read = statement("READ 1a4");
    CHECK(read.kind == RequestKind::Read);
    CHECK_FALSE(read.writes);
    STRCMP_EQUAL("5c0e", read.id.c_str());
    STRCMP_EQUAL("READ 1a4", read.text.c_str());
    const auto write = statement("WRITE 1a4 some data with blanks");
    CHECK(write.kind == RequestKind::Write);
    CHECK_TRUE(write.writes);
    STRCMP_EQUAL("WRITE 1a4 some data with blanks", write.text.c_str());
}

TEST(LineCodec, TransactionStatementsAreDistinguished)
{
    CHECK(statement("BEGIN").kind == RequestKind::Begin);
    CHECK(statement("BEGIN READ").kind == RequestKind::BeginRead);
    CHECK(statement("COMMIT").kind == RequestKind::Commit);
    CHECK(statement("ROLLBACK").kind == RequestKind::Rollback);
    CHECK(statement("BEGIN WRITE").kind == RequestKind::Malformed);
}

TEST(LineCodec, SettingsAndPreparedStatementsAreParsed)
{
    const auto set = statement("SET search_path a b");
    CHECK(set.kind == RequestKind::Set);
    STRCMP_EQUAL("search_path", set.name.c_str());
    STRCMP_EQUAL("a b", set.value.c_str());
    const auto prepare = statement("PREPARE s1 WRITE q2c");
    CHECK(prepare.kind == RequestKind::Prepare);
    CHECK_TRUE(prepare.writes);
    STRCMP_EQUAL("q2c", prepare.value.c_str());
    const auto execute = statement("EXECUTE s1 1a4 xkq");
    CHECK(execute.kind == RequestKind::Execute);
    STRCMP_EQUAL("1a4 xkq", execute.value.c_str());
    CHECK(statement("PREPARE s1 DELETE q2c").kind == RequestKind::Malformed);
}

TEST(LineCodec, InvalidLinesAreMalformed)
{
    for (const auto* line : { "", " ", "QUERY", "QUERY ", "query 1 READ a", "STARTUP", "STARTUP ", "READY I -" })
        CHECK(fleet::parseCallerLine(line).kind == CallerMessage::Kind::Malformed);
    for (const auto* text : { "", "READ", "WRITE", "AFTER 3.1 READ a", "STATUS", "RESET" })
        CHECK(statement(text).kind == RequestKind::Malformed);
}

TEST(LineCodec, UpstreamMessagesAreParsed)
{
    const auto ready = fleet::parseUpstreamLine("READY T 3.1209");
    CHECK(ready.kind == UpstreamMessage::Kind::Ready);
    CHECK(ready.state == TransactionState::Open);
    CHECK(ready.point == group::LogPoint({ .term = 3, .position = 1209 }));
    CHECK_FALSE(fleet::parseUpstreamLine("READY I -").point.has_value());
    const auto error = fleet::parseUpstreamLine("ERROR READONLY i-7f3a91c2");
    CHECK(error.code == ReplyCode::ReadOnly);
    CHECK(error.text == "i-7f3a91c2");
    CHECK(fleet::parseUpstreamLine("ERROR NEWCODE x").code == ReplyCode::Other);
    CHECK(fleet::parseUpstreamLine("HELLO").kind == UpstreamMessage::Kind::Malformed);
}

TEST(LineCodec, IncompletePositionsAreRejected)
{
    for (const auto* text : { "", "-", "3", "3.", ".5", "3.x", "3.5.6", "3. 5", "99999999999999999999.1" })
        CHECK_FALSE(fleet::parsePoint(text).has_value());
}

TEST(LineCodec, CommandsCarryIdAndRequiredPosition)
{
    STRCMP_EQUAL("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n", commandLine({ .id = "5c0e", .text = "READ 1a4", .after = group::LogPoint { .term = 3, .position = 1207 } }).c_str());
    STRCMP_EQUAL("QUERY - BEGIN\r\n", commandLine({ .kind = engine::Command::Kind::Begin }).c_str());
    STRCMP_EQUAL("QUERY 5c0e EXECUTE w_q2c 1a4 xkq\r\n", commandLine({ .kind = engine::Command::Kind::Execute, .id = "5c0e", .name = "w_q2c", .value = "1a4 xkq" }).c_str());
    STRCMP_EQUAL("QUERY - PREPARE w_q2c WRITE q2c\r\n", commandLine({ .kind = engine::Command::Kind::PrepareWrite, .name = "w_q2c", .value = "q2c" }).c_str());
}

TEST(LineCodec, RepliesCarryRowsDigestAndState)
{
    std::string out;
    fleet::appendReply(out, { .rows = { "a", "b c" }, .digest = "7.1f3", .state = TransactionState::Open });
    STRCMP_EQUAL("DATAROW a\r\nDATAROW b c\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n", out.c_str());
    out.clear();
    fleet::appendReply(out, { .code = ReplyCode::InDoubt, .detail = "lost" });
    STRCMP_EQUAL("ERROR INDOUBT lost\r\nREADY I -\r\n", out.c_str());
}

TEST(LineCodec, StatusRowsAreRead)
{
    const auto status = fleet::parseStatus("replica 4 3.1209 0 12 2 17");
    LONGS_EQUAL(4, status->term);
    CHECK_TRUE(status.has_value());
    CHECK_FALSE(status->isPrimary);
    CHECK(status->received == group::LogPoint({ .term = 3, .position = 1209 }));
    for (const auto* row : { "", "primary", "primary 3", "primary 3 x", "witness 3 3.1 0 0 0 0" })
        CHECK_FALSE(fleet::parseStatus(row).has_value());
}

TEST(LineCodec, ArbitraryBytesAreParsedWithoutCrash)
{
    const bool holds = rc::check("any line is parsed to some message", [](const std::string& line) {
        static_cast<void>(fleet::parseCallerLine(line));
        static_cast<void>(fleet::parseCallerLine("QUERY " + line));
        static_cast<void>(fleet::parseUpstreamLine(line));
        static_cast<void>(fleet::parseUpstreamLine("READY " + line));
        static_cast<void>(fleet::parseStatus(line));
    });
    CHECK_TRUE(holds);
}

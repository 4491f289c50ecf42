#include "amaranthhall/relay/frame.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace amaranthhall;

TEST_GROUP(RelayFrame)
{
    relay::FrameReader reader;
};

TEST(RelayFrame, AStatementFrameRoundTrips)
{
    relay::StatementFrame sent { .stream = 9 };
    sent.request.request = { .id = "5c0e", .kind = engine::RequestKind::Execute, .text = "EXECUTE s 1", .name = "s", .value = "1", .writes = true };
    sent.request.route = { .database = "d", .service = "svc", .consistency = catalog::Consistency::ReadYourWrites, .priority = 2 };
    sent.request.settings = { { "a", "b" } };
    sent.request.prepared = engine::PreparedStatement { .writes = true, .shape = "q" };
    sent.request.lastCommit = group::LogPoint { .term = 2, .position = 5 };
    sent.request.timeLeft = std::chrono::milliseconds(700);
    sent.request.identity = { .organisation = "miny", .credential = hashing::digestOf("k"), .configurationVersion = 12 };
    std::string bytes;
    relay::appendFrame(bytes, sent);
    // Received byte by byte, as over a slow connection.
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        this->reader.append(bytes.substr(i, 1));
        CHECK_FALSE(this->reader.next().has_value());
    }
    this->reader.append(bytes.substr(bytes.size() - 1));
    const auto frame = this->reader.next();
    const auto* decoded = std::get_if<relay::StatementFrame>(&*frame);
    CHECK(decoded != nullptr);
    LONGS_EQUAL(9, decoded->stream);
    CHECK_EQUAL(sent.request.request.text, decoded->request.request.text);
    CHECK(decoded->request.route.consistency == catalog::Consistency::ReadYourWrites);
    CHECK(decoded->request.settings == sent.request.settings);
    CHECK_EQUAL(std::string("q"), decoded->request.prepared->shape);
    CHECK(decoded->request.lastCommit == sent.request.lastCommit);
    LONGS_EQUAL(700, decoded->request.timeLeft.count());
    CHECK_EQUAL(std::string("miny"), decoded->request.identity.organisation);
    CHECK(decoded->request.identity.credential == hashing::digestOf("k"));
    LONGS_EQUAL(12, decoded->request.identity.configurationVersion);
}

TEST(RelayFrame, AReplyKeepsRowsOfArbitraryBytes)
{
    relay::ReplyFrame sent { .stream = 3 };
    sent.reply.reply = { .rows = { "a", std::string("\xff\x00z", 3) }, .digest = "7.1", .state = engine::TransactionState::Open };
    std::string bytes;
    relay::appendFrame(bytes, sent);
    relay::appendFrame(bytes, relay::EndFrame { .stream = 3 });
    this->reader.append(bytes);
    const auto first = this->reader.next();
    const auto* decoded = std::get_if<relay::ReplyFrame>(&*first);
    CHECK(decoded != nullptr);
    CHECK(decoded->reply.reply.rows == sent.reply.reply.rows);
    CHECK(decoded->reply.reply.state == engine::TransactionState::Open);
    CHECK_TRUE(std::holds_alternative<relay::EndFrame>(*this->reader.next()));
}

namespace {

relay::StatementFrame makeRead(std::uint64_t stream, const std::string& organisation)
{
    relay::StatementFrame frame { .stream = stream };
    frame.request.request = { .id = "c0102-345-1", .kind = engine::RequestKind::Read, .text = "READ account/1" };
    frame.request.route = { .database = "ledger_app", .service = "ledger", .consistency = catalog::Consistency::ReadYourWrites, .statementTimeout = std::chrono::milliseconds(1200), .targetLatency = std::chrono::milliseconds(400), .maximumStaleness = std::chrono::milliseconds(2500), .priority = 2 };
    frame.request.identity = { .organisation = organisation, .credential = hashing::digestOf(organisation), .configurationVersion = 12 };
    frame.request.settings = { { "time_zone", "UTC" } };
    frame.request.lastCommit = group::LogPoint { .term = 2, .position = 5 };
    frame.request.timeLeft = std::chrono::milliseconds(700);
    return frame;
}

}

// Without contexts, route, settings and identity are two thirds of the bytes of a short statement.
TEST(RelayFrame, AContextIsSentOnceAndGivesTheSameStatement)
{
    relay::ContextSender contexts;
    std::string first;
    std::string second;
    std::string whole;
    relay::appendFrame(first, makeRead(1, "miny"), contexts);
    relay::appendFrame(second, makeRead(2, "miny"), contexts);
    relay::appendFrame(whole, makeRead(2, "miny"));
    CHECK(second.size() < whole.size() / 2);
    this->reader.append(first + second);
    CHECK_TRUE(this->reader.next().has_value());
    const auto decoded = std::get<relay::StatementFrame>(*this->reader.next());
    std::string again;
    relay::appendFrame(again, decoded);
    CHECK_EQUAL(whole, again);
}

// The tables of both ends must stay the same when numbers are used again, and bounded.
TEST(RelayFrame, NumbersOfContextsAreReused)
{
    relay::ContextSender contexts;
    for (std::uint64_t round = 0; round < 2; ++round) {
        for (std::uint64_t number = 0; number < relay::ContextSender::maximumContexts + 3; ++number) {
            std::string bytes;
            relay::appendFrame(bytes, makeRead(number, "org" + std::to_string(number)), contexts);
            this->reader.append(bytes);
            CHECK_EQUAL("org" + std::to_string(number), std::get<relay::StatementFrame>(*this->reader.next()).request.identity.organisation);
        }
    }
    std::string large;
    relay::appendFrame(large, makeRead(1, std::string(relay::ContextSender::maximumContextSize, 'o')), contexts);
    CHECK_EQUAL('s', large[4]);
}

TEST(RelayFrame, AnUnknownContextMakesTheReaderMalformed)
{
    relay::ContextSender contexts;
    std::string unused;
    std::string bytes;
    relay::appendFrame(unused, makeRead(1, "miny"), contexts);
    relay::appendFrame(bytes, makeRead(1, "miny"), contexts);
    this->reader.append(bytes);
    CHECK_FALSE(this->reader.next().has_value());
    CHECK_TRUE(this->reader.isMalformed());
}

TEST(RelayFrame, ArbitraryBytesAreDecodedWithoutCrash)
{
    const bool holds = rc::check("arbitrary bytes yield frames, an incomplete frame or a malformed reader", [](const std::string& bytes) {
        relay::FrameReader reader;
        reader.append(bytes);
        while (reader.next()) { }
        relay::FrameReader inContext;
        inContext.append(std::string("\0\0\0", 3) + static_cast<char>(bytes.size() % 200 + 1) + "c" + bytes);
        while (inContext.next()) { }
    });
    CHECK_TRUE(holds);
    this->reader.append("\xff\xff\xff\xff");
    CHECK_FALSE(this->reader.next().has_value());
    CHECK_TRUE(this->reader.isMalformed());
}

namespace {

/// Replaces the last occurrence of a one-byte number in a frame.
std::string withReplacedByte(std::string bytes, unsigned char from, unsigned char to)
{
    const auto position = bytes.rfind(static_cast<char>(from));
    CHECK(position != std::string::npos);
    bytes[position] = static_cast<char>(to);
    return bytes;
}

}

// An out-of-range enumerator from the wire would index past the end of lookup tables and crash the daemon.
TEST(RelayFrame, AnInvalidEnumeratorMakesTheReaderMalformed)
{
    relay::ReplyFrame answer { .stream = 3 };
    answer.reply.reply = { .code = engine::ReplyCode::TooLarge };
    std::string bytes;
    relay::appendFrame(bytes, answer);
    this->reader.append(withReplacedByte(bytes, static_cast<unsigned char>(engine::ReplyCode::TooLarge), 99));
    CHECK_FALSE(this->reader.next().has_value());
    CHECK_TRUE(this->reader.isMalformed());
    relay::StatementFrame statement { .stream = 9 };
    statement.request.request.kind = engine::RequestKind::Malformed;
    bytes.clear();
    relay::appendFrame(bytes, statement);
    relay::FrameReader second;
    second.append(withReplacedByte(bytes, static_cast<unsigned char>(engine::RequestKind::Malformed), 77));
    CHECK_FALSE(second.next().has_value());
    CHECK_TRUE(second.isMalformed());
}

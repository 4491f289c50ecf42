#include "amaranthhall/kernel/byte_stream.hpp"
#include "engine/session_fixture.hpp"
#include "platform/line_reader.hpp"
#include "platform/line_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// A caller's connection; records the lines that it receives, and when it ends.
class TestCaller {
public:
    TestCaller(kernel::Loop& loop, const kernel::Address& server)
        : stream(loop, kernel::connectTo(server), { .received = [this](auto bytes) { this->receive(bytes); }, .closed = [this] { this->isClosed = true; } })
    {
        this->send("STARTUP own u1");
    }

    void send(const std::string& line) { this->stream.write(line + "\r\n"); }
    void pauseReading() { this->stream.pauseReading(); }
    void resumeReading() { this->stream.resumeReading(); }

    /// Returns the number of bytes that the connection has not taken.
    [[nodiscard]] std::size_t unsent() const noexcept { return this->stream.buffered(); }

    std::vector<std::string> lines;
    std::function<void()> onReady { [] {} }; ///< Called for each READY line.
    bool isClosed { false };

private:
    void receive(std::string_view bytes)
    {
        this->reader.append(bytes);
        while (const auto line = this->reader.next()) {
            this->lines.emplace_back(*line);
            if (line->starts_with("READY"))
                this->onReady();
        }
    }

    fleet::LineReader reader;
    kernel::ByteStream stream;
};

}

TEST_GROUP_BASE(LineServer, engine::fakes::SessionFixture)
{
    std::unique_ptr<fleet::LineServer> server;
    std::unique_ptr<TestCaller> caller;

    void setup() override
    {
        engine::fakes::SessionFixture::setup();
        this->server = std::make_unique<fleet::LineServer>(this->loop, kernel::Address { .host = "127.0.0.1" }, *this->context);
        this->caller = std::make_unique<TestCaller>(this->loop, kernel::Address { .host = "127.0.0.1", .port = this->server->port() });
        this->runWhile([this] { return this->caller->lines.empty(); });
    }

    /// Sends the next request as soon as the reply to the last one has arrived; returns the number of requests sent.
    std::shared_ptr<int> useSteadily()
    {
        auto sent = std::make_shared<int>(0);
        this->caller->onReady = [this, sent] { this->caller->send("QUERY q" + std::to_string(++*sent) + " WRITE a b"); };
        this->caller->onReady();
        return sent;
    }

    /// Lets the upstream go silent once this daemon knows that it leads.
    void silenceUpstream()
    {
        this->caller->send("QUERY q0 WRITE a 0");
        this->runWhile([this] { return this->countReceived("COMPLETE") == 0; });
        this->links.upstreams["p"].isSilent = true;
    }

    [[nodiscard]] long countReceived(std::string_view start) const
    {
        return std::count_if(this->caller->lines.begin(), this->caller->lines.end(), [start](const auto& line) { return line.starts_with(start); });
    }
};

// Failure: only sessions that were found idle were closed, so one in steady use lost its last request when the process ended.
TEST(LineServer, ASessionInSteadyUseIsClosedWithAReply)
{
    const auto sent = this->useSteadily();
    this->runFor(50ms);
    CHECK_FALSE(this->caller->isClosed);
    this->server->closeAfterReplies();
    this->runWhile([this] { return !this->caller->isClosed; });
    CHECK_TRUE(this->caller->isClosed);
    LONGS_EQUAL(0, this->server->sessions());
    // What the caller sends after the last reply is not read, so it has not run.
    const auto& received = this->links.upstreams["p"].sent;
    LONGS_EQUAL(this->countReceived("COMPLETE"), std::count_if(received.begin(), received.end(), [](const auto& text) { return text.find("WRITE") != std::string::npos; }));
    CHECK(*sent - this->countReceived("COMPLETE") <= 1);
}

TEST(LineServer, RequestsThatWereSentTogetherAreAllAnsweredBeforeTheClose)
{
    this->server->closeAfterReplies();
    this->caller->send("QUERY q1 WRITE a b\r\nQUERY q2 SET x 1\r\nQUERY q3 READ a");
    this->runWhile([this] { return !this->caller->isClosed; });
    LONGS_EQUAL(3, this->countReceived("COMPLETE"));
    LONGS_EQUAL(0, this->server->sessions());
}

TEST(LineServer, ATransactionMayEndBeforeItsSessionIsClosed)
{
    this->caller->send("QUERY q1 BEGIN");
    this->runWhile([this] { return this->countReceived("READY T") == 0; });
    this->server->closeAfterReplies();
    this->caller->send("QUERY q2 WRITE a b");
    this->runFor(20ms);
    CHECK_FALSE(this->caller->isClosed);
    this->caller->send("QUERY q3 COMMIT");
    this->runWhile([this] { return !this->caller->isClosed; });
    LONGS_EQUAL(3, this->countReceived("COMPLETE"));
    LONGS_EQUAL(0, this->server->sessions());
}

// Failure: as above, where the upstream is still at work when the process has to end.
TEST(LineServer, ARequestInProgressAtTheEndIsAnswered)
{
    this->silenceUpstream();
    this->caller->send("QUERY q1 WRITE a b");
    this->runFor(20ms);
    this->server->abandonRequests();
    this->runWhile([this] { return !this->caller->isClosed; });
    LONGS_EQUAL(1, this->countReceived("ERROR INDOUBT"));
    LONGS_EQUAL(0, this->server->sessions());
}

TEST(LineServer, RequestsBehindAnAbandonedOneAreRefusedAsNotRun)
{
    this->silenceUpstream();
    this->caller->send("QUERY q1 WRITE a b\r\nQUERY q2 WRITE a c");
    this->runFor(20ms);
    this->server->abandonRequests();
    this->runWhile([this] { return !this->caller->isClosed; });
    LONGS_EQUAL(1, this->countReceived("ERROR INDOUBT"));
    LONGS_EQUAL(1, this->countReceived("ERROR BUSY"));
    CHECK_FALSE(this->wasSent("p", "WRITE a c"));
}

TEST(LineServer, ACallerThatComesAtTheEndIsRefused)
{
    this->server->abandonRequests();
    TestCaller late(this->loop, { .host = "127.0.0.1", .port = this->server->port() });
    this->runWhile([&late] { return !late.isClosed; });
    LONGS_EQUAL(1, late.lines.size());
    CHECK_TRUE(late.lines.front().starts_with("ERROR BUSY"));
}

// Failure: what a caller sent while a request was in progress was kept without a limit.
TEST(LineServer, ACallerThatDoesNotWaitForRepliesIsReadOnlyAsFastAsItIsServed)
{
    this->silenceUpstream();
    const std::string request = "QUERY q READ " + std::string(1000, 'x');
    constexpr std::size_t count = 40'000;
    this->caller->send("QUERY q1 WRITE a b");
    for (std::size_t i = 0; i < count; ++i)
        this->caller->send(request);
    this->runFor(100ms);
    // Most of the 40 MB are still with the caller, beside what the two ends of the connection hold.
    CHECK(this->caller->unsent() > count * request.size() / 2);
}

// Failure: as above, for replies that their caller does not read.
TEST(LineServer, ACallerThatDoesNotReadItsRepliesIsNotServedOn)
{
    this->caller->pauseReading();
    constexpr std::size_t count = 800'000;
    const std::string request = "QUERY q SET a " + std::string(46, 'x');
    for (std::size_t i = 0; i < count; ++i)
        this->caller->send(request);
    this->runFor(2s);
    CHECK(this->caller->unsent() > 0);
    this->caller->resumeReading();
    this->runWhile([this] { return this->countReceived("COMPLETE") < static_cast<long>(count); }, 20s);
    LONGS_EQUAL(count, this->countReceived("COMPLETE"));
}

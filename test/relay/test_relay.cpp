#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/engine/session.hpp"
#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/kernel/socket.hpp"
#include "amaranthhall/relay/frame.hpp"
#include "amaranthhall/relay/relay_client.hpp"
#include "amaranthhall/relay/relay_server.hpp"
#include "engine/fake_links.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(Relay)
{
    kernel::Loop loop;
    catalog::Catalog known;
    engine::fakes::FakeLinkFactory links { this->loop };
    engine::Dispatcher dispatcher { this->loop, this->links, this->known, { .zone = "z", .sharers = [](auto) { return std::optional<std::size_t>(1); } } };
    telemetry::Metrics metrics;
    engine::RequestLog log { this->metrics };
    engine::SessionContext context { .loop = this->loop, .catalog = this->known, .dispatcher = this->dispatcher, .log = this->log, .budget = {} };
    relay::RelayServer server { this->loop, { .host = "127.0.0.1" }, this->context };
    const kernel::Address address { .host = "127.0.0.1", .port = this->server.port() };
    relay::RelayClient client { this->loop };

    void setup() override
    {
        this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 30 } } } });
        this->known.put({ .id = "p", .service = "s", .role = catalog::Role::Primary, .slots = 2 }, { .number = 1 }, this->loop.now());
        this->dispatcher.onCatalogChanged();
    }

    [[nodiscard]] static engine::RelayedRequest makeWrite()
    {
        return {
            .request = { .id = "q", .kind = engine::RequestKind::Write, .text = "WRITE a b", .writes = true },
            .route = { .database = "d", .service = "s", .statementTimeout = 600ms, .targetLatency = 600ms },
            .timeLeft = 600ms,
        };
    }

    /// Opens a transaction on a stream.
    void begin(engine::RelayStream & stream)
    {
        auto relayed = makeWrite();
        relayed.request = { .id = "q", .kind = engine::RequestKind::Begin, .text = "BEGIN" };
        bool isOpen = false;
        stream.send(relayed, [&](const engine::RelayedReply& reply) { isOpen = reply.reply.state == engine::TransactionState::Open; });
        this->runFor(100ms);
        CHECK_TRUE(isOpen);
    }

    void runFor(Duration span)
    {
        const auto end = this->loop.after(span, [this] { this->loop.stop(); });
        this->loop.run();
    }
};

// Statements wait at a home whose upstream is slow or overloaded; the home itself must not look stalled.
TEST(Relay, KeepalivesPreventSilenceWhileAStatementIsRunning)
{
    this->links.upstreams["p"].isSilent = true;
    const auto stream = this->client.open("home", this->address);
    Duration longest { 0 };
    bool isAnswered = false;
    const auto poll = this->loop.every(5ms, [&] { longest = std::max(longest, stream->silence(this->loop.now())); });
    stream->send(makeWrite(), [&](const auto&) { isAnswered = true; });
    this->runFor(400ms);
    CHECK_FALSE(isAnswered);
    CHECK(longest < 150ms);
}

TEST(Relay, AnOpenTransactionCountsAsLoadOfItsHome)
{
    auto stream = this->client.open("home", this->address);
    LONGS_EQUAL(0, this->client.outstanding("home"));
    this->begin(*stream);
    LONGS_EQUAL(1, this->client.outstanding("home"));
    stream.reset();
    LONGS_EQUAL(0, this->client.outstanding("home"));
}

// Homes behind a network partition: using a caller's statement as the probe would delay that statement for nothing.
TEST(Relay, AFailedConnectionIsRetriedWithoutAStatement)
{
    auto listener = kernel::listenOn({ .host = "127.0.0.1" });
    const kernel::Address unreachable { .host = "127.0.0.1", .port = kernel::boundPort(listener) };
    listener.close();
    bool isLost = false;
    auto stream = this->client.open("home", unreachable);
    stream->send(makeWrite(), [&](const engine::RelayedReply& reply) { isLost = reply.reply.lost; });
    this->runFor(1300ms);
    CHECK_TRUE(isLost);
    CHECK_TRUE(this->client.isAvoided("home", this->loop.now()));
    const auto restored = kernel::listenOn(unreachable);
    this->runFor(1300ms);
    CHECK_FALSE(this->client.isAvoided("home", this->loop.now()));
}

// The home is paused or cut off by the network after the connection was established.
TEST(Relay, AStalledHomeIsReconnected)
{
    const auto listener = kernel::listenOn({ .host = "127.0.0.1" });
    auto stream = this->client.open("home", { .host = "127.0.0.1", .port = kernel::boundPort(listener) });
    stream->send(makeWrite(), [](const auto&) {});
    this->runFor(20ms);
    const auto first = kernel::acceptFrom(listener);
    stream->noteStall();
    stream.reset();
    CHECK_TRUE(this->client.isAvoided("home", this->loop.now()));
    this->runFor(500ms);
    CHECK_TRUE(static_cast<bool>(kernel::acceptFrom(listener)));
    // The connection is open, but no data has arrived: the home is still avoided, for longer with each consecutive stall.
    CHECK_TRUE(this->client.isAvoided("home", this->loop.now()));
    this->runFor(600ms);
    CHECK_FALSE(this->client.isAvoided("home", this->loop.now()));
}

// Regression: the connection to a home breaks while a transaction is idle there. On a new connection, the next statement of the
// transaction would run outside of it.
TEST(Relay, AStatementIsNotRunAfterItsTransactionWasLostWithTheConnection)
{
    auto home = std::make_unique<relay::RelayServer>(this->loop, kernel::Address { .host = "127.0.0.1" }, this->context);
    const kernel::Address homeAddress { .host = "127.0.0.1", .port = home->port() };
    auto stream = this->client.open("other", homeAddress);
    this->begin(*stream);
    home = nullptr;
    this->runFor(20ms);
    home = std::make_unique<relay::RelayServer>(this->loop, homeAddress, this->context);
    this->runFor(500ms);
    bool isLost = false;
    stream->send(makeWrite(), [&](const engine::RelayedReply& reply) { isLost = reply.reply.lost; });
    this->runFor(100ms);
    CHECK_TRUE(isLost);
    const auto& sent = this->links.upstreams["p"].sent;
    CHECK(std::find(sent.begin(), sent.end(), "q WRITE a b") == sent.end());
}

// Closing the connection to a stalled home would lose a transaction that is idle there.
TEST(Relay, AConnectionWithAnIdleTransactionIsKept)
{
    const auto listener = kernel::listenOn({ .host = "127.0.0.1" });
    const kernel::Address homeAddress { .host = "127.0.0.1", .port = kernel::boundPort(listener) };
    const auto idle = this->client.open("home", homeAddress);
    idle->send(makeWrite(), [](const auto&) {});
    auto other = this->client.open("home", homeAddress);
    other->send(makeWrite(), [](const auto&) {});
    this->runFor(20ms);
    const auto first = kernel::acceptFrom(listener);
    other->noteStall();
    other.reset();
    this->runFor(500ms);
    CHECK_FALSE(static_cast<bool>(kernel::acceptFrom(listener)));
}

// Failure: a daemon that was stopped ended while it ran a statement for another one, which learned of it by the lost connection only.
TEST(Relay, AStatementInProgressAtTheEndIsAnswered)
{
    auto stream = this->client.open("home", this->address);
    this->begin(*stream);
    this->links.upstreams["p"].isSilent = true;
    stream = this->client.open("home", this->address);
    std::optional<engine::Reply> reply;
    stream->send(makeWrite(), [&](const engine::RelayedReply& relayed) { reply = relayed.reply; });
    this->runFor(50ms);
    this->server.abandonRequests();
    this->runFor(50ms);
    CHECK_TRUE(reply.has_value());
    CHECK(reply->code == engine::ReplyCode::InDoubt);
    LONGS_EQUAL(0, this->server.streamCount());
}

TEST(Relay, AnIdleTransactionIsRolledBackAtAStop)
{
    auto stream = this->client.open("home", this->address);
    this->begin(*stream);
    this->server.abortTransactions();
    std::optional<engine::Reply> reply;
    auto relayed = makeWrite();
    relayed.request = { .id = "q", .kind = engine::RequestKind::Commit, .text = "COMMIT" };
    stream->send(relayed, [&](const engine::RelayedReply& answer) { reply = answer.reply; });
    this->runFor(50ms);
    CHECK_TRUE(reply.has_value());
    CHECK(reply->code == engine::ReplyCode::Aborted);
    LONGS_EQUAL(0, this->server.streamCount());
}

// A daemon of an earlier build closes the connection at a frame that it does not know, which loses the statements on it.
TEST(Relay, ContextsAreOnlySentToADaemonThatReadsThem)
{
    for (const bool readsContexts : { false, true }) {
        auto listener = kernel::listenOn({ .host = "127.0.0.1" });
        relay::RelayClient sender { this->loop };
        const auto stream = sender.open("other", { .host = "127.0.0.1", .port = kernel::boundPort(listener) });
        std::string types;
        std::string received;
        std::unique_ptr<kernel::ByteStream> accepted;
        const auto watch = this->loop.watch(listener.descriptor(), { .readable = true }, [&](auto) {
            accepted = std::make_unique<kernel::ByteStream>(this->loop, kernel::acceptFrom(listener), kernel::ByteStream::Callbacks { .received = [&](auto bytes) { received += bytes; }, .closed = [] {} });
            std::string hello;
            relay::appendFrame(hello, relay::KeepaliveFrame { .contextVersion = readsContexts ? relay::currentContextVersion : 0 });
            accepted->write(hello);
        });
        for (int statement = 0; statement < 2; ++statement) {
            received.clear();
            stream->send(makeWrite(), [](const auto&) {});
            this->runFor(30ms);
            types += received.at(4);
        }
        CHECK_EQUAL(std::string(readsContexts ? "sc" : "ss"), types);
    }
}

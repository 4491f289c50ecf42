#include "amaranthhall/standin/fault_proxy.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 5s;

/// An echo server behind a fault proxy, and a client before it, on one loop.
struct Fixture {
    kernel::Loop loop;
    standin::FaultProxy proxy { loop, { .listen = { .host = "127.0.0.1" }, .seed = 7 } };
    kernel::Socket listener { kernel::listenOn({ .host = "127.0.0.1" }) };
    kernel::Registration watch;
    std::unique_ptr<kernel::ByteStream> echo;
    std::unique_ptr<kernel::ByteStream> client;
    std::string received;
    bool isClosed { false };

    Fixture()
    {
        this->watch = this->loop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) {
            this->echo = std::make_unique<kernel::ByteStream>(this->loop, kernel::acceptFrom(this->listener),
                kernel::ByteStream::Callbacks { .received = [this](auto bytes) { this->echo->write(bytes); }, .closed = [] {} });
        });
        const auto port = this->proxy.addRoute("echo", { .host = "127.0.0.1", .port = kernel::boundPort(this->listener) });
        this->client = std::make_unique<kernel::ByteStream>(this->loop, kernel::connectTo({ .host = "127.0.0.1", .port = port }),
            kernel::ByteStream::Callbacks { .received = [this](auto bytes) { this->received.append(bytes); }, .closed = [this] { this->isClosed = true; } });
    }

    template <typename Condition>
    bool runUntil(Condition condition, Duration limit = patience)
    {
        bool isLate = false;
        const auto check = this->loop.every(1ms, [&] {
            if (condition())
                this->loop.stop();
        });
        const auto end = this->loop.after(limit, [&] {
            isLate = true;
            this->loop.stop();
        });
        this->loop.run();
        return !isLate;
    }
};

}

TEST_GROUP(FaultProxy) {};

TEST(FaultProxy, PassesBytesThrough)
{
    Fixture fixture;
    fixture.client->write("hello");
    CHECK(fixture.runUntil([&] { return fixture.received == "hello"; }));
}

TEST(FaultProxy, HoldsBytesUntilTheyAreReleased)
{
    Fixture fixture;
    fixture.proxy.addRule({ .route = "echo", .toSource = { .hold = true } });
    fixture.client->write("hello");
    CHECK(!fixture.runUntil([&] { return !fixture.received.empty(); }, 100ms));
    fixture.proxy.clearRules();
    CHECK(fixture.runUntil([&] { return fixture.received == "hello"; }));
}

TEST(FaultProxy, CutsInTheMiddleOfAnAnswer)
{
    Fixture fixture;
    fixture.proxy.addRule({ .route = "echo", .toSource = { .cutAfter = 3 } });
    fixture.client->write("hello");
    CHECK(fixture.runUntil([&] { return fixture.isClosed; }));
    CHECK(fixture.received == "hel" || fixture.received.empty());
}

TEST(FaultProxy, AppliesARuleOnlyToConnectionsThatMatch)
{
    Fixture fixture;
    fixture.proxy.addRule({ .route = "echo", .match = "vm-2", .cut = true });
    fixture.client->write("vm-1");
    CHECK(fixture.runUntil([&] { return fixture.received == "vm-1"; }));
    fixture.proxy.addRule({ .route = "echo", .match = "vm-1", .cut = true });
    CHECK(fixture.runUntil([&] { return fixture.isClosed; }));
}

TEST(FaultProxy, RulesKeepTheirMeaningAsJson)
{
    const standin::FaultRule rule { .route = "a", .match = "b", .cut = true, .toTarget = { .delay = 5ms, .jitter = 6ms, .hold = true }, .toSource = { .drop = true, .cutAfter = 9 } };
    const auto read = standin::decodeRule(standin::encodeRule(rule));
    CHECK(read.has_value());
    CHECK(standin::encodeRule(*read) == standin::encodeRule(rule));
    CHECK(!standin::decodeRule("{").has_value());
}

TEST(FaultProxy, ACutNetworkTakesNoConnectionToTheTarget)
{
    Fixture fixture;
    fixture.proxy.addRule({ .route = "echo", .toTarget = { .hold = true } });
    fixture.client->write("hello");
    CHECK(!fixture.runUntil([&] { return fixture.echo != nullptr; }, 100ms));
    fixture.proxy.clearRules();
    CHECK(fixture.runUntil([&] { return fixture.received == "hello"; }));
}

#include "amaranthhall/peer/http_peer_network.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr auto testTimeout = 10s;

/// Peer network of one daemon; several nodes share an event loop.
struct Node {
    Node(kernel::Loop& loop, std::string vm, std::vector<std::string> keys)
    {
        this->registry.add(std::make_unique<telemetry::Metrics>());
        this->network = &this->registry.add(std::make_unique<peer::HttpPeerNetwork>(loop, this->registry,
            peer::PeerOptions { .vm = std::move(vm), .listen = { .host = "127.0.0.1" }, .keys = std::move(keys), .maximumMessageSize = 4096, .maximumCallsInFlight = 8 }));
        this->network->serve("echo", [](const peer::Json& parameters, const peer::PeerNetwork::Reply& reply) { reply(parameters); });
        this->network->serve("fail", [](const peer::Json&, const peer::PeerNetwork::Reply& reply) { reply(tl::unexpected(peer::PeerError { .message = "no" })); });
        this->network->serve("silence", [](const peer::Json&, const peer::PeerNetwork::Reply&) {});
        this->registry.start();
    }
    ~Node() { this->registry.stop(); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    [[nodiscard]] std::string metrics() const { return this->registry.find<telemetry::Metrics>("metrics").serialize(); }

    kernel::Registry registry;
    peer::HttpPeerNetwork* network { nullptr };
};

}

TEST_GROUP(HttpPeerNetwork)
{
    kernel::Loop loop;
    Node firstNode { this->loop, "vm-1", { "the first key of 32 bytes", "the other key of 32 bytes" } };
    Node secondNode { this->loop, "vm-2", { "the other key of 32 bytes", "the first key of 32 bytes" } };

    peer::PeerResult call(Node & from, const kernel::Address& to, std::string_view method, const peer::Json& parameters, Duration timeout = testTimeout)
    {
        std::optional<peer::PeerResult> received;
        from.network->call(to, method, parameters, timeout, [&](const peer::PeerResult& result) {
            received = result;
            this->loop.stop();
        });
        CHECK(!received);
        this->loop.run();
        return *received;
    }

    int post(const kernel::Address& to, const std::string& body, const std::vector<http::Header>& headers)
    {
        http::Client client(this->loop);
        int status = 0;
        client.send(to, { .method = "POST", .path = "/rpc", .headers = headers, .body = body }, testTimeout, [&](const http::HttpResult& result) {
            status = result ? result->status : -1;
            this->loop.stop();
        });
        this->loop.run();
        return status;
    }

    static std::vector<http::Header> authenticationHeaders(const kernel::Address& to, const std::string& body, peer::WallTime sent)
    {
        peer::MessageAuthentication authentication { .sender = "vm-1", .recipient = kernel::formatAddress(to), .nonce = peer::makeNonce(), .sent = sent };
        authentication.signature = peer::signCall("the first key of 32 bytes", authentication, body);
        return { { "x-ah-from", authentication.sender }, { "x-ah-to", authentication.recipient }, { "x-ah-nonce", authentication.nonce }, { "x-ah-sent", std::to_string(sent.count()) }, { "x-ah-proof", authentication.signature } };
    }

    static peer::WallTime wallClock()
    {
        return std::chrono::duration_cast<peer::WallTime>(std::chrono::system_clock::now().time_since_epoch());
    }
};

TEST(HttpPeerNetwork, CarriesCallsWhileAKeyIsRotated)
{
    const peer::Json parameters { { "version", 7 }, { "zone", "ba" } };
    const auto result = this->call(this->firstNode, this->secondNode.network->listenAddress(), "echo", parameters);
    CHECK(result.has_value());
    CHECK(*result == parameters);
    CHECK(this->secondNode.metrics().find("amaranthhall_peer_served_total{method=\"echo\"} 1") != std::string::npos);
}

TEST(HttpPeerNetwork, ReportsEachErrorWithItsCode)
{
    const auto to = this->secondNode.network->listenAddress();
    this->firstNode.network->addOwnAddress(to);
    const auto own = this->firstNode.network->listenAddress();
    CHECK(this->call(this->firstNode, own, "fail", {}).error().code == peer::PeerErrorCode::Failed);
    CHECK(this->call(this->firstNode, own, "fail", {}).error().message == "no");
    CHECK(this->call(this->firstNode, own, "no.such", {}).error().code == peer::PeerErrorCode::UnknownMethod);
    CHECK(this->call(this->firstNode, own, "silence", {}, 50ms).error().code == peer::PeerErrorCode::Timeout);
    CHECK(this->call(this->firstNode, own, "echo", { { "text", std::string(5000, 'x') } }).error().code == peer::PeerErrorCode::Refused);
    CHECK(this->call(this->firstNode, { "127.0.0.1", 1 }, "echo", {}).error().code == peer::PeerErrorCode::Unreachable);
}

TEST(HttpPeerNetwork, RejectsAndCountsAForgedMessage)
{
    Node unknownNode(this->loop, "vm-3", { "a key that nobody else has" });
    CHECK(this->call(unknownNode, this->firstNode.network->listenAddress(), "echo", {}).error().code == peer::PeerErrorCode::Refused);
    CHECK(this->firstNode.metrics().find("refused_total{reason=\"forged\"} 1") != std::string::npos);
}

TEST(HttpPeerNetwork, RejectsAndCountsAReplayedMessage)
{
    const auto to = this->firstNode.network->listenAddress();
    const auto body = peer::encodeCall("echo", "{}");
    const auto headers = authenticationHeaders(to, body, wallClock());
    CHECK_EQUAL(200, this->post(to, body, headers));
    CHECK_EQUAL(403, this->post(to, body, headers));
    CHECK(this->firstNode.metrics().find("refused_total{reason=\"replayed\"} 1") != std::string::npos);
    CHECK_EQUAL(403, this->post(this->secondNode.network->listenAddress(), body, headers));
    CHECK(this->secondNode.metrics().find("refused_total{reason=\"forged\"} 1") != std::string::npos);
}

TEST(HttpPeerNetwork, RejectsAndCountsAStaleMessage)
{
    const auto to = this->firstNode.network->listenAddress();
    const auto body = peer::encodeCall("echo", "{}");
    CHECK_EQUAL(403, this->post(to, body, authenticationHeaders(to, body, wallClock() - 60s)));
    CHECK(this->firstNode.metrics().find("refused_total{reason=\"stale\"} 1") != std::string::npos);
}

TEST(HttpPeerNetwork, RejectsAndCountsAnOversizedMessage)
{
    const auto to = this->firstNode.network->listenAddress();
    const std::string body(5000, 'x');
    CHECK_EQUAL(413, this->post(to, body, authenticationHeaders(to, body, wallClock())));
    CHECK(this->firstNode.metrics().find("refused_total{reason=\"oversized\"} 1") != std::string::npos);
}

TEST(HttpPeerNetwork, LimitsTheCallsInFlight)
{
    int rejected = 0;
    int completed = 0;
    for (int i = 0; i < 10; ++i) {
        this->firstNode.network->call(this->secondNode.network->listenAddress(), "silence", {}, 200ms, [&](const peer::PeerResult& result) {
            rejected += result.error().code == peer::PeerErrorCode::Unreachable ? 1 : 0;
            if (++completed == 10)
                this->loop.stop();
        });
    }
    this->loop.run();
    CHECK_EQUAL(2, rejected);
}

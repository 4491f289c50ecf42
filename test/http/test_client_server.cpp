#include "amaranthhall/http/client.hpp"
#include "amaranthhall/http/server.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr auto responseTimeout = 5s;

struct Fixture {
    kernel::Loop loop;
    http::Server server { loop, { .listen = { .host = "127.0.0.1" }, .maximumBodySize = 1024 } };
    http::Client client { loop };

    kernel::Address address() const { return { .host = "127.0.0.1", .port = this->server.port() }; }

    http::HttpResult fetch(const http::Request& request, Duration timeout = responseTimeout)
    {
        std::optional<http::HttpResult> result;
        this->client.send(this->address(), request, timeout, [&](auto outcome) {
            result = std::move(outcome);
            this->loop.stop();
        });
        this->loop.run();
        return *result;
    }
};

}

TEST_GROUP(HttpClientServer) {};

TEST(HttpClientServer, CarriesMethodQueryHeadersAndBody)
{
    Fixture fixture;
    fixture.server.route("/echo", [](const auto& request, const auto& reply) {
        reply({ .status = 201, .headers = { { "X-Seen", request.method } }, .body = http::findQueryParameter(request.query, "key") + "|" + request.body + "|" + std::string(http::findHeader(request.headers, "if-match")) });
    });
    for (int i = 0; i < 3; ++i) {
        const auto response = fixture.fetch({ .method = "PUT", .path = "/echo", .query = "key=" + http::encodeQueryValue("a b&c"), .headers = { { "If-Match", "tag" } }, .body = "text" });
        CHECK(response.has_value());
        CHECK_EQUAL(201, response->status);
        CHECK(response->body == "a b&c|text|tag");
        CHECK(http::findHeader(response->headers, "x-seen") == "PUT");
    }
}

TEST(HttpClientServer, AResponseMayBeSentLater)
{
    Fixture fixture;
    kernel::Registration timer;
    fixture.server.route("/later", [&](const auto&, const auto& reply) {
        timer = fixture.loop.after(20ms, [reply] { reply({ .body = "late" }); });
    });
    for (int i = 0; i < 3; ++i)
        CHECK(fixture.fetch({ .path = "/later" })->body == "late");
}

TEST(HttpClientServer, ATimeoutIsReportedAndALateResponseIsDropped)
{
    Fixture fixture;
    http::Reply savedReply;
    fixture.server.route("/never", [&](const auto&, const auto& reply) { savedReply = reply; });
    fixture.server.route("/now", [&](const auto&, const auto& reply) { reply({ .body = "now" }); });
    CHECK(fixture.fetch({ .path = "/never" }, 50ms).error() == http::HttpError::Timeout);
    CHECK(fixture.fetch({ .path = "/now" })->body == "now");
    savedReply({ .body = "too late" });
    CHECK(fixture.fetch({ .path = "/now" })->body == "now");
}

TEST(HttpClientServer, AClosedPortIsUnreachable)
{
    Fixture fixture;
    kernel::Loop& loop = fixture.loop;
    std::optional<http::HttpResult> result;
    fixture.client.send({ .host = "127.0.0.1", .port = 1 }, {}, responseTimeout, [&](auto outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    CHECK(result->error() == http::HttpError::Unreachable);
}

TEST(HttpClientServer, RejectsABodyOverTheLimit)
{
    Fixture fixture;
    fixture.server.route("/", [](const auto&, const auto& reply) { reply({}); });
    const auto response = fixture.fetch({ .method = "POST", .path = "/", .body = std::string(4096, 'x') });
    CHECK(!response.has_value() || response->status == 413);
    CHECK_EQUAL(200, fixture.fetch({ .path = "/" })->status);
}

TEST(HttpClientServer, TheLongestPrefixServesAPath)
{
    Fixture fixture;
    fixture.server.route("/v1/", [](const auto&, const auto& reply) { reply({ .body = "short" }); });
    fixture.server.route("/v1/objects/", [](const auto&, const auto& reply) { reply({ .body = "long" }); });
    CHECK(fixture.fetch({ .path = "/v1/objects/table" })->body == "long");
    CHECK(fixture.fetch({ .path = "/v1/rows" })->body == "short");
    CHECK_EQUAL(404, fixture.fetch({ .path = "/v2" })->status);
}

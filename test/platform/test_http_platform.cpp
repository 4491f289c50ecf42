#include "amaranthhall/platform/backoff.hpp"
#include "amaranthhall/platform/http_platform.hpp"
#include "amaranthhall/standin/platform_server.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(HttpPlatform)
{
    kernel::Loop loop;
    kernel::Registry registry;
    standin::PlatformServer server { loop, { .listen = { .host = "127.0.0.1" } } };
    platform::HttpPlatform client { loop, registry, { .host = "127.0.0.1", .port = server.port() } };

    template <typename Result, typename Call>
    Result await(Call call)
    {
        std::optional<Result> result;
        call([&](Result answer) {
            result = std::move(answer);
            this->loop.stop();
        });
        this->loop.run();
        return *result;
    }

    void setFaults(const std::string& faults)
    {
        http::Client operators(loop);
        operators.send({ .host = "127.0.0.1", .port = server.port() }, { .method = "POST", .path = "/admin/faults", .body = faults }, 1s, [this](const auto&) { loop.stop(); });
        loop.run();
    }

    platform::PlatformResult<std::vector<platform::Row>> commit(const std::string& id, std::uint64_t version)
    {
        return this->await<platform::PlatformResult<std::vector<platform::Row>>>([&](auto done) {
            this->client.commit({ .requestId = id, .conditions = { { .key = "table", .version = version } }, .puts = { { .key = "table", .value = "value" } } }, done);
        });
    }

    platform::PlatformResult<platform::Row> readRow()
    {
        return this->await<platform::PlatformResult<platform::Row>>([&](auto done) { this->client.readRow("table", done); });
    }
};

TEST(HttpPlatform, CommitsAndReads)
{
    LONGS_EQUAL(0, readRow().value().version);
    LONGS_EQUAL(1, commit("1", 0).value().at(0).version);
    STRCMP_EQUAL("value", readRow().value().value.c_str());
    CHECK(commit("2", 0).error() == platform::PlatformError::Conflict);
}

TEST(HttpPlatform, ALostAnswerIsUnknownUntilTheSameRequestIsRepeated)
{
    setFaults(R"({"lose_answers":1})");
    CHECK(commit("1", 0).error() == platform::PlatformError::Unknown);
    LONGS_EQUAL(1, commit("1", 0).value().at(0).version);
}

TEST(HttpPlatform, APlatformThatIsDownIsUnavailable)
{
    setFaults(R"({"down":true})");
    CHECK(commit("1", 0).error() == platform::PlatformError::Unavailable);
    CHECK(readRow().error() == platform::PlatformError::Unavailable);
}

TEST(HttpPlatform, WritesAnObjectOnlyOverTheTagThatItHas)
{
    using Written = platform::PlatformResult<std::string>;
    const auto write = [&](const std::string& etag) { return await<Written>([&](auto done) { client.writeObject("table/history", "body", etag, done); }); };
    const auto first = write("");
    CHECK(first.has_value());
    CHECK(write("").error() == platform::PlatformError::Conflict);
    CHECK(write(*first).has_value());
}

TEST(HttpPlatform, ReadsOverTheBudgetAreRefusedHere)
{
    platform::ReadBudget budget;
    budget.setDaemons(2'000);
    const Time start { 100s };
    for (int i = 0; i < 10; ++i)
        CHECK(budget.take(start));
    CHECK(!budget.take(start + 1s));
    CHECK(budget.take(start + 2s));
}

TEST(HttpPlatform, BackoffStaysWithinItsBounds)
{
    Random random(7);
    platform::Backoff backoff({ .shortest = 100ms, .longest = 2s });
    for (int i = 0; i < 100; ++i) {
        const auto wait = backoff.next(random);
        CHECK(wait >= 100ms && wait <= 2s);
    }
}

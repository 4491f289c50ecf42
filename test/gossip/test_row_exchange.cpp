#include "amaranthhall/gossip/compression.hpp"
#include "amaranthhall/gossip/row_exchange.hpp"
#include "gossip/earlier_builds.hpp"

#include "amaranthhall/packing/packing.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t linkBytesPer100Milliseconds = 125'000; // of 10 Mbit/s, the slowest link in larger deployments

/// Returns a configuration with many routes in the format that the platform writes.
std::string configurationJson(std::size_t count)
{
    std::string text = R"({"version":7,"routes":[)";
    std::uint64_t state = 1;
    for (std::size_t number = 0; number < count; ++number) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        text += R"({"host":"db)" + std::to_string(state >> 32U) + R"(","service":"dele69a","route_type":"read_your_writes","max_staleness_ms":2500,"timeout_ms":1400,"target_latency_ms":200,"tx_idle_ms":3000,"priority":1,"class":"fitting-update","retries":2,"weight":100},)";
    }
    text.back() = ']';
    return text + "}";
}

std::string decompressed(const std::string& bytes)
{
    return gossip::decompress(bytes, 1U << 20U).value_or("");
}

store::Row configurationRow(std::size_t routes)
{
    return { .key = { .table = "op", .key = "config" }, .value = configurationJson(routes), .version = { .era = 1, .number = 9 } };
}

}

TEST_GROUP(RowExchange)
{
    kernel::Loop loop;

    void runUntil(const bool& isDone)
    {
        const auto limit = this->loop.after(5s, [this] { this->loop.stop(); });
        const auto check = this->loop.every(1ms, [&] {
            if (isDone)
                this->loop.stop();
        });
        this->loop.run();
        CHECK_TRUE(isDone);
    }
};

TEST(RowExchange, EncodedRowsDecodeToTheSameValues)
{
    const std::vector<store::Row> sent { configurationRow(3), { .key = { .table = "op", .partition = "p", .key = "gone" }, .version = { .number = 4 }, .isRemoved = true } };
    const auto decoded = gossip::decodeRows(gossip::encodeRows(sent));
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(2, decoded->size());
    CHECK(decoded->at(0).key == sent[0].key);
    CHECK_EQUAL(sent[0].value, decoded->at(0).value);
    CHECK(decoded->at(0).version == sent[0].version);
    CHECK_TRUE(decoded->at(1).isRemoved);
}

TEST(RowExchange, TwoThousandRoutesPassASlowLinkWithin100Milliseconds)
{
    const auto bytes = gossip::encodeRows({ configurationRow(2000) });
    CHECK(bytes.size() < linkBytesPer100Milliseconds);
}

TEST(RowExchange, ArbitraryBytesNeverCrashTheDecoder)
{
    CHECK_TRUE(rc::check("any bytes are decoded or rejected", [](const std::string& bytes) {
        static_cast<void>(gossip::decodeRows(bytes));
        static_cast<void>(gossip::decodeRows(gossip::compress(bytes)));
    }));
    const auto encoded = gossip::encodeRows({ configurationRow(20) });
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK_FALSE(gossip::decodeRows(std::string_view(encoded).substr(0, length)).has_value());
}

TEST(RowExchange, DecompressionBeyondTheLimitIsRejected)
{
    constexpr std::size_t limit = 1'000'000;
    CHECK_FALSE(gossip::decompress(gossip::compress(std::string(limit + 1, 'x')), limit).has_value());
    CHECK_TRUE(gossip::decompress(gossip::compress(std::string(limit, 'x')), limit).has_value());
}

TEST(RowExchange, APeerReturnsItsRowsNewerThanTheRequestedVersion)
{
    std::vector<store::Row> rows { configurationRow(2) };
    gossip::RowExchange server(this->loop, { .host = "127.0.0.1", .port = 0 }, [&](const std::string& table, store::Version after) {
        return table == "op" && after < rows[0].version ? rows : std::vector<store::Row>();
    });
    gossip::RowExchange client(this->loop, { .host = "127.0.0.1", .port = 0 }, [](const auto&, auto) { return std::vector<store::Row>(); });
    const auto fetch = [&](const store::Version& after) {
        std::vector<store::Row> fetched;
        bool isDone = false;
        client.fetch({ .host = "127.0.0.1", .port = server.port() }, "op", after, [&](const auto& got) {
            isDone = true;
            if (got)
                fetched = *got;
        });
        this->runUntil(isDone);
        return fetched;
    };
    LONGS_EQUAL(9, fetch({ .era = 1, .number = 3 }).at(0).version.number);
    // A version of an earlier era is older even if its number is higher.
    LONGS_EQUAL(1, fetch({ .number = 40 }).size());
    LONGS_EQUAL(0, fetch({ .era = 1, .number = 9 }).size());
    // The cached response must not be used after the rows have changed.
    rows[0].version.number = 12;
    LONGS_EQUAL(12, fetch({ .era = 1, .number = 3 }).at(0).version.number);
}

TEST(RowExchange, RowsOfEarlierBuildsAreRead)
{
    const auto plain = gossip::decodeRows(gossip::earlier::bytesOf(gossip::earlier::rowsOf5682247));
    CHECK_TRUE(plain.has_value());
    STRCMP_EQUAL("config", plain->at(0).key.key.c_str());
    CHECK(plain->at(0).version == store::Version({ .number = 16 }));
    CHECK_TRUE(plain->at(1).isRemoved);
    CHECK(decompressed(gossip::encodeRows(*plain, gossip::WireFormat::PlainVersions)) == decompressed(gossip::earlier::bytesOf(gossip::earlier::rowsOf5682247)));
    const auto withEra = gossip::decodeRows(gossip::earlier::bytesOf(gossip::earlier::rowsOf2aa645e));
    CHECK(withEra->at(0).version == store::Version({ .era = 1, .number = 16 }));
    CHECK(decompressed(gossip::encodeRows(*withEra)) == decompressed(gossip::earlier::bytesOf(gossip::earlier::rowsOf2aa645e)));
}

TEST(RowExchange, ARequestWithAPlainVersionIsAnsweredWithPlainVersions)
{
    const kernel::Address any { .host = "127.0.0.1" };
    gossip::RowExchange server(this->loop, any, [](const auto&, auto after) { return after.number == 15 ? std::vector { store::Row { .key = { .table = "op", .key = "a" }, .version = { .number = 16 } } } : std::vector<store::Row>(); });
    http::Client client(this->loop);
    std::string body;
    bool isDone = false;
    client.send({ .host = "127.0.0.1", .port = server.port() }, { .path = "/rows", .query = "table=op&after=15" }, 2s, [&](const http::HttpResult& result) {
        body = result->body;
        isDone = true;
    });
    this->runUntil(isDone);
    const auto bytes = gossip::decompress(body, 1U << 20U);
    const auto rows = packing::unpack<std::vector<std::tuple<std::string, std::string, std::string, std::string, std::uint64_t, bool>>>(*bytes);
    CHECK_TRUE(rows.has_value());
    LONGS_EQUAL(16, std::get<4>(rows->at(0)));
}

#include "amaranthhall/gossip/row_exchange.hpp"

#include "amaranthhall/gossip/compression.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace amaranthhall::gossip {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr auto fetchTimeout = 2500ms; // a peer on a slow link may answer many at once
    constexpr std::size_t mostBytes = 16U << 20U; // of rows that a peer hands on, restored

    store::Version newestOf(const std::vector<store::Row>& rows)
    {
        store::Version newest = 0;
        for (const auto& row : rows)
            newest = std::max(newest, row.version);
        return newest;
    }

}

std::string encodeRows(const std::vector<store::Row>& rows)
{
    auto list = Json::array();
    for (const auto& row : rows)
        list.push_back(Json::array({ row.key.table, row.key.part, row.key.key, row.value, row.version, row.isRemoved }));
    std::string bytes;
    Json::to_cbor(list, bytes);
    return compress(bytes);
}

std::optional<std::vector<store::Row>> decodeRows(std::string_view compressed)
{
    const auto bytes = decompress(compressed, mostBytes);
    if (!bytes) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "peer.malformed_rows", { { "problem", "damaged or too large" }, { "bytes", compressed.size() } });
        return std::nullopt;
    }
    try {
        std::vector<store::Row> rows;
        for (const auto& item : Json::from_cbor(*bytes)) {
            rows.push_back({ .key = { .table = item.at(0).get<std::string>(), .part = item.at(1).get<std::string>(), .key = item.at(2).get<std::string>() },
                .value = item.at(3).get<std::string>(),
                .version = item.at(4).get<store::Version>(),
                .isRemoved = item.at(5).get<bool>() });
        }
        return rows;
    } catch (const Json::exception& exception) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "peer.malformed_rows", { { "problem", exception.what() } });
        return std::nullopt;
    }
}

RowExchange::RowExchange(kernel::Loop& loop, const kernel::Address& listen, Source usedSource)
    : source(std::move(usedSource))
    , server(loop, { .listen = listen })
    , client(loop)
{
    this->server.route("/rows", [this](const http::Request& request, const http::Reply& reply) {
        const auto text = http::findQuery(request.query, "after");
        store::Version after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        reply({ .body = this->encodedRows(http::findQuery(request.query, "table"), after) });
    });
}

const std::string& RowExchange::encodedRows(const std::string& table, store::Version after)
{
    const auto rows = this->source(table, after);
    const auto newest = newestOf(rows);
    auto& cached = this->encoded[table];
    if (cached.body.empty() || cached.after != after || cached.newest != newest)
        cached = { .after = after, .newest = newest, .body = encodeRows(rows) };
    return cached.body;
}

void RowExchange::fetch(const kernel::Address& peer, const std::string& table, store::Version after, Fetched fetched)
{
    const http::Request request { .path = "/rows", .query = "table=" + http::encodeQuery(table) + "&after=" + std::to_string(after) };
    this->client.send(peer, request, fetchTimeout, [fetched = std::move(fetched), peer](const http::HttpResult& result) {
        if (result && result->status == 200) {
            fetched(decodeRows(result->body));
            return;
        }
        telemetry::logEvent(telemetry::LogLevel::Info, "peer.rows_not_fetched", { { "peer", kernel::formatAddress(peer) } });
        fetched(std::nullopt);
    });
}

}

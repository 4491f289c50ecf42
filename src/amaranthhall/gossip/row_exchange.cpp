#include "amaranthhall/gossip/row_exchange.hpp"

#include "amaranthhall/gossip/compression.hpp"
#include "amaranthhall/gossip/packed_version.hpp"
#include "amaranthhall/packing/packing.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    using namespace std::chrono_literals;
    using PackedRow = std::tuple<std::string, std::string, std::string, std::string, PackedVersion, bool>;

    constexpr auto fetchTimeout = 2500ms; // a peer on a slow link may have to answer many requests at once
    constexpr std::size_t maximumDecompressedSize = 16U << 20U; // of the rows in a response

    store::Version newestVersion(const std::vector<store::Row>& rows)
    {
        store::Version newest;
        for (const auto& row : rows)
            newest = std::max(newest, row.version);
        return newest;
    }

}

std::string encodeRows(const std::vector<store::Row>& rows)
{
    std::vector<PackedRow> packed;
    packed.reserve(rows.size());
    for (const auto& row : rows)
        packed.emplace_back(row.key.table, row.key.partition, row.key.key, row.value, packVersion(row.version), row.isRemoved);
    return compress(packing::pack(packed));
}

std::optional<std::vector<store::Row>> decodeRows(std::string_view compressed)
{
    const auto bytes = decompress(compressed, maximumDecompressedSize);
    auto packed = bytes ? packing::unpack<std::vector<PackedRow>>(*bytes) : std::nullopt;
    if (!packed) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "peer.malformed_rows", { { "problem", bytes ? "not a list of rows" : "corrupt or too large" }, { "bytes", compressed.size() } });
        return std::nullopt;
    }
    std::vector<store::Row> rows;
    rows.reserve(packed->size());
    for (auto& [table, partition, key, value, version, isRemoved] : *packed)
        rows.push_back({ .key = { .table = std::move(table), .partition = std::move(partition), .key = std::move(key) }, .value = std::move(value), .version = unpackVersion(version), .isRemoved = isRemoved });
    return rows;
}

RowExchange::RowExchange(kernel::Loop& loop, const kernel::Address& listen, Source usedSource)
    : source(std::move(usedSource))
    , server(loop, { .listen = listen })
    , client(loop)
{
    this->server.route("/rows", [this](const http::Request& request, const http::Reply& reply) {
        const auto after = store::parseVersion(http::findQueryParameter(request.query, "after"));
        reply({ .body = this->encodedRows(http::findQueryParameter(request.query, "table"), after) });
    });
}

const std::string& RowExchange::encodedRows(const std::string& table, store::Version after)
{
    const auto rows = this->source(table, after);
    const auto newest = newestVersion(rows);
    auto& cached = this->cachedAnswers[table];
    if (cached.body.empty() || cached.after != after || cached.newest != newest)
        cached = { .after = after, .newest = newest, .body = encodeRows(rows) };
    return cached.body;
}

void RowExchange::fetch(const kernel::Address& peer, const std::string& table, store::Version after, FetchCallback onFetched)
{
    const http::Request request { .path = "/rows", .query = "table=" + http::encodeQueryValue(table) + "&after=" + store::formatVersion(after) };
    this->client.send(peer, request, fetchTimeout, [onFetched = std::move(onFetched)](const http::HttpResult& result) {
        onFetched(result && result->status == 200 ? decodeRows(result->body) : std::nullopt);
    });
}

}

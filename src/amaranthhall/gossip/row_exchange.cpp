#include "amaranthhall/gossip/row_exchange.hpp"

#include "amaranthhall/gossip/compression.hpp"
#include "amaranthhall/gossip/packed_version.hpp"
#include "amaranthhall/packing/packing.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

namespace amaranthhall::gossip {

namespace {

    using namespace std::chrono_literals;
    template <typename Version>
    using PackedRowOf = std::tuple<std::string, std::string, std::string, std::string, Version, bool>;
    using PackedRow = PackedRowOf<PackedVersion>;
    using PlainRow = PackedRowOf<std::uint64_t>; // WireFormat::PlainVersions

    constexpr auto fetchTimeout = 2500ms; // a peer on a slow link may have to answer many requests at once
    constexpr std::size_t maximumDecompressedSize = 16U << 20U; // of the rows in a response

    store::Version newestVersion(const std::vector<store::Row>& rows)
    {
        store::Version newest;
        for (const auto& row : rows)
            newest = std::max(newest, row.version);
        return newest;
    }

    template <typename Packed, typename PackRowVersion>
    std::vector<Packed> packRows(const std::vector<store::Row>& rows, PackRowVersion packRowVersion)
    {
        std::vector<Packed> packed;
        packed.reserve(rows.size());
        for (const auto& row : rows)
            packed.emplace_back(row.key.table, row.key.partition, row.key.key, row.value, packRowVersion(row.version), row.isRemoved);
        return packed;
    }

    template <typename Packed, typename UnpackRowVersion>
    std::vector<store::Row> unpackRows(std::vector<Packed>&& packed, UnpackRowVersion unpackRowVersion)
    {
        std::vector<store::Row> rows;
        rows.reserve(packed.size());
        for (auto& [table, partition, key, value, version, isRemoved] : packed)
            rows.push_back({ .key = { .table = std::move(table), .partition = std::move(partition), .key = std::move(key) }, .value = std::move(value), .version = unpackRowVersion(version), .isRemoved = isRemoved });
        return rows;
    }

    /// The version after which a peer wants rows, and the format in which it writes versions.
    struct RequestedVersion {
        store::Version after;
        WireFormat format { WireFormat::VersionsWithEra };
    };

    RequestedVersion parseRequestedVersion(const std::string& text)
    {
        std::uint64_t number = 0;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        if (parsed.ec == std::errc() && parsed.ptr == end)
            return { .after = { .number = number }, .format = WireFormat::PlainVersions };
        return { .after = store::parseVersion(text) };
    }

}

std::string encodeRows(const std::vector<store::Row>& rows, WireFormat format)
{
    if (format == WireFormat::PlainVersions)
        return compress(packing::pack(packRows<PlainRow>(rows, [](const auto& version) { return version.number; })));
    return compress(packing::pack(packRows<PackedRow>(rows, packVersion)));
}

std::optional<std::vector<store::Row>> decodeRows(std::string_view compressed)
{
    const auto bytes = decompress(compressed, maximumDecompressedSize);
    if (auto packed = bytes ? packing::unpack<std::vector<PackedRow>>(*bytes) : std::nullopt)
        return unpackRows(std::move(*packed), unpackVersion);
    if (auto plain = bytes ? packing::unpack<std::vector<PlainRow>>(*bytes) : std::nullopt)
        return unpackRows(std::move(*plain), [](std::uint64_t number) { return store::Version { .number = number }; });
    telemetry::logEvent(telemetry::LogLevel::Warning, "peer.malformed_rows", { { "problem", bytes ? "not a list of rows" : "corrupt or too large" }, { "bytes", compressed.size() } });
    return std::nullopt;
}

RowExchange::RowExchange(kernel::Loop& loop, const kernel::Address& listen, Source usedSource, RowExchangeOptions options)
    : source(std::move(usedSource))
    , traffic(options.traffic)
    , server(loop, { .listen = listen, .limits = std::move(options.limits) })
    , client(loop)
{
    this->server.route("/rows", [this](const http::Request& request, const http::Reply& reply) {
        const auto requested = parseRequestedVersion(http::findQueryParameter(request.query, "after"));
        reply({ .body = this->encodedRows(http::findQueryParameter(request.query, "table"), requested.after, requested.format) });
    });
}

const std::string& RowExchange::encodedRows(const std::string& table, store::Version after, WireFormat format)
{
    const auto rows = this->source(table, after);
    const auto newest = newestVersion(rows);
    auto& cached = this->cachedAnswers[table];
    if (cached.body.empty() || cached.after != after || cached.newest != newest || cached.format != format)
        cached = { .after = after, .newest = newest, .format = format, .body = encodeRows(rows, format) };
    return cached.body;
}

void RowExchange::fetch(const kernel::Address& peer, const std::string& table, store::Version after, FetchCallback onFetched)
{
    const http::Request request { .path = "/rows", .query = "table=" + http::encodeQueryValue(table) + "&after=" + store::formatVersion(after) };
    auto* bytes = this->traffic ? &this->traffic->bytesOfHost(telemetry::TrafficKind::Rows, peer.host) : nullptr;
    if (bytes)
        bytes->sent += request.path.size() + request.query.size();
    this->client.send(peer, request, fetchTimeout, [bytes, onFetched = std::move(onFetched)](const http::HttpResult& result) {
        if (bytes && result)
            bytes->received += result->body.size();
        onFetched(result && result->status == 200 ? decodeRows(result->body) : std::nullopt);
    });
}

}

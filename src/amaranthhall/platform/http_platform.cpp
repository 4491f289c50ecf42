#include "amaranthhall/platform/http_platform.hpp"

#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/platform/platform_json.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

namespace amaranthhall::platform {

namespace {

    using namespace std::chrono_literals;

    constexpr auto readTimeout = 1s;
    constexpr auto writeTimeout = 1500ms;

    bool isSuccess(int status) noexcept
    {
        return status >= 200 && status < 300;
    }

    /// Maps a failed answer; without an answer a write may have taken effect, and a read has none.
    PlatformResult<http::Response> mapResult(http::HttpResult result, bool isWrite)
    {
        const auto silent = isWrite ? PlatformError::Unknown : PlatformError::Unavailable;
        if (!result)
            return tl::make_unexpected(result.error() == http::HttpError::Unreachable ? PlatformError::Unavailable : silent);
        if (isSuccess(result->status))
            return *std::move(result);
        switch (result->status) {
        case 404:
            return tl::make_unexpected(PlatformError::NotFound);
        case 409:
        case 412:
            return tl::make_unexpected(PlatformError::Conflict);
        case 429:
            return tl::make_unexpected(PlatformError::Throttled);
        case 503:
            return tl::make_unexpected(PlatformError::Unavailable);
        default:
            return tl::make_unexpected(result->status >= 500 ? silent : PlatformError::Malformed);
        }
    }

    std::string_view describe(const PlatformResult<http::Response>& result)
    {
        if (result)
            return "success";
        switch (result.error()) {
        case PlatformError::Unavailable:
            return "unavailable";
        case PlatformError::Throttled:
            return "throttled";
        case PlatformError::Unknown:
            return "unknown";
        case PlatformError::NotFound:
            return "not_found";
        case PlatformError::Conflict:
            return "conflict";
        case PlatformError::Malformed:
            break;
        }
        return "malformed";
    }

    std::string etagOf(const http::Response& response)
    {
        return std::string(http::findHeader(response.headers, "etag"));
    }

}

HttpPlatform::HttpPlatform(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, kernel::Address platformAddress)
    : loop(usedLoop)
    , registry(usedRegistry)
    , address(std::move(platformAddress))
    , client(usedLoop)
{
}

void HttpPlatform::start()
{
    auto* members = this->registry.findOptional<membership::MemberSource>("members");
    if (members == nullptr)
        return;
    members->onChange([this, members] { this->budget.setDaemons(members->members().size()); });
}

void HttpPlatform::readRow(std::string_view key, std::function<void(PlatformResult<Row>)> done)
{
    this->sendRead("/v1/rows", "key=" + http::encodeQueryValue(key), [done = std::move(done)](auto result) {
        if (!result)
            return done(tl::make_unexpected(result.error()));
        auto rows = decodeRows(result->body);
        if (!rows || rows->size() != 1)
            return done(tl::make_unexpected(PlatformError::Malformed));
        done(std::move(rows->front()));
    });
}

void HttpPlatform::readRows(std::string_view prefix, std::function<void(PlatformResult<std::vector<Row>>)> done)
{
    this->sendRead("/v1/rows", "prefix=" + http::encodeQueryValue(prefix), [done = std::move(done)](auto result) {
        done(std::move(result).and_then([](const auto& response) { return decodeRows(response.body); }));
    });
}

void HttpPlatform::commit(const Transaction& transaction, std::function<void(PlatformResult<std::vector<Row>>)> done)
{
    http::Request request { .method = "POST", .path = "/v1/transact", .body = encodeTransaction(transaction) };
    this->sendWrite(std::move(request), [done = std::move(done)](auto result) {
        if (!result)
            return done(tl::make_unexpected(result.error()));
        auto rows = decodeRows(result->body);
        if (!rows)
            return done(tl::make_unexpected(PlatformError::Unknown));
        done(std::move(rows));
    });
}

void HttpPlatform::readObject(std::string_view name, std::function<void(PlatformResult<Object>)> done)
{
    this->sendRead("/v1/objects/" + std::string(name), {}, [done = std::move(done)](auto result) {
        done(std::move(result).map([](const auto& response) { return Object { .etag = etagOf(response), .body = response.body }; }));
    });
}

void HttpPlatform::writeObject(std::string_view name, std::string body, std::string_view expectedEtag, std::function<void(PlatformResult<std::string>)> done)
{
    http::Request request { .method = "PUT", .path = "/v1/objects/" + std::string(name), .body = std::move(body) };
    if (expectedEtag.empty())
        request.headers.push_back({ .name = "If-None-Match", .value = "*" });
    else
        request.headers.push_back({ .name = "If-Match", .value = std::string(expectedEtag) });
    this->sendWrite(std::move(request), [done = std::move(done)](auto result) {
        done(std::move(result).map([](const auto& response) { return etagOf(response); }));
    });
}

void HttpPlatform::listVms(std::function<void(PlatformResult<std::vector<VmEntry>>)> done)
{
    this->sendRead("/v1/vms", {}, [done = std::move(done)](auto result) {
        done(std::move(result).and_then([](const auto& response) { return decodeVms(response.body); }));
    });
}

void HttpPlatform::sendRead(std::string path, std::string query, Answered answered)
{
    if (!this->budget.take(this->loop.now())) {
        this->loop.post([this, answered = std::move(answered)] {
            const PlatformResult<http::Response> result = tl::make_unexpected(PlatformError::Throttled);
            this->count("read", result);
            answered(result);
        });
        return;
    }
    this->client.send(this->address, { .path = std::move(path), .query = std::move(query) }, readTimeout, [this, answered = std::move(answered)](auto result) {
        auto mapped = mapResult(std::move(result), false);
        this->count("read", mapped);
        answered(std::move(mapped));
    });
}

void HttpPlatform::sendWrite(http::Request request, Answered answered)
{
    this->client.send(this->address, request, writeTimeout, [this, answered = std::move(answered)](auto result) {
        auto mapped = mapResult(std::move(result), true);
        this->count("write", mapped);
        answered(std::move(mapped));
    });
}

void HttpPlatform::count(std::string_view kind, const PlatformResult<http::Response>& result)
{
    auto* metrics = this->registry.findOptional<telemetry::Metrics>("metrics");
    if (metrics == nullptr)
        return;
    metrics->counter("amaranthhall_platform_requests_total", "Requests to the platform, by kind and result", { { .name = "kind", .value = kind }, { .name = "result", .value = describe(result) } }).Increment();
}

}

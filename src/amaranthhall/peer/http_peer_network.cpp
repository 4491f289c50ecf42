#include "amaranthhall/peer/http_peer_network.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <charconv>

namespace amaranthhall::peer {

namespace {

    constexpr std::string_view path = "/rpc";
    constexpr std::string_view senderHeader = "x-ah-from";
    constexpr std::string_view recipientHeader = "x-ah-to";
    constexpr std::string_view nonceHeader = "x-ah-nonce";
    constexpr std::string_view sentHeader = "x-ah-sent";
    constexpr std::string_view signatureHeader = "x-ah-proof";
    constexpr std::size_t startLineSize = 48; // counted for the request or status line and the headers that the HTTP library adds
    constexpr std::size_t headerSeparatorsSize = 4; // ": " and CRLF
    constexpr std::size_t bodyLimitFactor = 16; // body limit of the HTTP server in multiples of maximumMessageSize; oversized messages below it are rejected and counted here
    constexpr int statusForbidden = 403;
    constexpr int statusPayloadTooLarge = 413;
    constexpr int statusOk = 200;

    WallTime readWallClock()
    {
        return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
    }

    MessageAuthentication readAuthentication(const std::vector<http::Header>& headers)
    {
        MessageAuthentication authentication {
            .sender = std::string(http::findHeader(headers, senderHeader)),
            .recipient = std::string(http::findHeader(headers, recipientHeader)),
            .nonce = std::string(http::findHeader(headers, nonceHeader)),
            .signature = std::string(http::findHeader(headers, signatureHeader)),
        };
        const auto sent = http::findHeader(headers, sentHeader);
        WallTime::rep count = 0;
        std::from_chars(sent.data(), sent.data() + sent.size(), count);
        authentication.sent = WallTime(count);
        return authentication;
    }

    std::vector<http::Header> toHeaders(const MessageAuthentication& authentication)
    {
        return {
            { std::string(senderHeader), authentication.sender },
            { std::string(recipientHeader), authentication.recipient },
            { std::string(nonceHeader), authentication.nonce },
            { std::string(sentHeader), std::to_string(authentication.sent.count()) },
            { std::string(signatureHeader), authentication.signature },
        };
    }

    std::size_t messageSize(const std::vector<http::Header>& headers, std::string_view body)
    {
        auto bytes = startLineSize + body.size();
        for (const auto& header : headers)
            bytes += header.name.size() + header.value.size() + headerSeparatorsSize;
        return bytes;
    }

    PeerError toPeerError(http::HttpError error)
    {
        switch (error) {
        case http::HttpError::Unreachable:
            return { PeerErrorCode::Unreachable, "connection failed" };
        case http::HttpError::Timeout:
            return { PeerErrorCode::Timeout, "the call timed out" };
        case http::HttpError::ConnectionLost:
            return { PeerErrorCode::Timeout, "connection lost before the response arrived" };
        case http::HttpError::TooLarge:
            return { PeerErrorCode::Refused, "response exceeds the size limit" };
        }
        return {};
    }

    std::string_view rejectionReason(Freshness freshness)
    {
        if (freshness == Freshness::Replayed)
            return "replayed";
        return freshness == Freshness::Stale ? "stale" : "overloaded";
    }

    EnvelopeResponse toEnvelopeResponse(const PeerResult& result)
    {
        if (result)
            return { .succeeded = true, .result = result->dump() };
        return { .code = result.error().code == PeerErrorCode::UnknownMethod ? methodNotFoundCode : handlerErrorCode, .message = result.error().message };
    }

}

HttpPeerNetwork::HttpPeerNetwork(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, PeerOptions usedOptions)
    : loop(usedLoop)
    , registry(usedRegistry)
    , options(std::move(usedOptions))
    , replayWindow(readWallClock())
{
}

void HttpPeerNetwork::start()
{
    this->metrics = &this->registry.find<telemetry::Metrics>("metrics");
    this->client = std::make_unique<http::Client>(this->loop, this->options.maximumMessageSize);
    this->server = std::make_unique<http::Server>(this->loop, http::ServerOptions { .listen = this->options.listen, .maximumBodySize = bodyLimitFactor * this->options.maximumMessageSize });
    this->server->route(std::string(path), [this](const http::Request& request, const http::Reply& respond) { this->receive(request, respond); });
    this->addOwnAddress(this->listenAddress());
}

void HttpPeerNetwork::stop()
{
    this->client.reset();
    this->server.reset();
}

void HttpPeerNetwork::serve(std::string method, Handler handler)
{
    this->envelope.addMethod(method);
    this->handlers[std::move(method)] = std::move(handler);
}

kernel::Address HttpPeerNetwork::listenAddress() const
{
    return { .host = this->options.listen.host, .port = this->server ? this->server->port() : this->options.listen.port };
}

void HttpPeerNetwork::addOwnAddress(const kernel::Address& address)
{
    this->ownAddresses.insert(kernel::formatAddress(address));
}

void HttpPeerNetwork::countBytes(std::string_view direction, std::size_t bytes)
{
    this->metrics->counter("amaranthhall_peer_bytes_total", "Bytes of calls between daemons and of their answers", { { "direction", direction } }).Increment(static_cast<double>(bytes));
}

void HttpPeerNetwork::call(const kernel::Address& to, std::string_view method, Json parameters, Duration timeout, Reply reply)
{
    if (!this->client || this->inFlight >= this->options.maximumCallsInFlight) {
        this->loop.post([reply = std::move(reply)] { reply(tl::unexpected(PeerError { PeerErrorCode::Unreachable, "too many calls in flight" })); });
        return;
    }
    const auto parametersText = parameters.is_null() ? std::string("{}") : parameters.dump();
    http::Request request { .method = "POST", .path = std::string(path), .body = encodeCall(std::string(method), parametersText) };
    MessageAuthentication authentication { .sender = this->options.vm, .recipient = kernel::formatAddress(to), .nonce = makeNonce(), .sent = readWallClock() };
    authentication.signature = signCall(this->options.keys.front(), authentication, request.body);
    request.headers = toHeaders(authentication);
    this->countBytes("out", messageSize(request.headers, request.body));
    this->metrics->counter("amaranthhall_peer_calls_total", "Calls to other daemons", { { "method", method } }).Increment();
    ++this->inFlight;
    this->client->send(to, request, timeout, [this, nonce = authentication.nonce, reply = std::move(reply)](const http::HttpResult& result) {
        --this->inFlight;
        if (!result) {
            reply(tl::unexpected(toPeerError(result.error())));
            return;
        }
        this->countBytes("in", messageSize(result->headers, result->body));
        reply(this->readResponse(*result, nonce));
    });
}

PeerResult HttpPeerNetwork::readResponse(const http::Response& response, std::string_view nonce) const
{
    if (response.status == statusForbidden || response.status == statusPayloadTooLarge)
        return tl::unexpected(PeerError { PeerErrorCode::Refused, "peer rejected the message" });
    if (response.status != statusOk || !verifyResponse(this->options.keys, nonce, response.body, http::findHeader(response.headers, signatureHeader)))
        return tl::unexpected(PeerError { PeerErrorCode::Malformed, "response has an unexpected status or an invalid signature" });
    const auto rpcResponse = decodeResponse(response.body);
    if (!rpcResponse.succeeded) {
        if (rpcResponse.code == 0)
            return tl::unexpected(PeerError { PeerErrorCode::Malformed, rpcResponse.message });
        return tl::unexpected(PeerError { rpcResponse.code == methodNotFoundCode ? PeerErrorCode::UnknownMethod : PeerErrorCode::Failed, rpcResponse.message });
    }
    auto result = Json::parse(rpcResponse.result, nullptr, false);
    if (result.is_discarded())
        return tl::unexpected(PeerError { PeerErrorCode::Malformed, "result is not valid JSON" });
    return result;
}

void HttpPeerNetwork::reject(std::string_view reason, const http::Reply& respond, int status)
{
    this->metrics->counter("amaranthhall_peer_refused_total", "Messages of other daemons that were refused", { { "reason", reason } }).Increment();
    telemetry::logEvent(telemetry::LogLevel::Warning, "peer.refused", { { "reason", reason } });
    respond({ .status = status });
}

bool HttpPeerNetwork::isAuthentic(const http::Request& request, const MessageAuthentication& authentication)
{
    return verifyCall(this->options.keys, authentication, request.body) && this->ownAddresses.contains(authentication.recipient);
}

void HttpPeerNetwork::receive(const http::Request& request, const http::Reply& respond)
{
    this->countBytes("in", messageSize(request.headers, request.body));
    if (request.body.size() > this->options.maximumMessageSize) {
        this->reject("oversized", respond, statusPayloadTooLarge);
        return;
    }
    const auto authentication = readAuthentication(request.headers);
    if (!this->isAuthentic(request, authentication)) {
        this->reject("forged", respond, statusForbidden);
        return;
    }
    const auto freshness = this->replayWindow.admit(authentication.nonce, authentication.sent, readWallClock());
    if (freshness != Freshness::Fresh) {
        this->reject(rejectionReason(freshness), respond, statusForbidden);
        return;
    }
    const auto call = this->envelope.decodeCall(request.body);
    const auto handler = this->handlers.find(call.method);
    auto parameters = Json::parse(call.parameters, nullptr, false);
    if (!call.valid || handler == this->handlers.end() || parameters.is_discarded()) {
        this->sendResponse(authentication, call.errorResponse, respond);
        return;
    }
    this->metrics->counter("amaranthhall_peer_served_total", "Calls of other daemons", { { "method", call.method } }).Increment();
    handler->second(parameters, [this, authentication, requestText = request.body, respond](const PeerResult& result) {
        this->sendResponse(authentication, this->envelope.encodeResponse(requestText, toEnvelopeResponse(result)), respond);
    });
}

void HttpPeerNetwork::sendResponse(const MessageAuthentication& authentication, std::string body, const http::Reply& respond)
{
    auto signature = signResponse(this->options.keys.front(), authentication.nonce, body);
    http::Response response { .headers = { { std::string(signatureHeader), std::move(signature) } }, .body = std::move(body) };
    this->countBytes("out", messageSize(response.headers, response.body));
    respond(std::move(response));
}

}

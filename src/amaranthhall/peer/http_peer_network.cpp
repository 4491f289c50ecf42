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
    constexpr std::size_t startLineBytes = 48; // request or status line and the headers that the library adds
    constexpr std::size_t headerOverhead = 4; // ": " and the line end
    constexpr std::size_t refusedAtOnce = 16; // times the longest message; anything longer is refused by the HTTP server
    constexpr int forbidden = 403;
    constexpr int tooLarge = 413;
    constexpr int okay = 200;

    WallTime readWallClock()
    {
        return std::chrono::duration_cast<WallTime>(std::chrono::system_clock::now().time_since_epoch());
    }

    Proof readProof(const std::vector<http::Header>& headers)
    {
        Proof proof {
            .sender = std::string(http::findHeader(headers, senderHeader)),
            .recipient = std::string(http::findHeader(headers, recipientHeader)),
            .nonce = std::string(http::findHeader(headers, nonceHeader)),
            .signature = std::string(http::findHeader(headers, signatureHeader)),
        };
        const auto sent = http::findHeader(headers, sentHeader);
        WallTime::rep count = 0;
        std::from_chars(sent.data(), sent.data() + sent.size(), count);
        proof.sent = WallTime(count);
        return proof;
    }

    std::vector<http::Header> writeProof(const Proof& proof)
    {
        return {
            { std::string(senderHeader), proof.sender },
            { std::string(recipientHeader), proof.recipient },
            { std::string(nonceHeader), proof.nonce },
            { std::string(sentHeader), std::to_string(proof.sent.count()) },
            { std::string(signatureHeader), proof.signature },
        };
    }

    std::size_t measure(const std::vector<http::Header>& headers, std::string_view body)
    {
        auto bytes = startLineBytes + body.size();
        for (const auto& header : headers)
            bytes += header.name.size() + header.value.size() + headerOverhead;
        return bytes;
    }

    PeerError toPeerError(http::HttpError error)
    {
        switch (error) {
        case http::HttpError::Unreachable:
            return { PeerErrorCode::Unreachable, "no connection" };
        case http::HttpError::Timeout:
            return { PeerErrorCode::Timeout, "no answer in time" };
        case http::HttpError::Broken:
            return { PeerErrorCode::Timeout, "the connection broke" };
        case http::HttpError::TooLarge:
            return { PeerErrorCode::Refused, "the answer is too large" };
        }
        return {};
    }

    std::string_view nameReason(Freshness freshness)
    {
        if (freshness == Freshness::Replayed)
            return "replayed";
        return freshness == Freshness::Stale ? "stale" : "overloaded";
    }

    EnvelopeAnswer toEnvelope(const PeerResult& result)
    {
        if (result)
            return { .succeeded = true, .result = result->dump() };
        return { .code = result.error().code == PeerErrorCode::UnknownMethod ? unknownMethodCode : handlerErrorCode, .message = result.error().message };
    }

}

HttpPeerNetwork::HttpPeerNetwork(kernel::Loop& usedLoop, kernel::Registry& usedRegistry, PeerOptions usedOptions)
    : loop(usedLoop)
    , registry(usedRegistry)
    , options(std::move(usedOptions))
    , window(readWallClock())
{
}

void HttpPeerNetwork::start()
{
    this->metrics = &this->registry.find<telemetry::Metrics>("metrics");
    this->client = std::make_unique<http::Client>(this->loop, this->options.maximumMessage);
    this->server = std::make_unique<http::Server>(this->loop, http::ServerOptions { .listen = this->options.listen, .maximumBody = refusedAtOnce * this->options.maximumMessage });
    this->server->route(std::string(path), [this](const http::Request& request, const http::Reply& respond) { this->receive(request, respond); });
    this->acceptAs(this->listenAddress());
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

void HttpPeerNetwork::acceptAs(const kernel::Address& address)
{
    this->ownAddresses.insert(kernel::formatAddress(address));
}

void HttpPeerNetwork::countBytes(std::string_view direction, std::size_t bytes)
{
    this->metrics->counter("amaranthhall_peer_bytes_total", "Bytes of calls between daemons and of their answers", { { "direction", direction } }).Increment(static_cast<double>(bytes));
}

void HttpPeerNetwork::call(const kernel::Address& to, std::string_view method, Json parameters, Duration timeout, Reply reply)
{
    if (!this->client || this->inFlight >= this->options.callsInFlight) {
        this->loop.post([reply = std::move(reply)] { reply(tl::unexpected(PeerError { PeerErrorCode::Unreachable, "too many calls in flight" })); });
        return;
    }
    const auto parametersText = parameters.is_null() ? std::string("{}") : parameters.dump();
    http::Request request { .method = "POST", .path = std::string(path), .body = encodeCall(std::string(method), parametersText) };
    Proof proof { .sender = this->options.vm, .recipient = kernel::formatAddress(to), .nonce = makeNonce(), .sent = readWallClock() };
    proof.signature = signCall(this->options.keys.front(), proof, request.body);
    request.headers = writeProof(proof);
    this->countBytes("out", measure(request.headers, request.body));
    this->metrics->counter("amaranthhall_peer_calls_total", "Calls to other daemons", { { "method", method } }).Increment();
    ++this->inFlight;
    this->client->send(to, request, timeout, [this, nonce = proof.nonce, reply = std::move(reply)](const http::HttpResult& result) {
        --this->inFlight;
        if (!result) {
            reply(tl::unexpected(toPeerError(result.error())));
            return;
        }
        this->countBytes("in", measure(result->headers, result->body));
        reply(this->readAnswer(*result, nonce));
    });
}

PeerResult HttpPeerNetwork::readAnswer(const http::Response& response, std::string_view nonce) const
{
    if (response.status == forbidden || response.status == tooLarge)
        return tl::unexpected(PeerError { PeerErrorCode::Refused, "the peer refused the message" });
    if (response.status != okay || !verifyAnswer(this->options.keys, nonce, response.body, http::findHeader(response.headers, signatureHeader)))
        return tl::unexpected(PeerError { PeerErrorCode::Malformed, "the answer is not proved" });
    const auto answer = decodeAnswer(response.body);
    if (!answer.succeeded) {
        if (answer.code == 0)
            return tl::unexpected(PeerError { PeerErrorCode::Malformed, answer.message });
        return tl::unexpected(PeerError { answer.code == unknownMethodCode ? PeerErrorCode::UnknownMethod : PeerErrorCode::Failed, answer.message });
    }
    auto result = Json::parse(answer.result, nullptr, false);
    if (result.is_discarded())
        return tl::unexpected(PeerError { PeerErrorCode::Malformed, "the result is not JSON" });
    return result;
}

void HttpPeerNetwork::refuse(std::string_view reason, const http::Reply& respond, int status)
{
    this->metrics->counter("amaranthhall_peer_refused_total", "Messages of other daemons that were refused", { { "reason", reason } }).Increment();
    telemetry::logEvent(telemetry::LogLevel::Warning, "peer.refused", { { "reason", reason } });
    respond({ .status = status });
}

bool HttpPeerNetwork::admit(const http::Request& request, const Proof& proof)
{
    return verifyCall(this->options.keys, proof, request.body) && this->ownAddresses.contains(proof.recipient);
}

void HttpPeerNetwork::receive(const http::Request& request, const http::Reply& respond)
{
    this->countBytes("in", measure(request.headers, request.body));
    if (request.body.size() > this->options.maximumMessage) {
        this->refuse("oversized", respond, tooLarge);
        return;
    }
    const auto proof = readProof(request.headers);
    if (!this->admit(request, proof)) {
        this->refuse("forged", respond, forbidden);
        return;
    }
    const auto freshness = this->window.admit(proof.nonce, proof.sent, readWallClock());
    if (freshness != Freshness::Fresh) {
        this->refuse(nameReason(freshness), respond, forbidden);
        return;
    }
    const auto call = this->envelope.decodeCall(request.body);
    const auto handler = this->handlers.find(call.method);
    auto parameters = Json::parse(call.parameters, nullptr, false);
    if (!call.valid || handler == this->handlers.end() || parameters.is_discarded()) {
        this->answer(proof, call.refusal, respond);
        return;
    }
    this->metrics->counter("amaranthhall_peer_served_total", "Calls of other daemons", { { "method", call.method } }).Increment();
    handler->second(parameters, [this, proof, callText = request.body, respond](const PeerResult& result) {
        this->answer(proof, this->envelope.encodeAnswer(callText, toEnvelope(result)), respond);
    });
}

void HttpPeerNetwork::answer(const Proof& proof, std::string body, const http::Reply& respond)
{
    auto signature = signAnswer(this->options.keys.front(), proof.nonce, body);
    http::Response response { .headers = { { std::string(signatureHeader), std::move(signature) } }, .body = std::move(body) };
    this->countBytes("out", measure(response.headers, response.body));
    respond(std::move(response));
}

}

#include "amaranthhall/session/caller_session.hpp"

#include <utility>

namespace amaranthhall::session {

namespace {

    bool isLoopback(const std::string& host)
    {
        return host.starts_with("127.") || host == "::1";
    }

}

void CallerSession::received(std::string_view bytes)
{
    if (!this->tls) {
        this->receivePlaintext(bytes);
        return;
    }
    const bool isSound = this->tls->takeCiphertext(bytes);
    this->stream.write(this->tls->takeOutput());
    if (const auto plaintext = this->tls->takePlaintext(); !plaintext.empty())
        this->receivePlaintext(plaintext);
    if (!isSound && !std::exchange(this->isClosing, true))
        this->stream.closeAfterWrite();
}

void CallerSession::send(std::string_view bytes)
{
    if (!this->tls) {
        this->stream.write(bytes);
        return;
    }
    this->tls->addPlaintext(bytes);
    this->stream.write(this->tls->takeOutput());
}

void CallerSession::answerTlsRequest()
{
    if (!this->context.tls || this->tls) {
        this->send("N");
        return;
    }
    // Bytes sent before the handshake could have been put in by someone else.
    if (this->reader.pending() > 0) {
        this->endWithError({ .sqlstate = "08P01", .message = "unencrypted data followed the TLS request" });
        return;
    }
    this->stream.write("S");
    this->tls = std::make_unique<TlsChannel>(*this->context.tls);
}

void CallerSession::beginAuthentication(const StartupMessage& message)
{
    const auto& callers = this->context.settings.callers;
    if (callers.trustLoopback && isLoopback(kernel::peerAddress(this->stream.connection()).host)) {
        this->openSession(message);
        return;
    }
    if (!this->tls) {
        this->endWithError({ .sqlstate = "28000", .message = "password authentication needs TLS" });
        return;
    }
    this->authentication = std::make_unique<Authentication>(message, this->context.settings);
    this->send(Authentication::request());
}

void CallerSession::processPassword(const pgwire::Frame& frame)
{
    if (frame.type != 'p') {
        this->endWithError({ .sqlstate = "08P01", .message = "a password message was expected" });
        return;
    }
    const auto step = this->authentication->take(frame.body);
    if (step.error) {
        this->endWithError(*step.error);
        return;
    }
    this->send(step.frames);
    if (step.isDone) {
        const auto finished = std::move(this->authentication);
        this->openSession(finished->startup());
    }
}

}

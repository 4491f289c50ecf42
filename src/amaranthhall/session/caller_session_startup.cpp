#include "amaranthhall/session/caller_session.hpp"

#include "amaranthhall/session/session_parameters.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace amaranthhall::session {

namespace {

    constexpr auto serverParameters = std::to_array<std::pair<std::string_view, std::string_view>>({
        { "server_version", "15.0" },
        { "server_encoding", "UTF8" },
        { "client_encoding", "UTF8" },
        { "DateStyle", "ISO, MDY" },
        { "IntervalStyle", "postgres" },
        { "TimeZone", "UTC" },
        { "integer_datetimes", "on" },
        { "standard_conforming_strings", "on" },
    });

    std::string quoteLiteral(std::string_view value)
    {
        std::string text = "'";
        for (const char letter : value) {
            text += letter;
            if (letter == '\'')
                text += letter;
        }
        return text + "'";
    }

    std::string quoteName(std::string_view value)
    {
        std::string text = "\"";
        for (const char letter : value) {
            text += letter;
            if (letter == '"')
                text += letter;
        }
        return text + "\"";
    }

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
    if (this->reader.unreadBytes() > 0) {
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

void CallerSession::processStartup(std::string_view body)
{
    const auto message = parseStartup(body);
    if (!message) {
        this->endWithError(message.error());
        return;
    }
    switch (message->kind) {
    case StartupKind::Ssl:
        this->answerTlsRequest();
        break;
    case StartupKind::Gss:
        this->send("N");
        break;
    case StartupKind::Cancel:
        this->owner.cancel(message->cancel);
        this->isClosing = true;
        this->stream.closeAfterWrite();
        break;
    case StartupKind::Session:
        this->beginAuthentication(*message);
        break;
    }
}

void CallerSession::openSession(const StartupMessage& message)
{
    const auto group = resolveGroup(this->context.table.image(), message.database);
    if (!group) {
        this->endWithError(group.error());
        return;
    }
    const auto* service = table::findService(this->context.table.image(), group->service);
    if (service && !this->owner.mayOpen(*service)) {
        this->endWithError({ .sqlstate = "53300", .message = "not run: the service has as many callers on this daemon as its limit allows", .hint = "Come back after 1000 ms." });
        return;
    }
    this->state.group = *group;
    if (const auto error = this->applyParameters(message)) {
        this->endWithError(*error);
        return;
    }
    this->welcome();
}

std::optional<StartupError> CallerSession::applyParameters(const StartupMessage& message)
{
    for (const auto& [name, value] : message.parameters) {
        if (isOwnParameter(name)) {
            if (const auto error = setOwnParameter(this->state, this->context.settings, { .name = name, .value = value }))
                return StartupError { .sqlstate = std::string(error->sqlstate()), .message = std::string(error->message()) };
            continue;
        }
        const bool isKnown = name == "application_name" || name.starts_with("_pq_.") || (name == "client_encoding" && (value == "UTF8" || value == "UTF-8" || value == "utf8" || value == "auto"));
        if (isKnown)
            continue;
        if (name == "replication")
            return StartupError { .sqlstate = "0A000", .message = "replication connections are not supported" };
        this->state.settings.apply({ .kind = statement::StatementKind::Set, .text = "SET " + quoteName(name) + " = " + quoteLiteral(value), .assignment = { .name = name, .value = value } });
    }
    return std::nullopt;
}

void CallerSession::welcome()
{
    this->isStarted = true;
    this->startupTimer.reset();
    this->key = this->owner.makeCancelKey(*this);
    pgwire::FrameWriter writer;
    writer.begin('R');
    writer.addInt32(0);
    writer.end();
    this->authentication.reset();
    for (const auto& [name, value] : serverParameters)
        writer.addParameterStatus(name, value);
    writer.begin('K');
    writer.addInt32(this->key.process);
    writer.addInt32(this->key.secret);
    writer.end();
    writer.addReadyForQuery(this->state.transaction);
    this->send(writer.bytes());
}

}

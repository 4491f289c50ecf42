#include "amaranthhall/standin/upstream_session.hpp"

#include "amaranthhall/pgwire/fields.hpp"
#include "amaranthhall/standin/feed_codec.hpp"
#include "amaranthhall/standin/sql_text.hpp"
#include "amaranthhall/standin/sql_value.hpp"
#include "amaranthhall/standin/upstream_server.hpp"

#include <random>

namespace amaranthhall::standin {

namespace {

    constexpr std::size_t maximumFrameBytes = 64U << 20U;
    constexpr std::int32_t sslRequestCode = 80877103;
    constexpr std::int32_t gssRequestCode = 80877104;
    constexpr std::int32_t cancelRequestCode = 80877102;
    constexpr std::int32_t cleartextPassword = 3;

    std::vector<std::int16_t> readFormats(pgwire::FieldReader& fields)
    {
        std::vector<std::int16_t> formats;
        const auto count = fields.int16().value_or(0);
        for (int i = 0; i < count; ++i)
            formats.push_back(fields.int16().value_or(0));
        return formats;
    }

    std::int16_t formatOf(const std::vector<std::int16_t>& formats, std::size_t index)
    {
        if (formats.empty())
            return 0;
        return formats.size() == 1 ? formats.front() : formats[std::min(index, formats.size() - 1)];
    }

    /// Splits `-c name=value` options.
    std::vector<std::pair<std::string, std::string>> readOptions(const std::string& options)
    {
        std::vector<std::pair<std::string, std::string>> settings;
        std::size_t begin = 0;
        while ((begin = options.find("-c", begin)) != std::string::npos) {
            begin = options.find_first_not_of(' ', begin + 2);
            const auto end = std::min(options.find(' ', begin), options.size());
            const auto setting = begin == std::string::npos ? std::string() : options.substr(begin, end - begin);
            if (const auto sign = setting.find('='); sign != std::string::npos)
                settings.emplace_back(setting.substr(0, sign), setting.substr(sign + 1));
            begin = end;
        }
        return settings;
    }

}

UpstreamSession::UpstreamSession(UpstreamServer& usedServer, kernel::Socket socket)
    : server(usedServer)
    , stream(usedServer.eventLoop(), std::move(socket),
          kernel::ByteStream::Callbacks {
              .received = [this](auto bytes) { this->received(bytes); },
              .closed = [this] {
                  this->phase = Phase::Closed;
                  this->server.drop(*this); },
              .drained = [this] { this->resume(); },
          })
    , reader(maximumFrameBytes)
    , transaction(usedServer)
{
    static std::mt19937 random(std::random_device {}());
    static std::int32_t nextProcess = 1;
    this->processKey = nextProcess++;
    this->secretKey = static_cast<std::int32_t>(random());
    this->stream.pauseReading();
}

UpstreamSession::~UpstreamSession()
{
    if (this->isCounted)
        this->server.connections().giveBack(this->applicationName);
}

void UpstreamSession::start()
{
    this->waitTimer = this->server.eventLoop().after(this->server.settings().connectDelay, [this] { this->stream.resumeReading(); });
}

bool UpstreamSession::hasKeys(std::int32_t process, std::int32_t secret) const noexcept
{
    return this->phase == Phase::Ready && this->processKey == process && this->secretKey == secret;
}

void UpstreamSession::cancel()
{
    if (this->copyIn)
        this->fail(pgwire::makeError("ERROR", "57014", "canceling statement due to user request"));
    else if (this->current)
        this->isCancelled = true;
    this->resume();
}

void UpstreamSession::terminate()
{
    if (this->phase == Phase::Feed || this->phase == Phase::Closed)
        return;
    this->closeNow(pgwire::makeError("FATAL", "57P01", "terminating connection due to administrator command"));
}

void UpstreamSession::closeNow(const pgwire::ErrorFields& error)
{
    this->phase = Phase::Closed;
    this->current.reset();
    this->steps.clear();
    this->portals.clear();
    this->transaction.rollBack();
    this->writer.addErrorFields('E', error);
    this->flush();
    this->stream.closeAfterWrite();
}

void UpstreamSession::received(std::string_view bytes)
{
    this->reader.append(bytes);
    this->resume();
}

void UpstreamSession::resume()
{
    if (std::exchange(this->isResuming, true))
        return;
    const auto held = this->shared_from_this();
    while (this->phase != Phase::Closed) {
        if (this->copyIn) {
            if (!this->processNext())
                break;
            continue;
        }
        if (!this->current && !this->steps.empty()) {
            this->current = std::move(this->steps.front());
            this->steps.pop_front();
            this->stepBegan = this->server.eventLoop().now();
        }
        if (!this->current) {
            if (!this->processNext())
                break;
            continue;
        }
        if ((*this->current)() == Progress::Waiting)
            break;
        this->current.reset();
        this->waitTimer.reset();
    }
    this->isResuming = false;
    this->flush();
}

bool UpstreamSession::processNext()
{
    const bool isTyped = this->phase != Phase::Startup;
    const auto frame = isTyped ? this->reader.nextTyped() : this->reader.nextUntyped();
    if (!frame) {
        this->phase = Phase::Closed;
        this->stream.closeAfterWrite();
        return false;
    }
    if (!*frame)
        return false;
    if (isTyped)
        this->processFrame(**frame);
    else
        this->processStartup((*frame)->body);
    return true;
}

void UpstreamSession::processStartup(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto code = fields.int32().value_or(0);
    switch (code) {
    case sslRequestCode:
    case gssRequestCode:
        this->stream.write("N");
        return;
    case feedStartupCode:
        this->phase = Phase::Feed;
        return;
    case cancelRequestCode: {
        const auto process = fields.int32().value_or(0);
        const auto secret = fields.int32().value_or(0);
        this->phase = Phase::Closed;
        this->stream.closeAfterWrite();
        this->server.cancel(process, secret);
        return;
    }
    default:
        this->takeStartupParameters(fields.rest());
    }
}

void UpstreamSession::takeStartupParameters(std::string_view body)
{
    pgwire::FieldReader fields(body);
    while (const auto name = fields.text()) {
        const auto value = fields.text();
        if (name->empty() || !value)
            break;
        if (*name == "options") {
            for (const auto& [option, setting] : readOptions(std::string(*value)))
                this->parameters.preset(option, setting);
        } else if (*name != "user" && *name != "database") {
            this->parameters.preset(std::string(*name), std::string(*value));
        }
    }
    this->applicationName = this->parameters.find("application_name");
    if (!this->server.connections().take(this->applicationName)) {
        this->closeNow(pgwire::makeError("FATAL", "53300", "sorry, too many clients already"));
        return;
    }
    this->isCounted = true;
    if (this->server.settings().password.empty()) {
        this->welcome();
        return;
    }
    this->phase = Phase::Password;
    this->writer.begin('R');
    this->writer.addInt32(cleartextPassword);
    this->writer.end();
}

void UpstreamSession::welcome()
{
    this->phase = Phase::Ready;
    this->writer.begin('R');
    this->writer.addInt32(0);
    this->writer.end();
    this->reportParameters();
    this->writer.begin('K');
    this->writer.addInt32(this->processKey);
    this->writer.addInt32(this->secretKey);
    this->writer.end();
    this->writer.addReadyForQuery(pgwire::TransactionStatus::Idle);
}

void UpstreamSession::processFrame(const pgwire::Frame& frame)
{
    if (this->phase == Phase::Feed) {
        this->processFeed(frame.body);
        return;
    }
    if (this->phase == Phase::Password) {
        if (frame.type == 'p' && frame.body.substr(0, frame.body.size() - 1) == this->server.settings().password)
            this->welcome();
        else
            this->closeNow(pgwire::makeError("FATAL", "28P01", "password authentication failed"));
        return;
    }
    if (this->copyIn) {
        this->processCopyFrame(frame);
        return;
    }
    if (this->isSkipping && frame.type != 'S' && frame.type != 'X')
        return;
    switch (frame.type) {
    case 'Q':
        this->processQuery(frame.body.substr(0, frame.body.size() - 1));
        break;
    case 'P':
        this->processParse(frame.body);
        break;
    case 'B':
        this->processBind(frame.body);
        break;
    case 'D':
        this->processDescribe(frame.body);
        break;
    case 'E':
        this->processExecute(frame.body);
        break;
    case 'C':
        this->processClose(frame.body);
        break;
    case 'S':
        this->processSync();
        break;
    case 'X':
        this->phase = Phase::Closed;
        this->stream.closeAfterWrite();
        break;
    default: // Flush needs nothing, and COPY messages after an error are to be ignored.
        break;
    }
}

void UpstreamSession::processFeed(std::string_view body)
{
    auto feed = decodeFeed(body);
    if (!feed)
        return;
    this->server.noteFeed();
    const auto due = this->server.eventLoop().now() + this->server.lag().feed;
    this->steps.emplace_back([this, due, feed = std::move(*feed)] {
        const auto now = this->server.eventLoop().now();
        if (now < due)
            return this->waitFor(due - now);
        this->writer.add(feedFrameType, encodeAnswer(this->server.takeFeed(feed)));
        return Progress::Done;
    });
}

void UpstreamSession::processQuery(std::string_view text)
{
    const auto statements = splitStatements(text);
    if (statements.empty())
        this->writer.add('I', "");
    for (const auto statement : statements) {
        auto portal = std::make_shared<Portal>(Portal { .text = std::string(statement), .describes = true });
        this->steps.emplace_back([this, portal] { return this->runPortal(*portal); });
    }
    this->processSync();
}

void UpstreamSession::processParse(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const std::string name(fields.text().value_or(""));
    Prepared statement { .text = std::string(fields.text().value_or("")) };
    const auto count = fields.int16().value_or(0);
    for (int i = 0; i < count; ++i)
        statement.types.push_back(fields.int32().value_or(0));
    if (splitStatements(statement.text).size() > 1) {
        this->fail(pgwire::makeError("ERROR", "42601", "cannot insert multiple commands into a prepared statement"));
        return;
    }
    if (!name.empty() && this->prepared.contains(name)) {
        this->fail(pgwire::makeError("ERROR", "42P05", "prepared statement \"" + name + "\" already exists"));
        return;
    }
    this->prepared[name] = std::move(statement);
    this->writer.add('1', "");
}

void UpstreamSession::processBind(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const std::string portalName(fields.text().value_or(""));
    const std::string statementName(fields.text().value_or(""));
    const auto statement = this->prepared.find(statementName);
    if (statement == this->prepared.end()) {
        this->fail(pgwire::makeError("ERROR", "26000", "prepared statement \"" + statementName + "\" does not exist"));
        return;
    }
    auto portal = std::make_shared<Portal>(Portal { .text = statement->second.text });
    const auto formats = readFormats(fields);
    const auto count = fields.int16().value_or(0);
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
        const auto& types = statement->second.types;
        LoggedParameter parameter { .type = i < types.size() ? types[i] : 0 };
        const auto length = fields.int32().value_or(-1);
        if (length >= 0) {
            const auto bytes = fields.bytes(static_cast<std::size_t>(length)).value_or("");
            parameter.value = formatOf(formats, i) == 1 ? decodeBinary(parameter.type, bytes) : std::string(bytes);
            if (!parameter.value || !isUtf8(*parameter.value)) {
                this->fail(pgwire::makeError("ERROR", parameter.value ? "22021" : "22P03", "a parameter's bytes do not fit its type"));
                return;
            }
        }
        portal->parameters.push_back(std::move(parameter));
    }
    portal->formats = readFormats(fields);
    this->portals[portalName] = std::move(portal);
    this->writer.add('2', "");
}

void UpstreamSession::processDescribe(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto kind = fields.byte().value_or('P');
    const std::string name(fields.text().value_or(""));
    if (kind == 'S') {
        const auto statement = this->prepared.find(name);
        if (statement == this->prepared.end())
            this->fail(pgwire::makeError("ERROR", "26000", "prepared statement \"" + name + "\" does not exist"));
        else
            this->steps.emplace_back([this, described = statement->second] { return this->describeStatement(described); });
        return;
    }
    const auto portal = this->portals.find(name);
    if (portal == this->portals.end()) {
        this->fail(pgwire::makeError("ERROR", "34000", "portal \"" + name + "\" does not exist"));
        return;
    }
    this->steps.emplace_back([this, described = portal->second] {
        if (this->beginPortal(*described) == Progress::Waiting)
            return Progress::Waiting;
        if (!this->isSkipping)
            this->describePortal(*described);
        return Progress::Done;
    });
}

void UpstreamSession::processExecute(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const std::string name(fields.text().value_or(""));
    const auto portal = this->portals.find(name);
    if (portal == this->portals.end()) {
        this->fail(pgwire::makeError("ERROR", "34000", "portal \"" + name + "\" does not exist"));
        return;
    }
    this->steps.emplace_back([this, running = portal->second] { return this->runPortal(*running); });
}

void UpstreamSession::processClose(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto kind = fields.byte().value_or('P');
    const std::string name(fields.text().value_or(""));
    if (kind == 'S')
        this->prepared.erase(name);
    else
        this->portals.erase(name);
    this->writer.add('3', "");
}

void UpstreamSession::processSync()
{
    this->steps.emplace_back([this] { return this->finishTransaction(); });
}

void UpstreamSession::processCopyFrame(const pgwire::Frame& frame)
{
    switch (frame.type) {
    case 'd':
        this->copyBuffer.append(frame.body);
        this->addCopyLines(false);
        break;
    case 'c':
        this->addCopyLines(true);
        if (this->copyIn)
            this->endCopyIn();
        break;
    case 'f':
        this->fail(pgwire::makeError("ERROR", "57014", "COPY from stdin failed: " + std::string(frame.body.substr(0, frame.body.size() - 1))));
        break;
    case 'X':
        this->phase = Phase::Closed;
        this->stream.closeAfterWrite();
        break;
    default: // Flush and Sync are to be ignored here.
        break;
    }
}

void UpstreamSession::flush()
{
    if (this->writer.empty())
        return;
    this->stream.write(this->writer.bytes());
    this->writer.clear();
}

}

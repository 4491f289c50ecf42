#include "amaranthhall/session/caller_session.hpp"

#include "amaranthhall/pgwire/fields.hpp"
#include "amaranthhall/session/caller_listener.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    constexpr std::size_t maximumFrameBytes = 64U << 20U;
    constexpr std::int32_t protocolVersion = 196608;
    constexpr std::int32_t sslRequestCode = 80877103;
    constexpr std::int32_t gssRequestCode = 80877104;

    bool isRead(const std::vector<statement::Classification>& statements)
    {
        return std::all_of(statements.begin(), statements.end(), [](const auto& item) { return item.kind == statement::StatementKind::Read; });
    }

}

CallerSession::CallerSession(kernel::Loop& usedLoop, kernel::Registry& registry, CallerListener& usedOwner, kernel::Socket socket)
    : loop(usedLoop)
    , owner(usedOwner)
    , table(registry.find<table::TableSource>("table"))
    , dispatcher(registry.find<upstream::Dispatcher>("dispatch"))
    , confirmer(registry.find<upstream::Confirmer>("confirm"))
    , stream(usedLoop, std::move(socket),
          kernel::ByteStream::Callbacks {
              .received = [this](auto bytes) { this->received(bytes); },
              .closed = [this] { this->owner.remove(*this); },
          })
    , reader(maximumFrameBytes)
{
}

void CallerSession::received(std::string_view bytes)
{
    this->reader.append(bytes);
    this->processFrames();
}

void CallerSession::processFrames()
{
    while (!this->isBusy) {
        const auto frame = this->isStarted ? this->reader.nextTyped() : this->reader.nextUntyped();
        if (!frame) {
            this->refuseStartup("08P01", "the message is malformed");
            break;
        }
        if (!*frame)
            break;
        if (!this->isStarted)
            this->processStartup((*frame)->body);
        else if ((*frame)->type == 'Q')
            this->processQuery((*frame)->body.substr(0, (*frame)->body.size() - 1));
        else if ((*frame)->type == 'X')
            this->stream.closeAfterWrite();
    }
    this->flush();
}

void CallerSession::refuseStartup(std::string_view sqlstate, std::string_view message)
{
    this->writer.addErrorFields('E', pgwire::makeError("FATAL", sqlstate, message));
    this->flush();
    this->stream.closeAfterWrite();
}

void CallerSession::processStartup(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto code = fields.int32().value_or(0);
    if (code == sslRequestCode || code == gssRequestCode) {
        this->stream.write("N");
        return;
    }
    if (code != protocolVersion) {
        this->refuseStartup("0A000", "only protocol 3.0 is supported");
        return;
    }
    std::string database;
    while (!fields.atEnd()) {
        const auto name = fields.text().value_or("");
        const auto value = fields.text().value_or("");
        if (name == "database")
            database = value;
    }
    const auto colon = database.find(':');
    this->group.service = database.substr(0, colon);
    this->group.instance = colon == std::string::npos ? "1" : database.substr(colon + 1);
    const auto* service = table::findService(this->table.image(), this->group.service);
    if (!service) {
        this->refuseStartup("3D000", "the service \"" + this->group.service + "\" does not exist");
        return;
    }
    this->welcome();
}

void CallerSession::welcome()
{
    this->isStarted = true;
    this->writer.begin('R');
    this->writer.addInt32(0);
    this->writer.end();
    this->writer.addParameterStatus("server_version", "15.0");
    this->writer.addParameterStatus("client_encoding", "UTF8");
    this->writer.addParameterStatus("standard_conforming_strings", "on");
    this->writer.addReady(this->transaction);
}

void CallerSession::processQuery(std::string_view text)
{
    const auto* service = table::findService(this->table.image(), this->group.service);
    if (!service) {
        this->refuseStartup("57P01", "the service has been removed");
        return;
    }
    this->isBusy = true;
    this->statements = statement::classify(text, service->safeFunctions);
    this->isWrite = !isRead(this->statements);
    this->deadline = this->loop.now() + service->statementDeadline;
    if (this->assignment.lease) {
        this->runOn(std::move(this->assignment));
        return;
    }
    const upstream::WorkRequest work {
        .group = this->group,
        .need = this->isWrite ? upstream::Need::Primary : upstream::Need::Read,
        .barrier = !this->isWrite,
        .deadline = this->loop.now() + service->queueDeadline,
    };
    this->ticket = this->dispatcher.request(work, [this](auto result) { this->runOn(std::move(result)); });
}

void CallerSession::runOn(upstream::AssignmentResult result)
{
    if (!result) {
        this->writer.addErrorFields('E', pgwire::makeError("ERROR", result.error().sqlstate, result.error().message));
        this->finishQuery();
        return;
    }
    this->assignment = std::move(*result);
    upstream::Batch batch { .withPosition = this->isWrite };
    for (const auto& item : this->statements)
        batch.queries.push_back({ .text = item.text });
    this->assignment.lease->run(batch, *this);
}

void CallerSession::finishQuery()
{
    this->writer.addReady(this->transaction);
    this->flush();
    this->isBusy = false;
    this->loop.post([held = this->weak_from_this()] {
        if (const auto session = held.lock())
            session->processFrames();
    });
}

void CallerSession::flush()
{
    if (this->writer.empty())
        return;
    this->stream.write(this->writer.bytes());
    this->writer.clear();
}

void CallerSession::onParameterTypes(std::size_t, std::span<const std::uint32_t>)
{
}

void CallerSession::onColumns(std::size_t, std::span<const pgwire::Column> columns)
{
    this->writer.addRowDescription(columns);
}

void CallerSession::onRow(std::size_t, std::span<const pgwire::Value> values)
{
    this->writer.addDataRow(values);
}

void CallerSession::onCompleted(std::size_t, std::string_view tag)
{
    this->writer.addCommandComplete(tag);
}

void CallerSession::onError(std::size_t, const pgwire::ErrorFields& error)
{
    this->writer.addErrorFields('E', error);
}

void CallerSession::onNotice(const pgwire::ErrorFields& notice)
{
    this->writer.addErrorFields('N', notice);
}

void CallerSession::onParameterStatus(std::string_view name, std::string_view value)
{
    this->writer.addParameterStatus(name, value);
}

void CallerSession::onCopyIn(std::size_t, std::span<const std::int16_t>, std::int16_t)
{
}

void CallerSession::onCopyOut(std::size_t, std::span<const std::int16_t>, std::int16_t)
{
}

void CallerSession::onCopyData(std::size_t, std::string_view)
{
}

void CallerSession::onEnd(const upstream::BatchEnd& end)
{
    if (end.lost) {
        this->assignment.lease.discard();
        this->transaction = pgwire::TransactionStatus::Idle;
        this->writer.clear();
        this->writer.addErrorFields('E', pgwire::makeError("ERROR", "08007", "outcome unknown: the connection to the upstream broke"));
        this->finishQuery();
        return;
    }
    this->transaction = end.transaction;
    if (this->transaction != pgwire::TransactionStatus::Idle) {
        this->finishQuery();
        return;
    }
    const auto writerId = this->assignment.upstream;
    this->assignment.lease.release();
    if (!this->isWrite || !end.status) {
        this->finishQuery();
        return;
    }
    this->confirmer.confirm(writerId, end.status->last, this->deadline, [held = this->weak_from_this()](auto confirmation) {
        const auto session = held.lock();
        if (!session)
            return;
        if (confirmation != upstream::Confirmation::Confirmed) {
            session->writer.clear();
            session->writer.addErrorFields('E', pgwire::makeError("ERROR", "08007", "outcome unknown: no second upstream confirmed the write in time"));
        }
        session->finishQuery();
    });
}

}

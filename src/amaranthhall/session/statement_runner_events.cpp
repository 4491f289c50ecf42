#include "amaranthhall/session/statement_runner.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    constexpr std::size_t giveBytes = 16384;
    constexpr std::size_t backlogBytes = 262144;
    constexpr std::size_t heldBytes = 16U << 20U; // bounds what a caller can make the daemon hold

    void addCopyBegin(pgwire::FrameWriter& writer, char type, std::span<const std::int16_t> columnFormats, std::int16_t format)
    {
        writer.begin(type);
        writer.addByte(static_cast<char>(format));
        writer.addInt16(static_cast<std::int16_t>(columnFormats.size()));
        for (const auto column : columnFormats)
            writer.addInt16(column);
        writer.end();
    }

}

void StatementRunner::giveReady()
{
    if (this->answer.pending() > heldBytes) {
        this->attempt->abandon();
        this->context.keepUntilEnd(this->attempt);
        this->state.assignment.lease->cancel();
        this->judge({ .lost = true, .sent = true }, "54000");
        return;
    }
    if (!this->answer.mayGive() || this->answer.frames().bytes().size() < giveBytes)
        return;
    this->client.give(this->answer.take());
    if (this->client.backlog() > backlogBytes && !this->readingPaused) {
        this->readingPaused = true;
        this->state.assignment.lease->pauseReading();
    }
}

void StatementRunner::resumeReading()
{
    if (!std::exchange(this->readingPaused, false) || !this->state.assignment.lease)
        return;
    this->state.assignment.lease->resumeReading();
}

bool StatementRunner::sendCopyData(std::string_view data) const
{
    return this->state.assignment.lease->sendCopyData(data);
}

void StatementRunner::endCopy(const std::optional<std::string>& reason)
{
    this->copyingIn = false;
    this->state.assignment.lease->endCopy(reason);
}

bool StatementRunner::resumePortal(const std::string& portal, std::int32_t rowLimit, std::string& frames)
{
    if (!this->answer.suspended().contains(portal))
        return false;
    this->answer.resume(portal, rowLimit);
    frames += this->answer.take();
    return true;
}

void StatementRunner::cancel()
{
    if (this->phase == Phase::Waiting)
        this->refuse({ .sqlstate = "57014", .message = "canceling statement due to user request" });
    else if (this->phase == Phase::Main && this->state.assignment.lease)
        this->state.assignment.lease->cancel();
}

void StatementRunner::expire()
{
    if (this->phase == Phase::Idle)
        return;
    if (this->phase == Phase::Waiting) {
        this->refuse({ .sqlstate = "57014", .message = "the statement's deadline passed while it waited" });
        return;
    }
    if (this->phase == Phase::Confirming) {
        this->confirmed(upstream::Confirmation::TimedOut, {});
        return;
    }
    this->deadline = std::min(this->deadline, this->context.loop.now());
    this->attempt->abandon();
    this->context.keepUntilEnd(this->attempt);
    this->state.assignment.lease->cancel();
    this->judge({ .lost = true, .sent = true }, "57014");
}

void StatementRunner::abandon()
{
    ++this->generation;
    this->phase = Phase::Idle;
    this->timer.reset();
    this->pause.reset();
    this->ticket.reset();
    if (this->attempt && !this->attempt->hasEnded()) {
        this->attempt->abandon();
        this->context.keepUntilEnd(this->attempt);
        if (this->state.assignment.lease)
            this->state.assignment.lease->cancel();
    }
    this->state.assignment.lease.discard();
}

void StatementRunner::onParameterTypes(std::size_t query, std::span<const std::uint32_t> types)
{
    if (this->phase == Phase::Main && query >= this->offset)
        this->answer.addParameterTypes(query - this->offset, types);
}

void StatementRunner::onColumns(std::size_t query, std::span<const pgwire::Column> columns)
{
    if (this->phase == Phase::Main && query >= this->offset && query - this->offset < this->work.steps.size())
        this->answer.addColumns(query - this->offset, columns);
}

void StatementRunner::onRow(std::size_t query, std::span<const pgwire::Value> values)
{
    if (this->phase == Phase::KeyOpening && values.size() == 2) {
        this->state.key.recorded = KeyRecord { .digests = splitLines(values[0].value_or("")), .tags = splitLines(values[1].value_or("")) };
        return;
    }
    if (this->phase != Phase::Main || query < this->offset || query - this->offset >= this->work.steps.size())
        return;
    this->answer.addRow(query - this->offset, values);
    this->giveReady();
}

void StatementRunner::onCompleted(std::size_t query, std::string_view tag)
{
    if (this->phase != Phase::Main || query < this->offset || query - this->offset >= this->work.steps.size())
        return;
    const auto step = query - this->offset;
    this->completed = step + 1;
    const auto& finished = this->work.steps[step];
    if (runs(finished) && finished.statement.kind == statement::StatementKind::Commit)
        this->transactionCommitted = tag != "ROLLBACK";
    if (runs(finished) && finished.statement.kind == statement::StatementKind::Rollback)
        this->transactionCommitted = false;
    if (std::exchange(this->copyingOut, false))
        this->answer.frames().add('c', "");
    this->recordStep(step, tag);
    this->answer.addCompletion(step, tag);
}

void StatementRunner::onError(std::size_t query, const pgwire::ErrorFields& fields)
{
    if (this->error)
        return;
    this->error = fields;
    this->errorStep = query >= this->offset ? query - this->offset : 0;
}

void StatementRunner::onNotice(const pgwire::ErrorFields& notice)
{
    if (this->phase == Phase::Main)
        this->answer.frames().addErrorFields('N', notice);
}

void StatementRunner::onParameterStatus(std::string_view name, std::string_view value)
{
    if (this->phase == Phase::Main)
        this->answer.frames().addParameterStatus(name, value);
}

void StatementRunner::onCopyIn(std::size_t, std::span<const std::int16_t> columnFormats, std::int16_t format)
{
    this->copyingIn = true;
    addCopyBegin(this->answer.frames(), 'G', columnFormats, format);
    this->client.give(this->answer.take());
}

void StatementRunner::onCopyReady()
{
    this->client.copyReady();
}

void StatementRunner::onCopyOut(std::size_t, std::span<const std::int16_t> columnFormats, std::int16_t format)
{
    this->copyingOut = true;
    addCopyBegin(this->answer.frames(), 'H', columnFormats, format);
}

void StatementRunner::onCopyData(std::size_t, std::string_view data)
{
    this->answer.frames().add('d', data);
    this->giveReady();
}

void StatementRunner::onEnd(const upstream::BatchEnd& end)
{
    const auto held = this->shared_from_this();
    switch (this->phase) {
    case Phase::Settings:
        if (end.lost || this->error)
            this->judge({ .lost = true }, this->error ? this->error->sqlstate() : "");
        else
            this->proceed();
        break;
    case Phase::KeyTable:
        this->error.reset();
        if (end.lost) {
            this->judge({ .lost = true }, "");
        } else {
            this->context.keyTables.insert(this->state.group);
            this->openKey();
        }
        break;
    case Phase::KeyOpening:
        this->finishKeyOpening(end);
        break;
    case Phase::KeyRollback:
        if (end.lost)
            this->returnLease(false);
        this->settle({ .lost = end.lost, .transaction = pgwire::TransactionStatus::Idle });
        break;
    case Phase::KeyReplay:
        this->finishKeyReplay(end);
        break;
    case Phase::Main:
        this->finishMain(end);
        break;
    case Phase::KeyClosing:
        this->finishKeyClosing(end);
        break;
    default:
        break;
    }
}

}

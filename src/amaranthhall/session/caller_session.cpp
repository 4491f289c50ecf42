#include "amaranthhall/session/caller_session.hpp"

#include "amaranthhall/session/refused_kinds.hpp"
#include "amaranthhall/session/session_parameters.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <array>

namespace amaranthhall::session {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maximumFrameBytes = 64U << 20U;
    constexpr std::size_t maximumStartupBytes = 10000;
    constexpr std::size_t pendingBytes = 1U << 20U; // what may pile up while a statement runs
    constexpr auto startupTimeout = 10s;

}

CallerSession::CallerSession(SessionContext& usedContext, SessionOwner& usedOwner, kernel::Socket socket)
    : context(usedContext)
    , owner(usedOwner)
    , stream(usedContext.loop, std::move(socket),
          kernel::ByteStream::Callbacks {
              .received = [this](auto bytes) { this->received(bytes); },
              .closed = [this] { this->closed(); },
              .drained = [this] {
                  if (this->runner)
                      this->runner->resumeReading(); },
          })
    , reader(maximumFrameBytes)
{
    this->context.metrics.open.Increment();
}

CallerSession::~CallerSession()
{
    this->context.metrics.open.Decrement();
    this->giveUpWork();
}

void CallerSession::start()
{
    this->startupTimer = this->context.loop.after(startupTimeout, [this] { this->endWithError({ .sqlstate = "08P01", .message = "the session was not started in time" }); });
}

void CallerSession::cancel()
{
    if (this->isBusy && this->runner)
        this->runner->cancel();
}

void CallerSession::drain()
{
    this->isDraining = true;
    this->closeIfDraining();
}

bool CallerSession::cut()
{
    const bool hasWork = this->isBusy || this->state.transaction != pgwire::TransactionStatus::Idle;
    this->giveUpWork();
    this->endWithError({ .sqlstate = "57P01", .message = "terminating connection due to administrator command" });
    return hasWork;
}

void CallerSession::giveUpWork()
{
    if (this->runner)
        this->runner->abandon();
    this->state.assignment.lease.discard();
}

void CallerSession::closeIfDraining()
{
    const bool isAtBoundary = !this->isBusy && !this->isSkipping && this->state.transaction == pgwire::TransactionStatus::Idle && this->reader.unreadBytes() == 0 && (!this->extended || this->extended->empty());
    if (this->isDraining && isAtBoundary && !this->isClosing)
        this->endWithError({ .sqlstate = "57P01", .message = "terminating connection due to administrator command" });
}

void CallerSession::closed()
{
    this->isClosing = true;
    this->startupTimer.reset();
    this->giveUpWork();
    this->owner.remove(*this);
}

void CallerSession::endWithError(const StartupError& error)
{
    if (std::exchange(this->isClosing, true))
        return;
    this->startupTimer.reset();
    auto fields = pgwire::makeError("FATAL", error.sqlstate, error.message);
    if (!error.hint.empty())
        fields.fields.push_back({ 'H', error.hint });
    pgwire::FrameWriter writer;
    writer.addErrorFields('E', fields);
    this->send(writer.bytes());
    this->stream.closeAfterWrite();
}

void CallerSession::receivePlaintext(std::string_view bytes)
{
    this->reader.append(bytes);
    this->processFrames();
    if (this->isBusy && this->reader.unreadBytes() > pendingBytes)
        this->stream.pauseReading();
}

void CallerSession::processFrames()
{
    const auto held = this->shared_from_this();
    while (!this->isClosing && (!this->isBusy || (this->runner && this->runner->isCopyingIn() && !this->isCopyBlocked))) {
        const auto frame = this->isStarted || this->authentication ? this->reader.nextTyped() : this->reader.nextUntyped();
        if (!frame) {
            const bool isOversized = frame.error() == pgwire::WireError::Oversized;
            this->endWithError({ .sqlstate = "08P01", .message = isOversized ? "the message is too long" : "the message is malformed" });
            return;
        }
        if (!*frame && !this->isStarted && this->reader.unreadBytes() > maximumStartupBytes) {
            this->endWithError({ .sqlstate = "08P01", .message = "the startup message is too long" });
            return;
        }
        if (!*frame)
            break;
        if (this->authentication)
            this->processPassword(**frame);
        else if (!this->isStarted)
            this->processStartup((*frame)->body);
        else
            this->processFrame(**frame);
    }
    if (this->isClosing)
        return;
    if (!this->isBusy) {
        this->stream.resumeReading();
        this->releaseMemory();
    }
    this->closeIfDraining();
}

// An idle caller keeps no buffer and no state of a query.
void CallerSession::releaseMemory()
{
    if (!this->isStarted || this->reader.unreadBytes() > 0)
        return;
    this->reader = pgwire::FrameReader(maximumFrameBytes);
    if (this->extended && this->extended->isDisposable())
        this->extended.reset();
    if (this->runner && !this->runner->hasPortals())
        this->runner.reset();
}

void CallerSession::processFrame(const pgwire::Frame& frame)
{
    this->receivedAt = this->context.loop.now();
    switch (frame.type) {
    case 'X':
        this->isClosing = true;
        this->stream.closeAfterWrite();
        break;
    case 'd':
    case 'c':
    case 'f':
        if (this->isBusy)
            this->processCopyData(frame);
        break;
    case 'S':
        this->sync();
        break;
    case 'Q':
        if (this->isSkipping)
            break;
        if (frame.body.empty() || frame.body.back() != '\0')
            this->endWithError({ .sqlstate = "08P01", .message = "the message is malformed" });
        else
            this->processQuery(frame.body.substr(0, frame.body.size() - 1));
        break;
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'H':
        if (!this->isSkipping)
            this->processExtended(frame);
        break;
    default:
        this->endWithError({ .sqlstate = "08P01", .message = "the message type is unknown" });
        break;
    }
}

std::span<const std::string> CallerSession::safeFunctions() const noexcept
{
    const auto* service = table::findService(this->context.table.image(), this->state.group.service);
    return service ? std::span<const std::string>(service->safeFunctions) : std::span<const std::string>();
}

ExtendedQuery& CallerSession::extendedQuery()
{
    if (!this->extended)
        this->extended = std::make_unique<ExtendedQuery>();
    return *this->extended;
}

tl::expected<std::optional<std::string>, pgwire::ErrorFields> CallerSession::answerLocally(const statement::Classification& statement)
{
    using statement::StatementKind;
    const bool inTransaction = this->state.transaction != pgwire::TransactionStatus::Idle;
    if (auto refused = refuseKind(statement, inTransaction))
        return tl::unexpected(std::move(*refused));
    pgwire::FrameWriter writer;
    if (statement.kind == StatementKind::Empty) {
        writer.add('I', "");
        return writer.bytes();
    }
    if (statement.kind == StatementKind::Set && statement.assignment.name == "all")
        this->state.maxStale.reset();
    if (!isOwnStatement(statement))
        return std::nullopt;
    if (statement.kind == StatementKind::Deallocate) {
        if (this->extended)
            this->extended->deallocate(statement.preparedName);
        writer.addCommandComplete(statement.preparedName.empty() ? "DEALLOCATE ALL" : "DEALLOCATE");
    } else if (statement.kind == StatementKind::Set) {
        if (auto refused = setOwnParameter(this->state, this->context.settings, statement.assignment))
            return tl::unexpected(std::move(*refused));
        writer.addCommandComplete(statement.assignment.isReset ? "RESET" : "SET");
    } else {
        const auto value = showOwnParameter(this->state, this->context.settings, statement.assignment.name);
        const std::array<pgwire::Column, 1> columns { { { .name = statement.assignment.name } } };
        const std::array<pgwire::Value, 1> values { value };
        writer.addRowDescription(columns);
        writer.addDataRow(values);
        writer.addCommandComplete("SHOW");
    }
    return writer.bytes();
}

void CallerSession::processQuery(std::string_view text)
{
    this->isSimple = true;
    const auto statements = this->context.classifier.classify(text, this->safeFunctions());
    Work work;
    std::string frames;
    bool inTransaction = this->state.transaction != pgwire::TransactionStatus::Idle;
    for (const auto& item : *statements) {
        if (auto refused = refuseKind(item, inTransaction)) {
            this->failStatement(*refused);
            return;
        }
        inTransaction = inTransaction || item.kind == statement::StatementKind::Begin;
    }
    for (const auto& item : *statements) {
        const bool isChecked = item.kind == statement::StatementKind::SessionState;
        const auto local = isChecked ? tl::expected<std::optional<std::string>, pgwire::ErrorFields>() : this->answerLocally(item);
        if (!local) {
            this->failStatement(local.error());
            return;
        }
        if (*local) {
            frames += **local;
            continue;
        }
        work.isCopy = work.isCopy || item.kind == statement::StatementKind::Copy;
        work.steps.push_back({ .query = { .text = item.text }, .statement = item, .prefix = std::exchange(frames, {}), .describesRows = true });
    }
    if (work.isCopy && statements->size() > 1) {
        this->failStatement(pgwire::makeError("ERROR", "0A000", "not run: COPY is supported as the only statement of a query"));
        return;
    }
    work.suffix = std::move(frames);
    this->awaitsSync = true;
    this->startWork(std::move(work));
}

void CallerSession::startWork(Work work)
{
    if (work.steps.empty()) {
        this->give(work.suffix);
        if (this->awaitsSync)
            this->endCycle();
        return;
    }
    if (this->state.transaction == pgwire::TransactionStatus::Failed && !this->state.assignment.lease) {
        this->finishFailedTransaction(work);
        return;
    }
    this->isBusy = true;
    if (!this->runner)
        this->runner = std::make_shared<StatementRunner>(this->context, this->state, static_cast<RunnerClient&>(*this));
    this->runner->start(std::move(work), this->receivedAt);
}

// The upstream has rolled the transaction back already, with the connection on which it ran.
void CallerSession::finishFailedTransaction(const Work& work)
{
    const auto kind = work.steps.front().statement.kind;
    if (kind != statement::StatementKind::Rollback && kind != statement::StatementKind::Commit) {
        this->failStatement(pgwire::makeError("ERROR", "25P02", "not run: current transaction is aborted, commands ignored until end of transaction block"));
        return;
    }
    this->state.transaction = pgwire::TransactionStatus::Idle;
    this->state.settings.endTransaction(false);
    this->state.key = {};
    pgwire::FrameWriter writer;
    writer.addBytes(work.steps.front().prefix);
    if (runs(work.steps.front()))
        writer.addCommandComplete("ROLLBACK");
    writer.addBytes(work.suffix);
    this->give(writer.bytes());
    if (this->awaitsSync)
        this->endCycle();
}

void CallerSession::failStatement(const pgwire::ErrorFields& error)
{
    pgwire::FrameWriter writer;
    writer.addErrorFields('E', error);
    this->give(writer.bytes());
    this->context.metrics.notRun.Increment();
    if (this->state.transaction != pgwire::TransactionStatus::Idle) {
        this->state.transaction = pgwire::TransactionStatus::Failed;
        this->state.wrote = false;
        this->state.assignment.lease.discard();
    }
    if (this->extended)
        this->extended->dropWork();
    if (this->isSimple)
        this->endCycle();
    else
        this->isSkipping = true;
}

void CallerSession::endCycle()
{
    this->awaitsSync = false;
    this->isSkipping = false;
    if (this->state.transaction == pgwire::TransactionStatus::Idle) {
        this->isWrapped = false;
        if (this->extended)
            this->extended->closePortals();
        if (this->runner)
            this->runner->closePortals();
    }
    pgwire::FrameWriter writer;
    writer.addReadyForQuery(this->state.transaction);
    this->give(writer.bytes());
}

void CallerSession::give(std::string_view frames)
{
    if (!frames.empty() && !this->isClosing)
        this->send(frames);
}

std::size_t CallerSession::backlog() const noexcept
{
    return this->stream.buffered();
}

void CallerSession::workDone(bool succeeded)
{
    this->isBusy = false;
    this->isCopyBlocked = false;
    if (!succeeded && !this->isSimple && this->extended)
        this->extended->dropWork();
    if (this->awaitsSync && this->isWrapped)
        this->endWrappedTransaction();
    if (this->awaitsSync)
        this->endCycle();
    else if (!succeeded)
        this->isSkipping = true;
    this->context.loop.post([held = this->weak_from_this()] {
        if (const auto session = held.lock())
            session->processFrames();
    });
}

}

#include "amaranthhall/session/statement_runner.hpp"

#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/session/session_token.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    using namespace std::chrono_literals;

    constexpr auto comeBackAfter = 1000ms;

}

pgwire::ErrorFields makeRefusalError(const upstream::Refusal& refusal)
{
    const bool isUnknown = refusal.verdict == upstream::Verdict::OutcomeUnknown;
    const std::string_view prefix = isUnknown ? "outcome unknown: " : "not run: ";
    const auto message = refusal.message.starts_with(prefix) ? refusal.message : std::string(prefix) + refusal.message;
    auto error = pgwire::makeError("ERROR", refusal.sqlstate, message);
    if (refusal.retryAfter > 0ms)
        error.fields.push_back({ 'H', "Come back after " + std::to_string(refusal.retryAfter.count()) + " ms." });
    return error;
}

StatementRunner::StatementRunner(SessionContext& usedContext, SessionState& usedState, RunnerClient& usedClient)
    : context(usedContext)
    , state(usedState)
    , client(usedClient)
    , trace(usedContext.tracer)
{
}

void StatementRunner::start(Work usedWork, Time usedReceived)
{
    this->work = std::move(usedWork);
    this->received = usedReceived;
    this->trace.begin(this->work);
    ++this->generation;
    this->retries = 0;
    this->keyTableMade = false;
    this->needsPrimary = false;
    this->keyed = false;
    this->writes = changesData(this->work);
    for (const auto& step : this->work.steps)
        this->context.metrics.countStatement(step.statement.kind);
    const auto* service = table::findService(this->context.table.image(), this->state.group.service);
    if (!service) {
        this->deadline = this->received;
        this->refuse({ .sqlstate = "57P01", .message = "the service has been removed from the table" });
        return;
    }
    this->deadline = this->received + service->statementDeadline;
    this->timer = this->context.loop.after(std::max<Duration>(this->deadline - this->context.loop.now(), 0ms), [this] { this->expire(); });
    if (this->mixesKeyedTransaction()) {
        this->answer.begin(this->work, false);
        this->refuse({ .sqlstate = "0A000", .message = "BEGIN, COMMIT and ROLLBACK are sent by themselves in a transaction with a request key" });
        return;
    }
    if (this->state.key.recorded) {
        this->answer.begin(this->work, false);
        this->error.reset();
        this->replay();
        return;
    }
    this->acquire();
}

std::chrono::milliseconds StatementRunner::allowedAge() const
{
    const auto* service = table::findService(this->context.table.image(), this->state.group.service);
    const auto limit = service ? service->maxStale : 0ms;
    return this->state.maxStale ? std::min(*this->state.maxStale, limit) : limit;
}

void StatementRunner::acquire()
{
    const bool isAtEnd = this->state.transaction == pgwire::TransactionStatus::Idle || mayCommit(this->work);
    this->answer.begin(this->work, (this->writes || this->state.wrote) && isAtEnd);
    this->completed = 0;
    this->error.reset();
    this->transactionCommitted.reset();
    if (this->state.assignment.lease) {
        this->runMain();
        return;
    }
    this->phase = Phase::Waiting;
    const auto* service = table::findService(this->context.table.image(), this->state.group.service);
    if (!service || !this->context.table.mayTakeWork(this->state.group.service)) {
        this->refuse({ .sqlstate = "57P03", .message = "this daemon takes no new work for the service now", .retryAfter = comeBackAfter });
        return;
    }
    this->trace.enterHop("dispatch.queue");
    const auto age = this->allowedAge();
    const bool isRead = isReadOnly(this->work) && !this->needsPrimary;
    const upstream::WorkRequest request {
        .group = this->state.group,
        .need = isRead ? upstream::Need::Read : upstream::Need::Primary,
        .atLeast = this->state.seen,
        .barrier = !this->state.seen && age == 0ms && (isRead || runsKind(this->work, statement::StatementKind::Begin)),
        .maxStale = age,
        .deadline = std::min<Time>(this->context.loop.now() + service->queueDeadline, this->deadline),
    };
    this->ticket = this->context.dispatcher.request(request, [held = this->weak_from_this(), number = this->generation](auto result) {
        const auto runner = held.lock();
        if (runner && runner->generation == number)
            runner->granted(std::move(result));
    });
}

void StatementRunner::granted(upstream::AssignmentResult result)
{
    this->ticket.reset();
    if (!result) {
        this->refuse(result.error());
        return;
    }
    this->context.metrics.queued.Observe(std::chrono::duration<double>(this->context.loop.now() - this->received).count());
    this->state.assignment = std::move(*result);
    if (this->state.settings.empty()) {
        this->proceed();
        return;
    }
    upstream::Batch batch;
    for (auto& text : this->state.settings.statements())
        batch.queries.push_back({ .text = std::move(text) });
    this->run(Phase::Settings, batch);
}

void StatementRunner::proceed()
{
    if (this->usesKey())
        this->openKey();
    else
        this->runMain();
}

void StatementRunner::run(Phase next, const upstream::Batch& batch)
{
    this->phase = next;
    this->attempt = std::make_shared<Attempt>(static_cast<upstream::ResultSink&>(*this));
    const auto held = this->attempt;
    this->trace.enterHop(next == Phase::Main ? "upstream.execute" : "upstream.prepare");
    this->trace.tagHop("upstream", group::formatId(this->state.assignment.upstream));
    this->state.assignment.lease->run(batch, *held);
}

void StatementRunner::runMain()
{
    if (this->work.isCopy) {
        this->runCopy();
        return;
    }
    const bool isAtEnd = this->state.transaction == pgwire::TransactionStatus::Idle || mayCommit(this->work);
    upstream::Batch batch { .withPosition = (this->writes || this->state.wrote) && isAtEnd && !this->keyed };
    this->offset = 0;
    if (this->state.key.isOpen && runsKind(this->work, statement::StatementKind::Commit)) {
        batch.queries.push_back(makeKeyRecording(this->state.key.key, this->state.key.done));
        this->offset = 1;
    }
    for (const auto& step : this->work.steps)
        batch.queries.push_back(step.query);
    this->run(Phase::Main, batch);
}

void StatementRunner::runCopy()
{
    this->phase = Phase::Main;
    this->offset = 0;
    this->attempt = std::make_shared<Attempt>(static_cast<upstream::ResultSink&>(*this));
    const auto held = this->attempt;
    this->state.assignment.lease->runCopy(this->work.steps.front().query.text, *held);
}

bool StatementRunner::commitsAtEnd() const noexcept
{
    if (this->phase == Phase::KeyClosing)
        return true;
    if (this->phase != Phase::Main || this->keyed)
        return false;
    if (mayCommit(this->work))
        return true;
    return this->state.transaction == pgwire::TransactionStatus::Idle && !runsKind(this->work, statement::StatementKind::Begin);
}

retry::Outcome StatementRunner::outcomeOf(const upstream::BatchEnd& end, std::string_view sqlstate) const
{
    return {
        .sent = end.sent,
        .lost = end.lost,
        .writes = this->writes || this->state.wrote,
        .inTransaction = this->state.transaction != pgwire::TransactionStatus::Idle,
        .commits = this->commitsAtEnd(),
        .idempotent = this->keyed,
        .deadlineExpired = this->context.loop.now() >= this->deadline,
        .bytesDelivered = this->answer.given(),
        .sqlstate = sqlstate,
        .retries = this->retries,
    };
}

void StatementRunner::judge(const upstream::BatchEnd& end, std::string_view sqlstate)
{
    const auto outcome = this->outcomeOf(end, sqlstate);
    const auto decision = retry::decide(outcome, this->context.budget);
    this->needsPrimary = this->needsPrimary || sqlstate == "25006";
    const bool wasInTransaction = outcome.inTransaction;
    this->returnLease(!end.lost && end.transaction == pgwire::TransactionStatus::Idle);
    if (decision == retry::Decision::Retry) {
        this->retryLater();
        return;
    }
    const std::string reason = outcome.deadlineExpired ? "the statement's deadline passed" : "the connection to the upstream ended";
    if (decision == retry::Decision::OutcomeUnknown) {
        this->refuse({ .verdict = upstream::Verdict::OutcomeUnknown, .sqlstate = "08007", .message = reason + " before the answer" });
        return;
    }
    const std::string code = outcome.deadlineExpired ? "57014" : (sqlstate.empty() || wasInTransaction ? "08006" : std::string(sqlstate));
    const std::string fate = wasInTransaction ? ", and the transaction was rolled back" : ", and nothing was changed";
    this->refuse({ .sqlstate = code, .message = reason + fate, .retryAfter = comeBackAfter });
}

void StatementRunner::retryLater()
{
    ++this->retries;
    this->context.metrics.retried.Increment();
    this->phase = Phase::Waiting;
    this->trace.enterHop("retry.pause");
    this->keyed = false;
    this->copyingOut = false;
    const auto delay = retry::jitteredDelay({}, this->retries - 1, this->context.random);
    this->pause = this->context.loop.after(delay, [this] { this->acquire(); });
}

void StatementRunner::finishMain(const upstream::BatchEnd& end)
{
    this->copyingIn = false;
    const auto sqlstate = this->error ? std::string(this->error->sqlstate()) : std::string();
    if (end.lost) {
        this->judge(end, sqlstate);
        return;
    }
    const bool mayRepeat = this->error && retry::isTransient(sqlstate) && !this->work.isCopy;
    if (mayRepeat && retry::decide(this->outcomeOf(end, sqlstate), this->context.budget) == retry::Decision::Retry) {
        this->needsPrimary = this->needsPrimary || sqlstate == "25006";
        this->returnLease(end.transaction == pgwire::TransactionStatus::Idle);
        this->retryLater();
        return;
    }
    if (!this->keyed) {
        this->settle(end);
        return;
    }
    if (this->error)
        this->run(Phase::KeyRollback, { .queries = { { .text = "ROLLBACK" } } });
    else
        this->closeKey();
}

void StatementRunner::trackTransaction(pgwire::TransactionStatus after)
{
    using statement::StatementKind;
    auto& settings = this->state.settings;
    bool isOpen = std::exchange(this->state.transaction, after) != pgwire::TransactionStatus::Idle;
    for (std::size_t i = 0; i < this->completed; ++i) {
        const auto& step = this->work.steps[i];
        const auto kind = runs(step) ? step.statement.kind : StatementKind::Empty;
        if (kind == StatementKind::Begin) {
            settings.beginTransaction();
            isOpen = true;
        } else if (kind == StatementKind::Commit || kind == StatementKind::Rollback) {
            settings.endTransaction(kind == StatementKind::Commit && this->transactionCommitted.value_or(true));
            isOpen = false;
        } else if (kind == StatementKind::Set && (isOpen || !this->error)) {
            settings.apply(step.statement);
        }
    }
    if (after == pgwire::TransactionStatus::Idle)
        settings.endTransaction(!this->error);
    else
        settings.beginTransaction();
}

void StatementRunner::settle(const upstream::BatchEnd& end)
{
    const bool mayHaveWritten = this->writes || this->state.wrote;
    const auto firstCommit = std::find_if(this->work.steps.begin(), this->work.steps.end(), [](const Step& step) { return step.statement.kind == statement::StatementKind::Commit || step.statement.kind == statement::StatementKind::Unparsable; });
    const auto commitStep = static_cast<std::size_t>(firstCommit - this->work.steps.begin());
    const bool isRolledBack = this->error && this->errorStep <= commitStep;
    const bool hasCommitted = !isRolledBack && this->transactionCommitted.value_or(true) && (end.transaction == pgwire::TransactionStatus::Idle || this->transactionCommitted);
    this->trackTransaction(end.transaction);
    this->state.wrote = end.transaction != pgwire::TransactionStatus::Idle && (this->writes || this->state.wrote);
    if (end.transaction != pgwire::TransactionStatus::Idle) {
        if (mayHaveWritten && hasCommitted)
            this->confirm(end.status);
        else
            this->complete();
        return;
    }
    const auto point = this->state.assignment.point;
    if (mayHaveWritten && hasCommitted) {
        this->confirm(end.status);
        return;
    }
    this->returnLease(true);
    raiseSeen(this->state, point);
    this->complete();
}

void StatementRunner::returnLease(bool reusable)
{
    if (this->readingPaused && this->state.assignment.lease) {
        this->readingPaused = false;
        this->state.assignment.lease->resumeReading();
    }
    if (reusable)
        this->state.assignment.lease.release();
    else
        this->state.assignment.lease.discard();
}

void StatementRunner::confirm(const std::optional<group::UpstreamStatus>& status)
{
    const auto writer = this->state.assignment.upstream;
    const auto term = this->state.assignment.term;
    if (this->state.transaction == pgwire::TransactionStatus::Idle)
        this->returnLease(true);
    this->phase = Phase::Confirming;
    this->trace.enterHop("upstream.confirm");
    // A record of a later term may have replaced the write, so only the term in which it was sent counts.
    if (!status || status->role != group::Role::Primary || status->last.term > term) {
        this->confirmed(upstream::Confirmation::Superseded, {});
        return;
    }
    const auto point = status->last;
    auto done = [held = this->weak_from_this(), number = this->generation, point](auto confirmation) {
        const auto runner = held.lock();
        if (runner && runner->generation == number && runner->phase == Phase::Confirming)
            runner->confirmed(confirmation, point);
    };
    const auto* service = table::findService(this->context.table.image(), this->state.group.service);
    if (service && service->acknowledge == table::Acknowledge::Term)
        this->context.confirmer.confirmTerm(writer, term, this->deadline, std::move(done));
    else
        this->context.confirmer.confirm(writer, point, this->deadline, std::move(done));
}

void StatementRunner::confirmed(upstream::Confirmation confirmation, group::LogPoint point)
{
    if (confirmation != upstream::Confirmation::Confirmed) {
        const auto* reason = confirmation == upstream::Confirmation::Superseded ? "the primary was superseded before a second upstream confirmed the write" : "no second upstream confirmed the write in time";
        this->refuse({ .verdict = upstream::Verdict::OutcomeUnknown, .sqlstate = "08007", .message = reason, .retryAfter = comeBackAfter });
        return;
    }
    raiseSeen(this->state, point);
    if (!this->context.settings.peerKeys.empty())
        this->answer.frames().addParameterStatus("amaranthhall.session", encodeToken({ .group = this->state.group, .point = *this->state.seen }, this->context.settings.peerKeys.front()));
    if (this->state.key.recorded) {
        this->replay();
        return;
    }
    this->complete();
}

void StatementRunner::complete()
{
    if (this->error) {
        this->answer.frames().addErrorFields('E', *this->error);
        this->context.metrics.answered.Increment();
        this->finish(false);
        return;
    }
    this->answer.addFrames(this->work.suffix);
    retry::deposit(this->context.budget);
    this->context.metrics.answered.Increment();
    this->finish(true);
}

void StatementRunner::refuse(const upstream::Refusal& refusal)
{
    if (refusal.verdict == upstream::Verdict::NotRun)
        this->context.metrics.notRun.Increment();
    else
        this->context.metrics.outcomeUnknown.Increment();
    if (this->state.assignment.lease)
        this->returnLease(false);
    if (this->state.transaction != pgwire::TransactionStatus::Idle) {
        const bool isOver = refusal.verdict == upstream::Verdict::OutcomeUnknown || mayCommit(this->work);
        this->state.transaction = isOver ? pgwire::TransactionStatus::Idle : pgwire::TransactionStatus::Failed;
        this->state.settings.endTransaction(false);
    }
    this->state.wrote = false;
    this->answer.clear();
    this->answer.frames().addErrorFields('E', makeRefusalError(refusal));
    this->finish(false);
}

void StatementRunner::finish(bool succeeded)
{
    const bool usedKey = this->keyed || (!this->state.key.key.empty() && this->writes);
    this->phase = Phase::Idle;
    this->trace.end(succeeded);
    this->timer.reset();
    this->pause.reset();
    this->ticket.reset();
    this->attempt.reset();
    this->copyingIn = false;
    this->copyingOut = false;
    this->keyed = false;
    ++this->generation;
    if (this->state.transaction == pgwire::TransactionStatus::Idle && (usedKey || this->state.key.isOpen || this->state.key.recorded))
        this->state.key = {};
    this->client.give(this->answer.take());
    this->client.workDone(succeeded);
}

}

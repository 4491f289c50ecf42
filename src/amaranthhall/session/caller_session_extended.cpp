#include "amaranthhall/session/caller_session.hpp"

#include "amaranthhall/pgwire/fields.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    Step makeSilentStep(statement::StatementKind kind, const std::string& text)
    {
        return { .query = { .text = text }, .statement = { .kind = kind, .text = text }, .reply = ReplyKind::Nothing };
    }

}

void CallerSession::processExtended(const pgwire::Frame& frame)
{
    this->isSimple = false;
    auto& query = this->extendedQuery();
    MessageResult result;
    switch (frame.type) {
    case 'P':
        result = query.parse(frame.body, this->context.classifier, this->safeFunctions());
        break;
    case 'B':
        result = query.bind(frame.body);
        break;
    case 'D':
        result = query.describe(frame.body);
        break;
    case 'E':
        this->processExecute(frame.body);
        break;
    case 'C':
        this->processClose(frame.body);
        break;
    default:
        this->flushExtended();
        break;
    }
    if (!result)
        this->failStatement(result.error());
}

void CallerSession::processExecute(std::string_view body)
{
    pgwire::FieldReader fields(body);
    const auto name = std::string(fields.text().value_or(""));
    const auto rowLimit = fields.int32().value_or(0);
    std::string frames;
    if (this->extended->empty() && this->runner && this->runner->resumePortal(name, rowLimit, frames)) {
        this->extended->addFrames(frames);
        return;
    }
    const auto result = this->extended->execute(body, [this](const auto& statement) { return this->answerLocally(statement); });
    if (!result)
        this->failStatement(result.error());
}

void CallerSession::processClose(std::string_view body)
{
    const auto closedPortal = this->extended->close(body);
    if (!closedPortal)
        this->failStatement(closedPortal.error());
    else if (*closedPortal && this->runner)
        this->runner->closePortal(**closedPortal);
}

// The queries before a Flush commit with those after it, so an implicit transaction becomes an explicit one.
void CallerSession::flushExtended()
{
    auto work = this->extended->takeWork();
    const bool isOpen = this->state.transaction != pgwire::TransactionStatus::Idle;
    const bool endsItself = runsKind(work, statement::StatementKind::Begin) || mayCommit(work) || runsKind(work, statement::StatementKind::Rollback);
    if (!isOpen && changesData(work) && !endsItself) {
        work.steps.insert(work.steps.begin(), makeSilentStep(statement::StatementKind::Begin, "BEGIN"));
        this->isWrapped = true;
    }
    this->startWork(std::move(work));
}

void CallerSession::sync()
{
    this->isSimple = false;
    auto work = this->extended ? this->extended->takeWork() : Work {};
    if (std::exchange(this->isSkipping, false))
        work = {};
    this->awaitsSync = true;
    if (this->isWrapped && this->state.transaction == pgwire::TransactionStatus::Active)
        work.steps.push_back(makeSilentStep(statement::StatementKind::Commit, "COMMIT"));
    else if (this->isWrapped && this->state.transaction == pgwire::TransactionStatus::Failed)
        work.steps.insert(work.steps.begin(), makeSilentStep(statement::StatementKind::Rollback, "ROLLBACK"));
    if (!this->isWrapped || this->state.assignment.lease) {
        this->startWork(std::move(work));
        return;
    }
    this->endWrappedTransaction();
    this->endCycle();
}

// An implicit transaction never outlives its Sync.
void CallerSession::endWrappedTransaction()
{
    this->isWrapped = false;
    if (this->state.transaction == pgwire::TransactionStatus::Idle)
        return;
    this->state.assignment.lease.discard();
    this->state.transaction = pgwire::TransactionStatus::Idle;
    this->state.wrote = false;
    this->state.settings.endTransaction(false);
}

void CallerSession::processCopyData(const pgwire::Frame& frame)
{
    if (frame.type == 'd') {
        this->isCopyBlocked = !this->runner->sendCopyData(frame.body);
        if (this->isCopyBlocked)
            this->stream.pauseReading();
        return;
    }
    if (frame.type == 'c') {
        this->runner->endCopy(std::nullopt);
        return;
    }
    pgwire::FieldReader fields(frame.body);
    this->runner->endCopy("COPY from stdin failed: " + std::string(fields.text().value_or("")));
}

void CallerSession::copyReady()
{
    this->isCopyBlocked = false;
    this->stream.resumeReading();
    this->processFrames();
}

}

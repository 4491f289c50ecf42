#include "amaranthhall/session/statement_runner.hpp"

#include <algorithm>

namespace amaranthhall::session {

namespace {

    constexpr unsigned pruneEvery = 256; // keyed works between two prunings

    std::int64_t epochSeconds()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    constexpr auto otherText = "the request key was used before with other text";

}

bool StatementRunner::usesKey() const noexcept
{
    if (this->state.key.key.empty() || this->state.transaction != pgwire::TransactionStatus::Idle)
        return false;
    return this->writes || (!this->work.steps.empty() && this->work.steps.front().statement.kind == statement::StatementKind::Begin);
}

bool StatementRunner::mixesKeyedTransaction() const noexcept
{
    using statement::StatementKind;
    if (this->state.key.key.empty() || this->work.steps.size() < 2)
        return false;
    return runsKind(this->work, StatementKind::Begin) || runsKind(this->work, StatementKind::Commit) || runsKind(this->work, StatementKind::Rollback);
}

void StatementRunner::openKey()
{
    this->keyed = true;
    this->state.key.done = {};
    if (!this->context.keyTables.contains(this->state.group)) {
        this->keyTableMade = true;
        this->run(Phase::KeyTable, { .queries = { makeKeyTableQuery() } });
        return;
    }
    this->run(Phase::KeyOpening, makeKeyOpening(this->state.key.key, epochSeconds()));
}

void StatementRunner::finishKeyOpening(const upstream::BatchEnd& end)
{
    if (end.lost) {
        this->state.key.recorded.reset();
        this->judge(end, "");
        return;
    }
    if (this->state.key.recorded) {
        this->error.reset();
        this->run(Phase::KeyReplay, { .queries = { { .text = "ROLLBACK" } }, .withPosition = true });
        return;
    }
    if (this->error) {
        if (!this->keyTableMade)
            this->context.keyTables.erase(this->state.group);
        this->judge({ .lost = true, .sent = true }, this->error->sqlstate());
        return;
    }
    const bool isTransaction = this->work.steps.front().statement.kind == statement::StatementKind::Begin;
    if (!isTransaction) {
        this->runMain();
        return;
    }
    this->keyed = false;
    this->state.key.isOpen = true;
    this->answer.addCompletion(0, "BEGIN");
    this->trackTransaction(pgwire::TransactionStatus::Active);
    this->complete();
}

void StatementRunner::finishKeyReplay(const upstream::BatchEnd& end)
{
    if (end.lost || this->error) {
        this->state.key.recorded.reset();
        this->judge({ .lost = true, .sent = true }, "");
        return;
    }
    this->error.reset();
    this->confirm(end.status);
}

void StatementRunner::closeKey()
{
    upstream::Batch batch { .withPosition = true };
    batch.queries.push_back(makeKeyRecording(this->state.key.key, this->state.key.done));
    if (++this->context.keyedWorks % pruneEvery == 0)
        batch.queries.push_back(makeKeyPruning(epochSeconds()));
    batch.queries.push_back({ .text = "COMMIT" });
    this->run(Phase::KeyClosing, batch);
}

void StatementRunner::recordStep(std::size_t step, std::string_view tag)
{
    const auto& finished = this->work.steps[step];
    if ((!this->keyed && !this->state.key.isOpen) || finished.reply != ReplyKind::Rows)
        return;
    this->state.key.done.digests.push_back(digestQuery(finished.query));
    this->state.key.done.tags.emplace_back(tag);
}

void StatementRunner::finishKeyClosing(const upstream::BatchEnd& end)
{
    if (end.lost)
        this->judge(end, this->error ? this->error->sqlstate() : "");
    else if (this->error && retry::isTransient(this->error->sqlstate()))
        this->judge({ .lost = true }, this->error->sqlstate());
    else if (this->error)
        this->run(Phase::KeyRollback, { .queries = { { .text = "ROLLBACK" } } });
    else
        this->settle(end);
}

std::optional<std::string> StatementRunner::replayStep(std::size_t index)
{
    using statement::StatementKind;
    auto& done = this->state.key.done.digests;
    const auto& recorded = *this->state.key.recorded;
    const auto& step = this->work.steps[index];
    switch (step.statement.kind) {
    case StatementKind::Begin:
        this->trackTransaction(pgwire::TransactionStatus::Active);
        return "BEGIN";
    case StatementKind::Rollback:
        this->trackTransaction(pgwire::TransactionStatus::Idle);
        return "ROLLBACK";
    case StatementKind::Commit:
        if (done.size() != recorded.digests.size())
            return std::nullopt;
        this->trackTransaction(pgwire::TransactionStatus::Idle);
        return "COMMIT";
    default:
        break;
    }
    const auto next = done.size();
    if (next >= recorded.digests.size() || next >= recorded.tags.size() || recorded.digests[next] != digestQuery(step.query))
        return std::nullopt;
    done.push_back(recorded.digests[next]);
    return recorded.tags[next];
}

void StatementRunner::replay()
{
    const bool isWhole = this->state.transaction == pgwire::TransactionStatus::Idle && !runsKind(this->work, statement::StatementKind::Begin);
    this->completed = 0;
    for (std::size_t i = 0; i < this->work.steps.size() && !this->error; ++i) {
        if (this->work.steps[i].reply != ReplyKind::Rows) {
            this->answer.addCompletion(i, "");
            continue;
        }
        if (const auto tag = this->replayStep(i))
            this->answer.addCompletion(i, *tag);
        else
            this->error = pgwire::makeError("ERROR", "22023", otherText);
    }
    if (isWhole && !this->error && this->state.key.done.digests.size() != this->state.key.recorded->digests.size())
        this->error = pgwire::makeError("ERROR", "22023", otherText);
    if (this->error) {
        this->answer.clear();
        const bool staysOpen = this->state.transaction != pgwire::TransactionStatus::Idle && !mayCommit(this->work);
        this->state.transaction = staysOpen ? pgwire::TransactionStatus::Failed : pgwire::TransactionStatus::Idle;
        this->state.key = {};
    }
    this->complete();
}

}

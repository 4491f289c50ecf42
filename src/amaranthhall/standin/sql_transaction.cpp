#include "amaranthhall/standin/sql_transaction.hpp"

#include "amaranthhall/standin/sql_text.hpp"
#include "amaranthhall/standin/upstream_server.hpp"

#include <algorithm>

namespace amaranthhall::standin {

namespace {

    tl::unexpected<SqlFailure> failWith(std::string_view sqlstate, std::string_view message)
    {
        return tl::unexpected(SqlFailure { .error = pgwire::makeError("ERROR", sqlstate, message) });
    }

    pgwire::ErrorFields makeWarning(std::string_view sqlstate, std::string_view message)
    {
        return pgwire::makeError("WARNING", sqlstate, message);
    }

    std::string makeTag(std::string_view text, std::size_t rows, int changes)
    {
        const auto words = splitWords(text);
        std::string word = words.empty() ? "" : words.front();
        const auto isChange = [](const std::string& candidate) { return candidate == "INSERT" || candidate == "UPDATE" || candidate == "DELETE"; };
        if (const auto change = std::ranges::find_if(words, isChange); word == "WITH" && change != words.end())
            word = *change;
        if (word == "SELECT" || word == "WITH" || word == "VALUES")
            return "SELECT " + std::to_string(rows);
        if (word == "INSERT" || word == "REPLACE")
            return "INSERT 0 " + std::to_string(changes);
        if (word == "UPDATE" || word == "DELETE")
            return word + " " + std::to_string(changes);
        if ((word == "CREATE" || word == "DROP" || word == "ALTER") && words.size() > 1)
            return word + " " + (words[1] == "UNIQUE" ? "INDEX" : words[1]);
        return word;
    }

    Execution makeEnded(std::string tag)
    {
        return { .tag = std::move(tag) };
    }

}

SqlTransaction::SqlTransaction(UpstreamServer& usedServer)
    : server(usedServer)
    , connection(usedServer.databaseName())
{
}

pgwire::TransactionStatus SqlTransaction::status() const noexcept
{
    if (!this->inBlock)
        return pgwire::TransactionStatus::Idle;
    return this->isFailed ? pgwire::TransactionStatus::Failed : pgwire::TransactionStatus::Active;
}

std::vector<pgwire::ErrorFields> SqlTransaction::takeNotices()
{
    return std::exchange(this->notices, {});
}

bool SqlTransaction::mayWrite() const
{
    return this->server.status().role == group::Role::Primary;
}

void SqlTransaction::endBlock()
{
    this->written.clear();
    this->savepoints.clear();
    this->running.reset();
    this->inBlock = false;
    this->isFailed = false;
    this->isReadOnly = false;
}

void SqlTransaction::rollBack()
{
    if (this->connection.inTransaction())
        this->connection.run("ROLLBACK");
    this->endBlock();
}

void SqlTransaction::markFailed()
{
    this->running.reset();
    if (!this->inBlock)
        return;
    this->isFailed = true;
    // Without a savepoint to return to, the locks are of no more use.
    if (this->savepoints.empty() && this->connection.inTransaction())
        this->connection.run("ROLLBACK");
}

void SqlTransaction::interrupt()
{
    if (!this->connection.inTransaction())
        return;
    const bool wasBlock = this->inBlock;
    this->rollBack();
    this->inBlock = wasBlock;
    this->isFailed = wasBlock;
}

SqlExpected<Execution> SqlTransaction::start(const std::string& text, const std::vector<LoggedParameter>& parameters)
{
    const auto command = readTransactionCommand(text);
    const bool endsFailure = command == TransactionCommand::Commit || command == TransactionCommand::Rollback || command == TransactionCommand::RollbackTo;
    if (this->isFailed && !endsFailure)
        return failWith("25P02", "current transaction is aborted, commands ignored until end of transaction block");
    if (command == TransactionCommand::None)
        return this->startSql(text, parameters);
    return this->steer(text);
}

SqlExpected<Execution> SqlTransaction::steer(const std::string& text)
{
    switch (readTransactionCommand(text)) {
    case TransactionCommand::Begin: {
        if (this->inBlock)
            this->notices.push_back(makeWarning("25001", "there is already a transaction in progress"));
        const auto words = splitWords(text);
        this->isReadOnly = this->isReadOnly || std::ranges::find(words, "ONLY") != words.end();
        this->inBlock = true;
        return makeEnded("BEGIN");
    }
    case TransactionCommand::Commit:
        if (!this->inBlock)
            this->notices.push_back(makeWarning("25P01", "there is no transaction in progress"));
        if (this->isFailed) {
            this->rollBack();
            return makeEnded("ROLLBACK");
        }
        if (const auto committed = this->commit(); !committed)
            return tl::unexpected(committed.error());
        return makeEnded("COMMIT");
    case TransactionCommand::Rollback:
        if (!this->inBlock)
            this->notices.push_back(makeWarning("25P01", "there is no transaction in progress"));
        this->rollBack();
        return makeEnded("ROLLBACK");
    default:
        return this->steerSavepoint(text);
    }
}

SqlExpected<Execution> SqlTransaction::steerSavepoint(const std::string& text)
{
    const auto command = readTransactionCommand(text);
    if (!this->inBlock)
        return failWith("25P01", "savepoints can only be used in transaction blocks");
    if (const auto opened = this->open(!this->isReadOnly && this->mayWrite()); !opened)
        return tl::unexpected(opened.error());
    if (const auto done = this->connection.run(text); !done)
        return failWith("3B001", done.error().error.message());
    const auto name = splitWords(text).back();
    const auto last = std::find_if(this->savepoints.rbegin(), this->savepoints.rend(), [&](const auto& savepoint) { return savepoint.name == name; });
    if (command == TransactionCommand::Savepoint) {
        this->savepoints.push_back({ .name = name, .written = this->written.size() });
        return makeEnded("SAVEPOINT");
    }
    if (command == TransactionCommand::Release) {
        this->savepoints.erase(std::prev(last.base()), this->savepoints.end());
        return makeEnded("RELEASE");
    }
    this->written.resize(last->written);
    this->savepoints.erase(last.base(), this->savepoints.end());
    this->isFailed = false;
    return makeEnded("ROLLBACK");
}

SqlExpected<void> SqlTransaction::open(bool forWrite)
{
    if (this->connection.inTransaction())
        return {};
    return this->connection.run(forWrite ? "BEGIN IMMEDIATE" : "BEGIN");
}

SqlExpected<void> SqlTransaction::lockForWrite(std::string_view verb)
{
    if (!this->mayWrite() || this->isReadOnly)
        return failWith("25006", "cannot execute " + std::string(verb) + " in a read-only transaction");
    return this->open(true);
}

SqlExpected<Execution> SqlTransaction::startSql(const std::string& text, const std::vector<LoggedParameter>& parameters)
{
    auto plain = stripLocking(text);
    auto statement = this->connection.prepare(plain.text);
    if (!statement)
        return tl::unexpected(statement.error());
    const bool writes = !statement->isReadOnly();
    if (writes && isUnreplicable(plain.text))
        return failWith("0A000", "the stand-in replicates statements, so that this one has to do without random values, the clock and temporary tables");
    const bool forWrite = writes || plain.locks;
    const auto opened = forWrite ? this->lockForWrite(firstWord(text)) : this->open(this->inBlock && !this->isReadOnly && this->mayWrite());
    if (!opened)
        return tl::unexpected(opened.error());
    statement->bind(parameters);
    Execution execution { .statement = std::move(*statement) };
    this->running.reset();
    if (writes)
        this->running = LoggedStatement { .text = plain.text, .parameters = parameters };
    execution.tag = firstWord(text);
    if (const auto moved = this->advance(execution); !moved)
        return tl::unexpected(moved.error());
    execution.columns = execution.statement->columns();
    return execution;
}

SqlExpected<void> SqlTransaction::advance(Execution& execution)
{
    const auto stepped = execution.statement->step();
    if (!stepped)
        return tl::unexpected(stepped.error());
    execution.hasRow = *stepped;
    if (*stepped) {
        ++execution.rows;
        return {};
    }
    const auto text = this->running ? this->running->text : execution.tag;
    execution.tag = makeTag(text, execution.rows, this->connection.changes());
    if (this->running)
        this->written.push_back(*std::exchange(this->running, std::nullopt));
    return {};
}

SqlExpected<void> SqlTransaction::commitImplicit()
{
    if (this->inBlock)
        return {};
    return this->commit();
}

SqlExpected<void> SqlTransaction::commit()
{
    if (!this->written.empty() && !this->mayWrite()) {
        this->rollBack();
        return failWith("25006", "not run: this upstream is no longer primary, and the transaction was rolled back");
    }
    if (this->connection.inTransaction()) {
        if (const auto committed = this->connection.run("COMMIT"); !committed) {
            if (!committed.error().isBusy)
                this->rollBack();
            return committed;
        }
    }
    if (!this->written.empty())
        this->server.logCommit(std::move(this->written));
    this->endBlock();
    return {};
}

}

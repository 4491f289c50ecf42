#include "amaranthhall/standin/sql_text.hpp"
#include "amaranthhall/standin/sql_value.hpp"
#include "amaranthhall/standin/upstream_server.hpp"
#include "amaranthhall/standin/upstream_session.hpp"

#include <charconv>

namespace amaranthhall::standin {

namespace {

    using namespace std::chrono_literals;

    constexpr auto busyRetry = 2ms;
    constexpr auto busyPatience = 2s;
    constexpr std::size_t flushBytes = 64U << 10U;
    constexpr std::size_t maximumBuffered = 256U << 10U;

    SqlResult makeOneValue(const std::string& column, const std::string& value, std::string tag)
    {
        return { .columns = { { .name = column, .type = type::text } }, .rows = { { value } }, .tag = std::move(tag) };
    }

}

UpstreamSession::Progress UpstreamSession::waitFor(Duration delay)
{
    this->waitTimer = this->server.eventLoop().after(std::max<Duration>(delay, 0ms), [this] { this->resume(); });
    return Progress::Waiting;
}

UpstreamSession::Progress UpstreamSession::failOrRetry(const SqlFailure& failure)
{
    if (failure.isBusy && this->server.eventLoop().now() - this->stepBegan < busyPatience)
        return this->waitFor(busyRetry);
    if (failure.isBusy)
        this->fail(pgwire::makeError("ERROR", "40001", "could not serialize access: another transaction holds the database"));
    else
        this->fail(failure.error);
    return Progress::Done;
}

std::optional<pgwire::ErrorFields> UpstreamSession::findInterrupt()
{
    if (std::exchange(this->isCancelled, false))
        return pgwire::makeError("ERROR", "57014", "canceling statement due to user request");
    const auto text = this->parameters.find("statement_timeout");
    std::int64_t limit = 0;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    if (limit > 0 && this->server.eventLoop().now() - this->stepBegan >= std::chrono::milliseconds(limit))
        return pgwire::makeError("ERROR", "57014", "canceling statement due to statement timeout");
    return std::nullopt;
}

void UpstreamSession::fail(const pgwire::ErrorFields& error)
{
    this->isSkipping = true;
    this->copyIn.reset();
    this->copyBuffer.clear();
    this->portals.clear();
    this->transaction.markFailed();
    this->writer.addErrorFields('E', error);
}

std::optional<tl::expected<SqlResult, pgwire::ErrorFields>> UpstreamSession::runSpecial(const std::string& text)
{
    const auto words = splitWords(std::string_view(text).substr(0, std::min<std::size_t>(text.size(), 256)));
    if (words.empty())
        return std::nullopt;
    if (words[0] == "DISCARD") {
        if (this->transaction.isExplicit())
            return tl::unexpected(pgwire::makeError("ERROR", "25001", "DISCARD ALL cannot run inside a transaction block"));
        this->parameters.resetAll();
        this->prepared.clear();
        return SqlResult { .tag = "DISCARD ALL" };
    }
    if (words[0] == "DEALLOCATE") {
        if (words.back() == "ALL")
            this->prepared.clear();
        else
            std::erase_if(this->prepared, [&](const auto& statement) { return splitWords(statement.first) == std::vector { words.back() }; });
        return SqlResult { .tag = "DEALLOCATE" };
    }
    const bool isParameter = words[0] == "SET" || words[0] == "RESET" || words[0] == "SHOW";
    if (!isParameter || this->transaction.status() == pgwire::TransactionStatus::Failed)
        return std::nullopt;
    const auto change = this->parameters.run(text);
    if (!change)
        return std::nullopt;
    if (!*change)
        return tl::unexpected(change->error());
    if ((*change)->shown)
        return makeOneValue((*change)->column, *(*change)->shown, "SHOW");
    this->reportParameters();
    return SqlResult { .tag = (*change)->tag };
}

void UpstreamSession::reportParameters()
{
    for (const auto& [name, value] : this->parameters.reported()) {
        if (const auto known = this->reported.find(name); known != this->reported.end() && known->second == value)
            continue;
        this->writer.addParameterStatus(name, value);
        this->reported[name] = value;
    }
}

UpstreamSession::Progress UpstreamSession::answerControl(Portal& portal, const ControlCall& call)
{
    const auto waited = this->server.eventLoop().now() - this->stepBegan;
    auto answer = tryControlCall(this->server, call, waited >= waitLimit(call));
    if (!answer)
        return this->waitFor(waitLimit(call) - waited);
    if (*answer)
        portal.result = std::move(**answer);
    else
        this->fail(answer->error());
    return Progress::Done;
}

UpstreamSession::Progress UpstreamSession::sleep(Portal& portal, double seconds)
{
    const auto wanted = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    const auto waited = this->server.eventLoop().now() - this->stepBegan;
    if (waited < wanted)
        return this->waitFor(wanted - waited);
    portal.result = makeOneValue("pg_sleep", "", "SELECT 1");
    return Progress::Done;
}

UpstreamSession::Progress UpstreamSession::beginPortal(Portal& portal)
{
    if (this->isSkipping || portal.execution || portal.result || portal.copy)
        return Progress::Done;
    if (const auto interrupted = this->findInterrupt()) {
        this->fail(*interrupted);
        return Progress::Done;
    }
    if (const auto call = parseControlCall(portal.text))
        return this->answerControl(portal, *call);
    if (const auto seconds = parseSleep(portal.text))
        return this->sleep(portal, *seconds);
    if (auto special = this->runSpecial(portal.text)) {
        if (*special)
            portal.result = std::move(**special);
        else
            this->fail(special->error());
        return Progress::Done;
    }
    const auto command = readTransactionCommand(portal.text);
    const bool wasBlock = this->transaction.isExplicit();
    portal.copy = command == TransactionCommand::None ? parseCopy(portal.text) : std::nullopt;
    if (portal.copy && portal.copy->in)
        return this->beginCopyIn(portal);
    auto started = this->transaction.start(portal.copy ? portal.copy->query : portal.text, portal.parameters);
    for (const auto& notice : this->transaction.takeNotices())
        this->writer.addErrorFields('N', notice);
    if (!started) {
        portal.copy.reset();
        return this->failOrRetry(started.error());
    }
    portal.execution = std::move(*started);
    if (!wasBlock && this->transaction.isExplicit())
        this->parameters.beginBlock();
    if (wasBlock && !this->transaction.isExplicit()) {
        this->parameters.endBlock(portal.execution->tag == "COMMIT");
        this->reportParameters();
    }
    return Progress::Done;
}

UpstreamSession::Progress UpstreamSession::runPortal(Portal& portal)
{
    if (this->isSkipping)
        return Progress::Done;
    const bool isNew = !portal.execution && !portal.result;
    if (this->beginPortal(portal) == Progress::Waiting)
        return Progress::Waiting;
    if (this->isSkipping || (portal.copy && portal.copy->in))
        return Progress::Done;
    if (portal.copy)
        return this->sendCopyRows(portal);
    if (isNew && portal.describes)
        this->describePortal(portal);
    return this->sendRows(portal);
}

UpstreamSession::Progress UpstreamSession::sendRows(Portal& portal)
{
    while (this->sendRow(portal)) {
        if (this->writer.bytes().size() >= flushBytes)
            this->flush();
        if (const auto interrupted = this->findInterrupt()) {
            this->fail(*interrupted);
            return Progress::Done;
        }
        if (this->stream.buffered() >= maximumBuffered)
            return Progress::Waiting;
    }
    if (this->isSkipping)
        return Progress::Done;
    this->writer.addCommandComplete(portal.result ? portal.result->tag : portal.execution->tag);
    portal.result.reset();
    portal.execution.reset();
    return Progress::Done;
}

bool UpstreamSession::sendRow(Portal& portal)
{
    std::vector<std::optional<std::string>> row;
    std::vector<pgwire::Column> columns;
    if (portal.result) {
        if (portal.result->rows.empty())
            return false;
        row = std::move(portal.result->rows.front());
        portal.result->rows.erase(portal.result->rows.begin());
        columns = portal.result->columns;
    } else {
        auto& execution = *portal.execution;
        if (!execution.hasRow)
            return false;
        columns = execution.columns;
        for (std::size_t i = 0; i < columns.size(); ++i)
            row.push_back(execution.statement->value(i, columns[i].type));
        if (const auto advanced = this->transaction.advance(execution); !advanced) {
            this->fail(advanced.error().error);
            return false;
        }
    }
    std::vector<pgwire::Value> values;
    for (std::size_t i = 0; i < row.size(); ++i) {
        const bool isBinary = !portal.formats.empty() && portal.formats[portal.formats.size() == 1 ? 0 : std::min(i, portal.formats.size() - 1)] == 1;
        if (row[i] && isBinary)
            row[i] = encodeBinary(columns[i].type, *row[i]).value_or("");
        values.push_back(row[i] ? pgwire::Value(*row[i]) : pgwire::Value());
    }
    this->writer.addDataRow(values);
    return true;
}

void UpstreamSession::sendColumns(std::vector<pgwire::Column> columns, std::span<const std::int16_t> formats)
{
    if (columns.empty()) {
        this->writer.add('n', "");
        return;
    }
    for (std::size_t i = 0; i < columns.size() && !formats.empty(); ++i)
        columns[i].format = formats[formats.size() == 1 ? 0 : std::min(i, formats.size() - 1)];
    this->writer.addRowDescription(columns);
}

void UpstreamSession::describePortal(Portal& portal)
{
    std::vector<pgwire::Column> columns;
    if (portal.result)
        columns = portal.result->columns;
    else if (portal.execution && !portal.copy)
        columns = portal.execution->columns;
    if (!columns.empty() || !portal.describes)
        this->sendColumns(std::move(columns), portal.formats);
}

UpstreamSession::Progress UpstreamSession::describeStatement(const Prepared& described)
{
    std::vector<pgwire::Column> columns;
    std::size_t parameterCount = 0;
    const auto call = parseControlCall(described.text);
    const auto command = readTransactionCommand(described.text);
    const auto word = firstWord(described.text);
    const bool isSql = !call && command == TransactionCommand::None && !word.empty() && word != "SET" && word != "RESET" && word != "SHOW" && word != "DISCARD" && word != "DEALLOCATE" && word != "COPY" && !parseSleep(described.text);
    if (isSql) {
        auto statement = this->transaction.database().prepare(stripLocking(described.text).text);
        if (!statement)
            return this->failOrRetry(statement.error());
        // A column without a declared type has that of its first value.
        if (statement->isReadOnly() && statement->hasColumns()) {
            if (const auto stepped = statement->step(); !stepped && stepped.error().isBusy)
                return this->failOrRetry(stepped.error());
        }
        columns = statement->columns();
        parameterCount = statement->parameterCount();
    } else if (call) {
        for (const auto& column : call->columns)
            columns.push_back({ .name = column });
    } else if (word == "SHOW" || word == "SELECT") {
        columns.push_back({ .name = word == "SHOW" ? splitWords(described.text).back() : "pg_sleep" });
    }
    this->writer.begin('t');
    this->writer.addInt16(static_cast<std::int16_t>(parameterCount));
    for (std::size_t i = 0; i < parameterCount; ++i)
        this->writer.addInt32(i < described.types.size() && described.types[i] != 0 ? described.types[i] : type::text);
    this->writer.end();
    this->sendColumns(std::move(columns), {});
    return Progress::Done;
}

UpstreamSession::Progress UpstreamSession::finishTransaction()
{
    this->portals.clear();
    if (this->isSkipping) {
        if (!this->transaction.isExplicit())
            this->transaction.rollBack();
    } else if (const auto committed = this->transaction.commitImplicit(); !committed) {
        if (this->failOrRetry(committed.error()) == Progress::Waiting)
            return Progress::Waiting;
        if (!this->transaction.isExplicit())
            this->transaction.rollBack();
    }
    this->isSkipping = false;
    this->isCancelled = false;
    this->writer.addReadyForQuery(this->transaction.status());
    return Progress::Done;
}

}

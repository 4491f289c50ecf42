#include "amaranthhall/upstream/pq_link.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace amaranthhall::upstream {

namespace {

    constexpr std::string_view positionQuery = "SELECT role, term, record_term, position, applied, leaving FROM ah_status()";

    struct ResultCloser {
        void operator()(PGresult* result) const noexcept { PQclear(result); }
    };
    using ResultHandle = std::unique_ptr<PGresult, ResultCloser>;

    struct FieldCode {
        char code;
        int diagnostic;
    };

    constexpr std::array<FieldCode, 18> errorFieldCodes { {
        { 'S', PG_DIAG_SEVERITY },
        { 'V', PG_DIAG_SEVERITY_NONLOCALIZED },
        { 'C', PG_DIAG_SQLSTATE },
        { 'M', PG_DIAG_MESSAGE_PRIMARY },
        { 'D', PG_DIAG_MESSAGE_DETAIL },
        { 'H', PG_DIAG_MESSAGE_HINT },
        { 'P', PG_DIAG_STATEMENT_POSITION },
        { 'p', PG_DIAG_INTERNAL_POSITION },
        { 'q', PG_DIAG_INTERNAL_QUERY },
        { 'W', PG_DIAG_CONTEXT },
        { 's', PG_DIAG_SCHEMA_NAME },
        { 't', PG_DIAG_TABLE_NAME },
        { 'c', PG_DIAG_COLUMN_NAME },
        { 'd', PG_DIAG_DATATYPE_NAME },
        { 'n', PG_DIAG_CONSTRAINT_NAME },
        { 'F', PG_DIAG_SOURCE_FILE },
        { 'L', PG_DIAG_SOURCE_LINE },
        { 'R', PG_DIAG_SOURCE_FUNCTION },
    } };

    pgwire::ErrorFields readErrorFields(const PGresult& result)
    {
        pgwire::ErrorFields error;
        for (const auto& field : errorFieldCodes) {
            if (const char* text = PQresultErrorField(&result, field.diagnostic))
                error.fields.push_back({ field.code, text });
        }
        return error;
    }

    std::uint64_t readNumber(PGresult& result, int column)
    {
        const std::string_view text(PQgetvalue(&result, 0, column), static_cast<std::size_t>(PQgetlength(&result, 0, column)));
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    pgwire::TransactionStatus readTransaction(PGconn* connection)
    {
        switch (PQtransactionStatus(connection)) {
        case PQTRANS_INTRANS:
        case PQTRANS_ACTIVE:
            return pgwire::TransactionStatus::Active;
        case PQTRANS_INERROR:
            return pgwire::TransactionStatus::Failed;
        default:
            return pgwire::TransactionStatus::Idle;
        }
    }

}

PqLink::PqLink(kernel::Loop& usedLoop, LinkOptions usedOptions)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , alive(std::make_shared<bool>(true))
{
}

PqLink::~PqLink()
{
    *this->alive = false;
    this->readWatch.reset();
    this->writeWatch.reset();
}

void PqLink::open(Opened whenOpened, Broken whenBroken)
{
    this->opened = std::move(whenOpened);
    this->broken = std::move(whenBroken);
    const auto port = std::to_string(this->options.address.port);
    const std::array<const char*, 9> keywords { "hostaddr", "port", "dbname", "user", "password", "sslmode", "sslrootcert", "application_name", nullptr };
    const std::array<const char*, 9> values { this->options.address.host.c_str(), port.c_str(), this->options.database.c_str(), this->options.user.c_str(),
        this->options.password.c_str(), this->options.tlsMode.c_str(), this->options.tlsRootCertificate.c_str(), this->options.applicationName.c_str(), nullptr };
    this->connection.reset(PQconnectStartParams(keywords.data(), values.data(), 0));
    this->connectTimer = this->loop.after(this->options.connectTimeout, [this] { this->finishOpen(pgwire::makeError("FATAL", "08001", "the upstream did not take the connection in time")); });
    if (!this->connection || PQstatus(this->connection.get()) == CONNECTION_BAD) {
        this->loop.post([this, living = this->alive] {
            if (*living && this->opened)
                this->finishOpen(pgwire::makeError("FATAL", "08001", "the connection could not be begun"));
        });
        return;
    }
    this->writeWatch = this->loop.watch(PQsocket(this->connection.get()), { .writable = true }, [this](auto) { this->pollConnect(); });
}

void PqLink::pollConnect()
{
    const auto state = PQconnectPoll(this->connection.get());
    this->readWatch.reset();
    this->writeWatch.reset();
    switch (state) {
    case PGRES_POLLING_READING:
        this->readWatch = this->loop.watch(PQsocket(this->connection.get()), { .readable = true }, [this](auto) { this->pollConnect(); });
        break;
    case PGRES_POLLING_WRITING:
        this->writeWatch = this->loop.watch(PQsocket(this->connection.get()), { .writable = true }, [this](auto) { this->pollConnect(); });
        break;
    case PGRES_POLLING_OK:
        PQsetnonblocking(this->connection.get(), 1);
        PQenterPipelineMode(this->connection.get());
        this->updateWatch();
        this->finishOpen({});
        break;
    default:
        this->finishOpen(pgwire::makeError("FATAL", "08001", PQerrorMessage(this->connection.get())));
        break;
    }
}

void PqLink::finishOpen(const pgwire::ErrorFields& error)
{
    this->connectTimer.reset();
    if (!error.fields.empty()) {
        this->readWatch.reset();
        this->writeWatch.reset();
    }
    if (const auto call = std::exchange(this->opened, nullptr))
        call(error);
}

void PqLink::beginBatch(ResultSink& usedSink)
{
    this->sink = &usedSink;
    this->queryIndex = 0;
    this->columnsReported = false;
    this->inPosition = false;
    this->end = {};
    this->end.sent = true;
}

bool PqLink::sendQuery(const Query& query)
{
    std::vector<const char*> values;
    std::vector<int> lengths;
    std::vector<int> formats;
    for (std::size_t i = 0; i < query.parameters.size(); ++i) {
        const auto& value = query.parameters[i];
        values.push_back(value ? value->data() : nullptr);
        lengths.push_back(value ? static_cast<int>(value->size()) : 0);
        const auto& given = query.parameterFormats;
        formats.push_back(given.empty() ? 0 : given[given.size() == 1 ? 0 : i]);
    }
    const auto count = static_cast<int>(values.size());
    auto* raw = this->connection.get();
    switch (query.kind) {
    case QueryKind::Execute: {
        auto types = query.parameterTypes;
        types.resize(values.size());
        return PQsendQueryParams(raw, query.text.c_str(), count, types.data(), values.data(), lengths.data(), formats.data(), query.resultFormat) == 1;
    }
    case QueryKind::Prepare:
        return PQsendPrepare(raw, query.statement.c_str(), query.text.c_str(), static_cast<int>(query.parameterTypes.size()), query.parameterTypes.data()) == 1;
    case QueryKind::ExecutePrepared:
        return PQsendQueryPrepared(raw, query.statement.c_str(), count, values.data(), lengths.data(), formats.data(), query.resultFormat) == 1;
    case QueryKind::DescribePrepared:
        break;
    }
    return PQsendDescribePrepared(raw, query.statement.c_str()) == 1;
}

void PqLink::run(const Batch& batch, ResultSink& usedSink)
{
    this->beginBatch(usedSink);
    this->queryCount = batch.queries.size();
    this->syncsLeft = batch.withPosition ? 2 : 1;
    bool accepted = true;
    for (const auto& query : batch.queries)
        accepted = accepted && this->sendQuery(query);
    accepted = accepted && PQpipelineSync(this->connection.get()) == 1;
    if (batch.withPosition) {
        accepted = accepted && PQsendQueryParams(this->connection.get(), std::string(positionQuery).c_str(), 0, nullptr, nullptr, nullptr, nullptr, 0) == 1;
        accepted = accepted && PQpipelineSync(this->connection.get()) == 1;
    }
    if (!accepted) {
        this->loop.post([this, living = this->alive] {
            if (*living && this->sink)
                this->endBatch(true);
        });
        return;
    }
    PQsetSingleRowMode(this->connection.get());
    this->flush();
}

void PqLink::runCopy(const std::string&, ResultSink& usedSink)
{
    this->beginBatch(usedSink);
    this->loop.post([this, living = this->alive] {
        if (!*living || !this->sink)
            return;
        this->sink->onError(0, pgwire::makeError("ERROR", "0A000", "COPY is not supported"));
        this->endBatch(false);
    });
}

bool PqLink::sendCopyData(std::string_view data)
{
    return PQputCopyData(this->connection.get(), data.data(), static_cast<int>(data.size())) == 1;
}

void PqLink::endCopy(const std::optional<std::string>& error)
{
    PQputCopyEnd(this->connection.get(), error ? error->c_str() : nullptr);
}

void PqLink::pauseReading()
{
    this->readingPaused = true;
    this->updateWatch();
}

void PqLink::resumeReading()
{
    this->readingPaused = false;
    this->updateWatch();
    this->loop.post([this, living = this->alive] {
        if (*living && this->sink && !this->readingPaused)
            this->readAnswers();
    });
}

void PqLink::cancel()
{
}

std::string_view PqLink::parameterStatus(const std::string& name) const
{
    const char* value = PQparameterStatus(this->connection.get(), name.c_str());
    return value ? std::string_view(value) : std::string_view();
}

void PqLink::updateWatch()
{
    if (this->readingPaused) {
        this->readWatch.reset();
        return;
    }
    if (!this->readWatch)
        this->readWatch = this->loop.watch(PQsocket(this->connection.get()), { .readable = true }, [this](auto readiness) { this->onReady(readiness); });
}

void PqLink::flush()
{
    const auto left = PQflush(this->connection.get());
    if (left == 0) {
        this->writeWatch.reset();
    } else if (!this->writeWatch) {
        this->writeWatch = this->loop.watch(PQsocket(this->connection.get()), { .writable = true }, [this](auto) { this->flush(); });
    }
}

void PqLink::onReady(kernel::Readiness)
{
    if (PQconsumeInput(this->connection.get()) == 0) {
        this->readWatch.reset();
        this->writeWatch.reset();
        if (this->sink)
            this->endBatch(true);
        else if (this->broken)
            this->broken();
        return;
    }
    if (this->sink)
        this->readAnswers();
}

void PqLink::readAnswers()
{
    const auto living = this->alive;
    while (*living && this->sink && !this->readingPaused && PQisBusy(this->connection.get()) == 0) {
        const ResultHandle result(PQgetResult(this->connection.get()));
        if (!result) {
            this->nextQuery();
            continue;
        }
        if (!this->takeResult(*result))
            return;
    }
}

void PqLink::nextQuery()
{
    ++this->queryIndex;
    this->columnsReported = false;
    PQsetSingleRowMode(this->connection.get());
}

bool PqLink::takeResult(PGresult& result)
{
    switch (PQresultStatus(&result)) {
    case PGRES_PIPELINE_SYNC:
        if (--this->syncsLeft == 0) {
            this->endBatch(false);
            return false;
        }
        this->end.transaction = readTransaction(this->connection.get());
        this->inPosition = true;
        PQsetSingleRowMode(this->connection.get());
        return true;
    case PGRES_SINGLE_TUPLE:
        this->takeTuples(result, false);
        return true;
    case PGRES_TUPLES_OK:
        this->takeTuples(result, true);
        return true;
    case PGRES_COMMAND_OK:
        if (!this->inPosition)
            this->sink->onCompleted(this->queryIndex, PQcmdStatus(&result));
        return true;
    case PGRES_EMPTY_QUERY:
        this->sink->onCompleted(this->queryIndex, "");
        return true;
    case PGRES_PIPELINE_ABORTED:
        return true;
    default:
        if (PQstatus(this->connection.get()) == CONNECTION_BAD) {
            this->endBatch(true);
            return false;
        }
        if (!this->inPosition)
            this->sink->onError(this->queryIndex, readErrorFields(result));
        return true;
    }
}

void PqLink::reportColumns(PGresult& result)
{
    if (this->columnsReported)
        return;
    this->columnsReported = true;
    std::vector<pgwire::Column> columns;
    for (int i = 0; i < PQnfields(&result); ++i) {
        columns.push_back({
            .name = PQfname(&result, i),
            .table = static_cast<std::int32_t>(PQftable(&result, i)),
            .tableColumn = static_cast<std::int16_t>(PQftablecol(&result, i)),
            .type = static_cast<std::int32_t>(PQftype(&result, i)),
            .typeLength = static_cast<std::int16_t>(PQfsize(&result, i)),
            .typeModifier = PQfmod(&result, i),
            .format = static_cast<std::int16_t>(PQfformat(&result, i)),
        });
    }
    this->sink->onColumns(this->queryIndex, columns);
}

void PqLink::takeTuples(PGresult& result, bool last)
{
    if (this->inPosition) {
        this->takePosition(result);
        return;
    }
    this->reportColumns(result);
    std::vector<pgwire::Value> values(static_cast<std::size_t>(PQnfields(&result)));
    for (int row = 0; row < PQntuples(&result); ++row) {
        for (int i = 0; i < PQnfields(&result); ++i) {
            auto& value = values[static_cast<std::size_t>(i)];
            value = PQgetisnull(&result, row, i) ? pgwire::Value()
                                                 : pgwire::Value(std::string_view(PQgetvalue(&result, row, i), static_cast<std::size_t>(PQgetlength(&result, row, i))));
        }
        this->sink->onRow(this->queryIndex, values);
    }
    if (last)
        this->sink->onCompleted(this->queryIndex, PQcmdStatus(&result));
}

void PqLink::takePosition(PGresult& result)
{
    if (PQntuples(&result) != 1 || PQnfields(&result) != 6)
        return;
    const std::string_view role = PQgetvalue(&result, 0, 0);
    this->end.status = group::UpstreamStatus {
        .role = role == "primary" ? group::Role::Primary : group::Role::Replica,
        .term = readNumber(result, 1),
        .last = { .term = readNumber(result, 2), .position = readNumber(result, 3) },
        .applied = readNumber(result, 4),
        .leaving = readNumber(result, 5) != 0,
    };
}

void PqLink::endBatch(bool lost)
{
    this->end.lost = lost;
    if (!this->inPosition)
        this->end.transaction = readTransaction(this->connection.get());
    const auto ended = this->end;
    std::exchange(this->sink, nullptr)->onEnd(ended);
}

}

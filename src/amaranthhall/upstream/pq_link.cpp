#include "amaranthhall/upstream/pq_link.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include "amaranthhall/upstream/pq_result.hpp"

#include <algorithm>
#include <array>

namespace amaranthhall::upstream {

namespace {

    constexpr const char* positionQuery = "SELECT role, term, record_term, position, applied, leaving FROM ah_status()";

    // libpq writes by itself once this much is buffered.
    constexpr std::size_t unsentLimitBytes = 60'000;

    // The parameters that PostgreSQL 15 reports on each change.
    constexpr std::array reportedNames { "application_name", "client_encoding", "DateStyle", "default_transaction_read_only", "in_hot_standby", "integer_datetimes",
        "IntervalStyle", "is_superuser", "server_encoding", "server_version", "session_authorization", "standard_conforming_strings", "TimeZone" };

    std::string_view readParameter(const PGconn* connection, const char* name)
    {
        const char* value = PQparameterStatus(connection, name);
        return value ? std::string_view(value) : std::string_view();
    }

    std::size_t measure(const Query& query)
    {
        auto bytes = query.text.size() + query.statement.size();
        for (const auto& value : query.parameters)
            bytes += value ? value->size() : 0;
        return bytes;
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
    const std::array keywords { "hostaddr", "port", "dbname", "user", "password", "sslmode", "sslrootcert", "gssencmode", "application_name", static_cast<const char*>(nullptr) };
    const std::array values { this->options.address.host.c_str(), port.c_str(), this->options.database.c_str(), this->options.user.c_str(), this->options.password.c_str(),
        this->options.tlsMode.c_str(), this->options.tlsRootCertificate.c_str(), "disable", this->options.applicationName.c_str(), static_cast<const char*>(nullptr) };
    this->connection.reset(PQconnectStartParams(keywords.data(), values.data(), 0));
    this->connectTimer = this->loop.after(this->options.connectTimeout, [this] {
        this->timedOut = true;
        this->finishOpen(pgwire::makeError("FATAL", "08001", "the upstream did not take the connection in time"));
    });
    if (!this->connection || PQstatus(this->connection.get()) == CONNECTION_BAD) {
        this->loop.post([this, living = this->alive] {
            if (*living && this->opened)
                this->finishOpen(pgwire::makeError("FATAL", "08001", "the connection could not be begun"));
        });
        return;
    }
    // The message of a refusal carries its SQLSTATE at this verbosity only.
    PQsetErrorVerbosity(this->connection.get(), PQERRORS_VERBOSE);
    PQsetNoticeReceiver(this->connection.get(), &PqLink::takeNotice, this);
    this->keyTrace = std::make_unique<internal::KeyTrace>(this->connection.get());
    this->watchConnect({ .writable = true });
}

void PqLink::watchConnect(kernel::Readiness interest)
{
    this->writeWatch = this->loop.watch(PQsocket(this->connection.get()), interest, [this](auto) { this->pollConnect(); });
}

void PqLink::pollConnect()
{
    const auto state = PQconnectPoll(this->connection.get());
    this->writeWatch.reset();
    switch (state) {
    case PGRES_POLLING_READING:
        this->watchConnect({ .readable = true });
        break;
    case PGRES_POLLING_WRITING:
        this->watchConnect({ .writable = true });
        break;
    case PGRES_POLLING_OK:
        PQsetnonblocking(this->connection.get(), 1);
        PQenterPipelineMode(this->connection.get());
        for (const char* name : reportedNames)
            this->parameters.emplace_back(name, readParameter(this->connection.get(), name));
        this->updateWatch();
        this->finishOpen({});
        break;
    default:
        this->finishOpen(internal::readConnectError(PQerrorMessage(this->connection.get())));
        break;
    }
}

void PqLink::finishOpen(const pgwire::ErrorFields& error)
{
    this->connectTimer.reset();
    if (this->keyTrace)
        this->backendKey = this->keyTrace->finish();
    this->keyTrace.reset();
    if (!error.fields.empty())
        this->markBroken();
    if (const auto call = std::exchange(this->opened, nullptr))
        call(error);
}

void PqLink::markBroken()
{
    this->hasBroken = true;
    this->readWatch.reset();
    this->writeWatch.reset();
}

bool PqLink::isInTransaction() const noexcept
{
    return internal::readTransaction(this->connection.get()) != pgwire::TransactionStatus::Idle;
}

bool PqLink::holdsState() const noexcept
{
    return this->stateLeft || this->isInTransaction();
}

void PqLink::abandon()
{
    if (this->sink)
        this->endLater();
    else
        this->markBroken();
}

kernel::Socket PqLink::close()
{
    kernel::Socket lingering;
    if (PQsocket(this->connection.get()) >= 0)
        lingering = kernel::Socket(dup(PQsocket(this->connection.get())));
    this->markBroken();
    this->sink = nullptr;
    this->opened = nullptr;
    this->connectTimer.reset();
    this->keyTrace.reset();
    this->connection.reset();
    if (lingering && shutdown(lingering.descriptor(), SHUT_WR) != 0)
        lingering.close();
    return lingering;
}

void PqLink::noteText(std::string_view text) noexcept
{
    if (text.find("set_config") != std::string_view::npos)
        this->stateLeft = true;
}

void PqLink::beginBatch(ResultSink& usedSink, std::size_t queries)
{
    this->sink = &usedSink;
    this->queryCount = queries;
    this->queryIndex = 0;
    this->columnsReported = false;
    this->inPosition = false;
    this->heldTag.reset();
    this->end = {};
}

bool PqLink::sendQuery(const Query& query)
{
    this->sentValues.clear();
    this->sentLengths.clear();
    this->sentFormats.clear();
    for (std::size_t i = 0; i < query.parameters.size(); ++i) {
        const auto& value = query.parameters[i];
        const auto& given = query.parameterFormats;
        this->sentValues.push_back(value ? value->c_str() : nullptr);
        this->sentLengths.push_back(value ? static_cast<int>(value->size()) : 0);
        this->sentFormats.push_back(given.empty() ? 0 : given[given.size() == 1 ? 0 : i]);
    }
    const auto count = static_cast<int>(query.parameters.size());
    auto* raw = this->connection.get();
    this->noteText(query.text);
    switch (query.kind) {
    case QueryKind::Execute: {
        if (query.parameterTypes.size() >= query.parameters.size())
            return PQsendQueryParams(raw, query.text.c_str(), count, query.parameterTypes.data(), this->sentValues.data(), this->sentLengths.data(), this->sentFormats.data(), query.resultFormat) == 1;
        auto types = query.parameterTypes;
        types.resize(query.parameters.size());
        return PQsendQueryParams(raw, query.text.c_str(), count, types.data(), this->sentValues.data(), this->sentLengths.data(), this->sentFormats.data(), query.resultFormat) == 1;
    }
    case QueryKind::Prepare:
        this->stateLeft = this->stateLeft || !query.statement.empty();
        return PQsendPrepare(raw, query.statement.c_str(), query.text.c_str(), static_cast<int>(query.parameterTypes.size()), query.parameterTypes.data()) == 1;
    case QueryKind::ExecutePrepared:
        return PQsendQueryPrepared(raw, query.statement.c_str(), count, this->sentValues.data(), this->sentLengths.data(), this->sentFormats.data(), query.resultFormat) == 1;
    case QueryKind::DescribePrepared:
        break;
    }
    return PQsendDescribePrepared(raw, query.statement.c_str()) == 1;
}

bool PqLink::sendPositionQuery()
{
    auto* raw = this->connection.get();
    return PQsendQueryParams(raw, positionQuery, 0, nullptr, nullptr, nullptr, nullptr, 0) == 1 && PQpipelineSync(raw) == 1;
}

bool PqLink::sendBatch(const Batch& batch)
{
    const bool queriesSent = std::all_of(batch.queries.begin(), batch.queries.end(), [this](const auto& query) { return this->sendQuery(query); });
    return queriesSent && PQpipelineSync(this->connection.get()) == 1 && (!batch.withPosition || this->sendPositionQuery());
}

void PqLink::run(const Batch& batch, ResultSink& usedSink)
{
    this->beginBatch(usedSink, batch.queries.size());
    this->kinds.clear();
    std::size_t bytes = 0;
    for (const auto& query : batch.queries) {
        this->kinds.push_back(query.kind);
        bytes += measure(query);
    }
    this->syncsLeft = batch.withPosition ? 2 : 1;
    this->end.sent = bytes > unsentLimitBytes;
    if (this->hasBroken || !this->sendBatch(batch)) {
        this->endLater();
        return;
    }
    this->end.sent = true;
    this->beginQuery();
    this->flush();
}

void PqLink::endLater()
{
    this->markBroken();
    this->loop.post([this, living = this->alive] {
        if (*living && this->sink)
            this->endBatch(true);
    });
}

void PqLink::pauseReading()
{
    this->readingPaused = true;
    this->updateWatch();
}

void PqLink::resumeReading()
{
    if (!std::exchange(this->readingPaused, false))
        return;
    this->updateWatch();
    this->loop.post([this, living = this->alive] {
        if (*living && this->sink && !this->readingPaused)
            this->readAnswers();
    });
}

void PqLink::cancel()
{
    if (this->sink && this->backendKey && !this->hasBroken)
        internal::sendCancelRequest(this->loop, this->options.address, *this->backendKey);
}

std::string_view PqLink::parameterStatus(const std::string& name) const
{
    return readParameter(this->connection.get(), name.c_str());
}

void PqLink::updateWatch()
{
    if (this->readingPaused || this->hasBroken) {
        this->readWatch.reset();
        return;
    }
    if (!this->readWatch)
        this->readWatch = this->loop.watch(PQsocket(this->connection.get()), { .readable = true }, [this](auto) { this->onReady(); });
}

void PqLink::flush()
{
    if (PQflush(this->connection.get()) == 1) {
        if (!this->writeWatch)
            this->writeWatch = this->loop.watch(PQsocket(this->connection.get()), { .writable = true }, [this](auto) { this->flush(); });
        return;
    }
    this->writeWatch.reset();
    if (std::exchange(this->copyBlocked, false) && this->sink)
        this->sink->onCopyReady();
}

void PqLink::onReady()
{
    const auto living = this->alive;
    const bool isOpen = PQconsumeInput(this->connection.get()) == 1;
    if (!isOpen)
        this->markBroken();
    if (this->sink) {
        // Answers that came whole before the break still count.
        this->readAnswers();
        if (*living && this->sink && !isOpen && !this->readingPaused)
            this->endBatch(true);
        return;
    }
    static_cast<void>(PQisBusy(this->connection.get()));
    if (isOpen || !this->broken)
        return;
    const auto call = this->broken;
    call();
}

void PqLink::readAnswers()
{
    if (this->copyPhase == CopyPhase::None)
        this->readBatch();
    else
        this->readCopy();
}

void PqLink::readBatch()
{
    const auto living = this->alive;
    while (*living && this->sink && !this->readingPaused && PQisBusy(this->connection.get()) == 0) {
        const internal::ResultHandle result(PQgetResult(this->connection.get()));
        if (!result) {
            ++this->queryIndex;
            this->beginQuery();
            continue;
        }
        if (!this->takeResult(*result))
            return;
    }
}

void PqLink::beginQuery()
{
    this->columnsReported = false;
    PQsetSingleRowMode(this->connection.get());
}

bool PqLink::takeResult(PGresult& result)
{
    switch (PQresultStatus(&result)) {
    case PGRES_PIPELINE_SYNC:
        return this->takeSync();
    case PGRES_SINGLE_TUPLE:
        this->takeTuples(result, false);
        return true;
    case PGRES_TUPLES_OK:
        this->takeTuples(result, true);
        return true;
    case PGRES_COMMAND_OK:
        if (this->queryIndex < this->kinds.size() && this->kinds[this->queryIndex] == QueryKind::DescribePrepared)
            this->takeDescription(result);
        this->complete(PQcmdStatus(&result));
        return true;
    case PGRES_EMPTY_QUERY:
        this->complete("");
        return true;
    case PGRES_PIPELINE_ABORTED:
        return true;
    case PGRES_COPY_IN:
    case PGRES_COPY_OUT:
    case PGRES_COPY_BOTH:
        this->markBroken(); // libpq cannot leave a COPY that began in pipeline mode.
        this->endBatch(true);
        return false;
    default:
        this->takeError(result);
        if (PQstatus(this->connection.get()) != CONNECTION_BAD)
            return true;
        this->markBroken();
        this->endBatch(true);
        return false;
    }
}

bool PqLink::takeSync()
{
    this->releaseCompletion();
    if (--this->syncsLeft == 0) {
        this->endBatch(false);
        return false;
    }
    this->inPosition = true;
    this->beginQuery();
    return true;
}

void PqLink::takeError(PGresult& result)
{
    this->heldTag.reset();
    // A break without a word of the upstream has no SQLSTATE; BatchEnd::lost tells it.
    if (!this->sink || this->inPosition || !PQresultErrorField(&result, PG_DIAG_SQLSTATE))
        return;
    const auto last = this->queryCount == 0 ? 0 : this->queryCount - 1;
    this->sink->onError(std::min(this->queryIndex, last), internal::readErrorFields(result));
}

void PqLink::complete(std::string_view tag)
{
    if (this->inPosition || !this->sink)
        return;
    if (!tag.starts_with("SELECT") && !tag.empty())
        this->stateLeft = true;
    if (this->queryIndex + 1 < this->queryCount)
        this->sink->onCompleted(this->queryIndex, tag);
    else
        this->heldTag = tag;
}

void PqLink::releaseCompletion()
{
    if (!this->heldTag)
        return;
    const auto tag = std::exchange(this->heldTag, std::nullopt);
    this->sink->onCompleted(this->queryCount - 1, *tag);
}

void PqLink::takeDescription(PGresult& result)
{
    std::vector<std::uint32_t> types;
    for (int i = 0; i < PQnparams(&result); ++i)
        types.push_back(PQparamtype(&result, i));
    this->sink->onParameterTypes(this->queryIndex, types);
    if (!this->sink || PQnfields(&result) == 0)
        return;
    internal::readColumns(result, this->columns);
    this->sink->onColumns(this->queryIndex, this->columns);
}

void PqLink::takeTuples(PGresult& result, bool last)
{
    if (this->inPosition) {
        if (PQntuples(&result) == 1)
            this->end.status = internal::readStatus(result);
        return;
    }
    if (!std::exchange(this->columnsReported, true)) {
        internal::readColumns(result, this->columns);
        this->sink->onColumns(this->queryIndex, this->columns);
    }
    for (int row = 0; row < PQntuples(&result); ++row) {
        internal::readRow(result, row, this->values);
        this->sink->onRow(this->queryIndex, this->values);
        if (!this->sink)
            return; // the sink has given the link up
    }
    if (last)
        this->complete(PQcmdStatus(&result));
}

void PqLink::reportParameters()
{
    for (auto& [name, known] : this->parameters) {
        const auto value = readParameter(this->connection.get(), name.c_str());
        if (value == known)
            continue;
        known = value;
        this->sink->onParameterStatus(name, value);
    }
}

void PqLink::endBatch(bool lost)
{
    if (!this->sink)
        return;
    this->end.lost = lost;
    this->copyPhase = CopyPhase::None;
    if (lost)
        this->markBroken();
    else
        this->end.transaction = internal::readTransaction(this->connection.get()); // known only once nothing is under way
    if (!lost && this->stateLeft)
        this->reportParameters();
    if (this->end.status && this->statusObserver)
        this->statusObserver(*this->end.status);
    const auto ended = this->end;
    std::exchange(this->sink, nullptr)->onEnd(ended);
}

void PqLink::takeNotice(void* self, const PGresult* result)
{
    const auto& link = *static_cast<PqLink*>(self);
    if (link.sink && !link.inPosition)
        link.sink->onNotice(internal::readErrorFields(*result));
}

}

#include "amaranthhall/bench/load_caller.hpp"

#include <algorithm>
#include <charconv>

namespace amaranthhall::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr auto connectTimeout = 2s;
    constexpr auto reconnectDelay = 50ms;
    constexpr auto acceptedAge = 5s;
    constexpr std::uint32_t keyedAttempts = 10; // a repeated key must end in one row however often it is sent
    constexpr auto outcomeUnknown = "08007";

    std::string insertText(const WriteRecord& write, std::uint32_t part)
    {
        return "INSERT INTO entries (id, caller, seq, part) VALUES ('" + write.id + "', " + std::to_string(write.caller) + ", " + std::to_string(write.sequence) + ", " + std::to_string(part) + ")";
    }

    std::uint64_t readNumber(const pgwire::Value& value)
    {
        std::uint64_t number = 0;
        if (value)
            std::from_chars(value->data(), value->data() + value->size(), number);
        return number;
    }

    bool isWrite(OperationKind kind)
    {
        return kind == OperationKind::Write || kind == OperationKind::KeyedWrite || kind == OperationKind::Transaction;
    }

}

LoadCaller::LoadCaller(kernel::Loop& usedLoop, CallerOptions usedOptions)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , alive(std::make_shared<int>(0))
{
}

LoadCaller::~LoadCaller() = default;

void LoadCaller::add(const Operation& operation)
{
    this->queue.push_back(operation);
    this->proceed();
}

std::string LoadCaller::describeWait() const
{
    if (this->isIdle())
        return {};
    const auto waited = std::chrono::duration<double>(this->loop.now() - this->begunAt).count();
    const char* state = this->isRunning ? "running" : "between operations";
    if (!this->isOpen)
        state = this->link ? "connecting" : "not connected";
    return "caller " + std::to_string(this->options.number) + " of instance " + std::to_string(this->options.instance) + ": " + std::to_string(this->queue.size()) + " operations, " + state + " at "
        + kernel::formatAddress(this->daemon) + " for " + std::to_string(waited) + " s";
}

void LoadCaller::proceed()
{
    if (this->queue.empty() || this->isRunning || this->retryTimer)
        return;
    if (!this->link)
        this->connect();
    else if (this->isOpen)
        this->runFront();
}

void LoadCaller::connect()
{
    this->isOpen = false;
    this->begunAt = this->loop.now();
    this->daemon = this->options.chooseDaemon();
    this->link = std::make_unique<upstream::PqLink>(this->loop,
        upstream::LinkOptions { .address = this->daemon, .database = this->options.database, .user = "bench", .tlsMode = "disable", .connectTimeout = connectTimeout, .applicationName = "caller-" + std::to_string(this->options.number) });
    this->link->open([this](const auto& error) { this->onOpened(error); }, [this] { this->disconnect(); });
}

void LoadCaller::onOpened(const pgwire::ErrorFields& error)
{
    if (error.fields.empty()) {
        this->isOpen = true;
        this->loop.post([this, living = std::weak_ptr(this->alive)] {
            if (!living.expired())
                this->proceed();
        });
        return;
    }
    this->disconnect();
    this->retryTimer = this->loop.after(reconnectDelay, [this] {
        this->retryTimer.reset();
        this->proceed();
    });
}

void LoadCaller::disconnect()
{
    this->isOpen = false;
    // The link may be calling back at this moment, so it goes on a later turn.
    this->loop.post([old = std::shared_ptr<upstream::PqLink>(std::move(this->link))] {});
}

void LoadCaller::runFront()
{
    this->isRunning = true;
    this->begunAt = this->loop.now();
    this->sqlstate.clear();
    const auto& operation = this->queue.front();
    if (isWrite(operation.kind))
        this->runWrite(operation);
    else
        this->runRead(operation);
}

void LoadCaller::runWrite(const Operation& operation)
{
    if (this->attempts == 0) {
        this->write = {
            .id = std::to_string(this->options.number) + "-" + std::to_string(this->nextSequence),
            .caller = this->options.number,
            .instance = this->options.instance,
            .sequence = this->nextSequence++,
            .rows = operation.kind == OperationKind::Transaction ? 2U : 1U,
            .keyed = operation.kind == OperationKind::KeyedWrite,
            .arrived = operation.arrived,
        };
    }
    ++this->attempts;
    upstream::Batch batch;
    if (!this->token.empty() && this->attempts == 1)
        batch.queries.push_back({ .text = "SET amaranthhall.session = '" + this->token + "'" });
    if (this->write.keyed)
        batch.queries.push_back({ .text = "SET amaranthhall.request_key = '" + this->write.id + "'" });
    if (this->write.rows == 2)
        batch.queries.push_back({ .text = "BEGIN" });
    for (std::uint32_t part = 0; part < this->write.rows; ++part)
        batch.queries.push_back({ .text = insertText(this->write, part) });
    if (this->write.rows == 2)
        batch.queries.push_back({ .text = "COMMIT" });
    this->link->run(batch, *this);
}

std::uint64_t LoadCaller::sequenceBefore(Time moment) const
{
    std::uint64_t newest = 0;
    for (const auto& item : this->acknowledged) {
        if (item.ended <= moment)
            newest = std::max(newest, item.sequence);
    }
    return newest;
}

void LoadCaller::runRead(const Operation& operation)
{
    const bool acceptsAge = operation.kind == OperationKind::StaleRead;
    const auto own = this->sequenceBefore(acceptsAge ? this->loop.now() - acceptedAge : this->loop.now());
    this->read = {
        .caller = this->options.number,
        .instance = this->options.instance,
        .acceptsAge = acceptsAge,
        .leastSequence = acceptsAge ? own : std::max(own, this->shownSequence),
        .arrived = operation.arrived,
    };
    this->marker = std::to_string(this->options.number) + "/" + std::to_string(this->options.history->reads.size());
    upstream::Batch batch;
    if (!this->token.empty())
        batch.queries.push_back({ .text = "SET amaranthhall.session = '" + this->token + "'" });
    batch.queries.push_back({ .text = std::string("SET amaranthhall.max_stale = '") + (acceptsAge ? "5s" : "0ms") + "'" });
    batch.queries.push_back({ .text = "SELECT '" + this->marker + "' AS marker, coalesce(max(seq), 0) AS seq FROM entries WHERE caller = " + std::to_string(this->options.number) });
    this->read.hasOwnMarker = false;
    this->link->run(batch, *this);
}

void LoadCaller::onRow(std::size_t, std::span<const pgwire::Value> values)
{
    if (values.size() != 2)
        return;
    this->read.hasOwnMarker = values[0] == this->marker;
    this->read.sequence = readNumber(values[1]);
}

void LoadCaller::onError(std::size_t, const pgwire::ErrorFields& error)
{
    this->sqlstate = error.sqlstate();
}

void LoadCaller::onParameterStatus(std::string_view name, std::string_view value)
{
    if (name == "amaranthhall.session")
        this->token = value;
}

void LoadCaller::onEnd(const upstream::BatchEnd& end)
{
    if (const auto reported = this->link->parameterStatus("amaranthhall.session"); !reported.empty())
        this->token = reported;
    if (end.lost)
        this->disconnect();
    const bool isUnknown = end.lost || this->sqlstate == outcomeUnknown;
    if (!isWrite(this->queue.front().kind)) {
        this->finishRead(!end.lost && this->sqlstate.empty());
        return;
    }
    if (isUnknown)
        this->finishWrite(Told::Unknown);
    else
        this->finishWrite(this->sqlstate.empty() ? Told::Acknowledged : Told::NotRun);
}

void LoadCaller::finishWrite(Told told)
{
    const bool mayRepeat = this->write.keyed && told == Told::Unknown && this->attempts < keyedAttempts;
    if (mayRepeat) {
        this->isRunning = false;
        if (this->link)
            this->disconnect();
        this->loop.post([this, living = std::weak_ptr(this->alive)] {
            if (!living.expired())
                this->proceed();
        });
        return;
    }
    // A repeat that was not run says nothing of the attempts before it.
    this->write.told = told == Told::NotRun && this->attempts > 1 ? Told::Unknown : told;
    this->write.ended = this->loop.now();
    if (told == Told::Acknowledged)
        this->acknowledged.push_back({ .sequence = this->write.sequence, .ended = this->write.ended });
    this->options.history->writes.push_back(this->write);
    this->finishFront();
}

void LoadCaller::finishRead(bool succeeded)
{
    this->read.succeeded = succeeded;
    this->read.ended = this->loop.now();
    if (succeeded && !this->read.acceptsAge)
        this->shownSequence = std::max(this->shownSequence, this->read.sequence);
    this->options.history->reads.push_back(this->read);
    this->finishFront();
}

void LoadCaller::finishFront()
{
    const bool roams = this->queue.front().roams;
    this->queue.pop_front();
    this->attempts = 0;
    this->isRunning = false;
    if (roams && this->link)
        this->disconnect();
    this->loop.post([this, living = std::weak_ptr(this->alive)] {
        if (!living.expired())
            this->proceed();
    });
}

}

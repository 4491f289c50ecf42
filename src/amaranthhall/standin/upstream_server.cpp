#include "amaranthhall/standin/upstream_server.hpp"

#include "amaranthhall/standin/replica_feed.hpp"
#include "amaranthhall/standin/upstream_session.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <unistd.h>

namespace amaranthhall::standin {

namespace {

    using namespace std::chrono_literals;

    constexpr auto applyRetry = 2ms;
    constexpr auto replayPatience = 2s; // after this, what stands in the way of replay is rolled back

    std::string makeDatabaseName(const std::string& name, std::uint32_t generation)
    {
        return name + "-" + std::to_string(getpid()) + "-" + std::to_string(generation);
    }

}

UpstreamServer::UpstreamServer(kernel::Loop& usedLoop, UpstreamOptions usedOptions)
    : loop(usedLoop)
    , options(std::move(usedOptions))
    , database(makeDatabaseName(this->options.name, 0))
    , applier(std::make_unique<SqlDatabase>(this->database))
    , feedHeardAt(usedLoop.now())
    , openConnections(this->options.connectionLimit)
{
    if (this->options.startsAsPrimary) {
        this->groupLog.fence(1);
        this->groupLog.promote(1);
    }
    this->listener = kernel::listenOn(this->options.listen);
    this->boundPort = kernel::boundPort(this->listener);
    this->acceptWatch = this->loop.watch(this->listener.descriptor(), { .readable = true }, [this](auto) { this->accept(); });
}

UpstreamServer::~UpstreamServer()
{
    this->acceptWatch.reset();
}

group::UpstreamStatus UpstreamServer::status() const noexcept
{
    auto status = this->groupLog.status();
    // An old tail that reads still show must not pass for the new primary's records.
    status.applied = std::min(this->applied, this->groupLog.matchedEnd());
    status.isDraining = this->isLeaving;
    return status;
}

std::chrono::milliseconds UpstreamServer::feedAge() const
{
    if (this->groupLog.status().role == group::Role::Primary)
        return {};
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.now() - this->feedHeardAt);
}

void UpstreamServer::noteFeed()
{
    this->feedHeardAt = this->loop.now();
}

void UpstreamServer::logCommit(std::vector<LoggedStatement> statements)
{
    this->applied = this->groupLog.append(std::move(statements)).position;
    this->wake();
}

FeedAnswer UpstreamServer::takeFeed(const Feed& feed)
{
    const bool wasPrimary = this->status().role == group::Role::Primary;
    const auto before = this->groupLog.records().size();
    const auto answer = this->groupLog.takeFeed(feed);
    if (!answer.accepted)
        return answer;
    if (wasPrimary)
        this->interruptSessions();
    if (answer.truncated) {
        telemetry::logEvent(telemetry::LogLevel::Info, "standin.tail_dropped", { { "records_before", before }, { "records", this->groupLog.records().size() } });
        this->rebuild();
    }
    const auto from = this->due.empty() ? this->applied : this->due.back().position;
    for (auto position = from + 1; position <= this->groupLog.records().size(); ++position)
        this->due.push_back({ .position = position, .at = this->loop.now() + this->replicaLag.apply });
    this->apply();
    this->wake();
    return answer;
}

bool UpstreamServer::fence(group::Term term)
{
    const bool wasPrimary = this->status().role == group::Role::Primary;
    const bool accepted = this->groupLog.fence(term);
    if (accepted && wasPrimary)
        this->interruptSessions();
    this->feedHeardAt = this->loop.now();
    this->wake();
    return accepted;
}

bool UpstreamServer::promote(group::Term term)
{
    if (this->status().role == group::Role::Primary)
        return this->groupLog.promote(term);
    if (this->groupLog.status().term != term)
        return false;
    this->applyAll();
    const bool promoted = this->groupLog.promote(term);
    this->wake();
    return promoted;
}

void UpstreamServer::setPeers(const std::vector<std::string>& peers)
{
    this->feeds.clear();
    for (const auto& text : peers) {
        if (const auto address = kernel::parseAddress(text))
            this->feeds.push_back(std::make_unique<ReplicaFeed>(*this, *address));
    }
}

bool UpstreamServer::hasFreeSlot() const
{
    const auto following = std::ranges::count_if(this->feeds, [](const auto& feed) { return feed->isConnected(); });
    return static_cast<std::uint32_t>(following) < this->options.slots;
}

void UpstreamServer::setLag(ReplicaLag lag)
{
    this->replicaLag = lag;
    // What waits already is not held back longer than the new lag asks for.
    for (auto& record : this->due)
        record.at = std::min(record.at, this->loop.now() + lag.apply);
    this->apply();
}

void UpstreamServer::cancel(std::int32_t process, std::int32_t secret)
{
    for (const auto& session : this->sessions) {
        if (session->hasKeys(process, secret))
            session->cancel();
    }
}

std::size_t UpstreamServer::release(const std::string& application)
{
    std::size_t released = 0;
    for (const auto& session : this->sessions) {
        if (session->application() != application)
            continue;
        session->terminate();
        ++released;
    }
    return released;
}

void UpstreamServer::drop(UpstreamSession& session)
{
    this->loop.post([this, kept = session.shared_from_this()] { this->sessions.remove(kept); });
}

void UpstreamServer::accept()
{
    auto socket = kernel::acceptFrom(this->listener);
    if (!socket)
        return;
    auto session = std::make_shared<UpstreamSession>(*this, std::move(socket));
    this->sessions.push_back(session);
    session->start();
}

bool UpstreamServer::applyNext()
{
    const auto& record = this->groupLog.records()[this->applied];
    if (!this->applier->run("BEGIN IMMEDIATE"))
        return false;
    for (const auto& statement : record.statements) {
        if (const auto done = this->applier->run(statement.text, statement.parameters); !done)
            telemetry::logEvent(telemetry::LogLevel::Error, "standin.replay_failed", { { "position", this->applied + 1 }, { "message", done.error().error.message() } });
    }
    if (!this->applier->run("COMMIT")) {
        this->applier->run("ROLLBACK");
        return false;
    }
    ++this->applied;
    return true;
}

void UpstreamServer::apply()
{
    this->applyTimer.reset();
    while (!this->due.empty() && this->due.front().at <= this->loop.now()) {
        if (this->due.front().position > this->applied && !this->applyNext()) {
            if (this->blockedSince == Time {})
                this->blockedSince = this->loop.now();
            if (this->loop.now() - this->blockedSince >= replayPatience)
                this->interruptSessions();
            this->applyTimer = this->loop.after(applyRetry, [this] { this->apply(); });
            return;
        }
        this->blockedSince = {};
        this->due.pop_front();
    }
    if (!this->due.empty())
        this->applyTimer = this->loop.after(this->due.front().at - this->loop.now(), [this] { this->apply(); });
    this->wake();
}

void UpstreamServer::applyAll()
{
    if (this->applied < this->groupLog.records().size())
        this->interruptSessions();
    while (this->applied < this->groupLog.records().size() && this->applyNext()) { }
    this->due.clear();
    this->applyTimer.reset();
}

void UpstreamServer::interruptSessions()
{
    for (const auto& session : this->sessions)
        session->interrupt();
}

void UpstreamServer::rebuild()
{
    for (const auto& session : this->sessions)
        session->terminate();
    ++this->generation;
    this->database = makeDatabaseName(this->options.name, this->generation);
    this->applier = std::make_unique<SqlDatabase>(this->database);
    this->applied = 0;
    this->due.clear();
}

void UpstreamServer::wake()
{
    // Commits of one turn go to the replicas together.
    if (std::exchange(this->willWake, true))
        return;
    this->loop.post([this] { this->wakeNow(); });
}

void UpstreamServer::wakeNow()
{
    this->willWake = false;
    for (const auto& feed : this->feeds)
        feed->wake();
    const auto woken = this->sessions;
    for (const auto& session : woken)
        session->resume();
}

}

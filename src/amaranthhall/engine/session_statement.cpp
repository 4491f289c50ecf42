#include "amaranthhall/engine/session.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/retry/backoff.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration stallTimeout = 150ms; // longest time without traffic while a reply is outstanding
    constexpr unsigned maximumLagRetries = 8;
    constexpr std::string_view overLimitReason = "the organisation has reached its limit of operations";
    constexpr std::size_t maximumLinkState = 256U << 10U; // bytes of settings and prepared statements after which a link is reset; each link of a daemon may hold as much
    constexpr std::size_t linkEntryOverhead = 128; // bytes of a map node and its strings besides their text
    constexpr freshness::Micros clockMargin = 5'000; // µs by which the staleness bound of a read is tightened

    admission::StatementClass kindOf(const catalog::Route& route)
    {
        return { .consistency = static_cast<std::size_t>(route.consistency), .priority = route.priority };
    }

    /// Returns the name of the next statement prepared on a link: one word whatever its shape contains, and unique until the link is reset.
    std::string nextPreparedName(const PooledLink& link)
    {
        return std::string("s").append(std::to_string(link.prepared.size() + 1));
    }

}

/// Chooses how to execute a statement outside a transaction so that its reads meet the freshness requirements of the route.
void Session::planExecution()
{
    auto& execution = *this->execution;
    const bool begins = execution.request.kind == RequestKind::Begin || execution.request.kind == RequestKind::BeginRead;
    const bool readsOnly = execution.request.kind == RequestKind::BeginRead || (!begins && !this->writes(execution.request));
    execution.mode = begins ? Mode::Begin : Mode::Plain;
    execution.needsLeader = !readsOnly;
    if (!readsOnly)
        return;
    const auto staleness = std::chrono::duration_cast<std::chrono::microseconds>(execution.route.maximumStaleness).count();
    const auto sample = execution.route.consistency == catalog::Consistency::Primary
        ? std::nullopt
        : this->context.dispatcher.samples(execution.route.service).leastPointSince(execution.arrivedBootTime - staleness + clockMargin);
    if (!sample) {
        execution.needsLeader = true;
        execution.mode = begins ? Mode::Begin : Mode::Wrapped;
        return;
    }
    execution.after = sample;
    if (execution.route.consistency == catalog::Consistency::ReadYourWrites && this->lastCommit)
        execution.after = std::max(*sample, *this->lastCommit);
}

void Session::attempt()
{
    auto& execution = *this->execution;
    execution.isSent = false;
    execution.upstream.clear();
    if (!this->refreshIdentity() || this->startRelay() || this->startAdmission())
        return;
    this->acquireLink();
}

/// Asks whether the limit of the organisation admits the operation, before it is queued; returns false if it is admitted already or has no limit.
bool Session::startAdmission()
{
    auto& execution = *this->execution;
    const auto configuration = this->context.catalog.configuration();
    if (!this->context.limiter || execution.isAdmitted || execution.identity.organisation.empty() || !configuration || !configuration->organisations)
        return false;
    const auto* organisation = configuration->organisations->find(execution.identity.organisation);
    if (!organisation || !organisation->limit)
        return false;
    const Operation operation { .organisation = organisation->name, .limit = *organisation->limit, .isUrgent = execution.route.priority <= configuration->mostUrgentPriority };
    this->context.limiter->admit(operation, this->guarded([this](bool isAdmitted) {
        if (!isAdmitted) {
            this->sendError(ReplyCode::Busy, overLimitReason);
            return;
        }
        this->execution->isAdmitted = true;
        this->acquireLink();
    }));
    return true;
}

void Session::acquireLink()
{
    auto& execution = *this->execution;
    LinkRequirements requirements {
        .requestId = execution.request.id,
        .service = execution.route.service,
        .organisation = execution.identity.organisation,
        .needsLeader = execution.needsLeader,
        .after = execution.after,
        .tried = execution.tried,
        .target = execution.arrivedAt + execution.route.targetLatency,
        .deadline = execution.deadline,
        .priority = execution.route.priority,
        .kind = kindOf(execution.route),
        .beginsTransaction = execution.mode == Mode::Begin,
        .mayRelay = this->mayRelay(),
        .settings = &this->settings,
    };
    this->ticket = this->context.dispatcher.acquire(std::move(requirements), this->guarded([this](tl::expected<AcquiredLink, Refusal> result) { this->onLinkAcquired(std::move(result)); }));
}

void Session::onLinkAcquired(tl::expected<AcquiredLink, Refusal> result)
{
    this->ticket = {};
    if (!result) {
        if (!this->startRelay())
            this->sendReply({ .code = ReplyCode::Busy, .detail = std::string(result.error().reason), .isLeaderUnreachable = result.error().isLeaderUnreachable });
        return;
    }
    // The key may have been withdrawn while the statement waited.
    const auto organisation = this->execution->identity.organisation;
    if (!this->refreshIdentity())
        return;
    if (this->execution->identity.organisation != organisation) {
        this->execution->isAdmitted = false;
        this->attempt();
        return;
    }
    this->currentLink = std::move(*result);
    this->execution->upstream = this->currentLink.upstream();
    this->watchForStall();
    this->prepareLink([this] {
        switch (this->execution->mode) {
        case Mode::Begin:
            this->runBegin();
            return;
        case Mode::Plain:
            this->runOutsideTransaction();
            return;
        case Mode::Wrapped:
            this->runWrapped();
            return;
        }
    });
}

/// Applies the session's settings to the link and prepares the statement to execute, unless the link already has them.
void Session::prepareLink(std::function<void()> next)
{
    auto& link = this->activeLink().pooledLink();
    const auto pendingCommands = std::make_shared<unsigned>(1);
    const auto hasFailed = std::make_shared<bool>(false);
    const auto finish = [this, pendingCommands, hasFailed, next = std::move(next)](const Reply& reply) {
        *hasFailed = *hasFailed || !reply.succeeded();
        if (--*pendingCommands > 0)
            return;
        if (!*hasFailed) {
            next();
            return;
        }
        this->activeLink().discard();
        this->retryOrReply(Reply { .lost = true }, true);
    };
    const auto send = [&](const Command& command) {
        ++*pendingCommands;
        this->activeLink().send(command, this->guarded(finish));
    };
    const bool isFull = !this->transaction && link.stateBytes > maximumLinkState;
    const bool hasOtherSettings = isFull || std::any_of(link.settings.begin(), link.settings.end(), [this](const auto& item) { return !this->settings.contains(item.first); });
    if (hasOtherSettings) {
        link.settings.clear();
        link.prepared.clear();
        link.stateBytes = 0;
        send({ .kind = Command::Kind::Reset });
    }
    for (const auto& [name, value] : this->settings) {
        const auto found = link.settings.find(name);
        if (found != link.settings.end() && found->second == value)
            continue;
        link.stateBytes += found == link.settings.end() ? name.size() + value.size() + linkEntryOverhead : value.size();
        link.stateBytes -= found == link.settings.end() ? 0 : found->second.size();
        link.settings[name] = value;
        send({ .kind = Command::Kind::Set, .name = name, .value = value });
    }
    if (this->execution->request.kind == RequestKind::Execute) {
        const auto& statement = this->statements.find(this->execution->request.name)->second;
        const auto [prepared, isNew] = link.prepared.try_emplace(statement, nextPreparedName(link));
        if (isNew) {
            link.stateBytes += statement.shape.size() + linkEntryOverhead;
            send({ .kind = statement.writes ? Command::Kind::PrepareWrite : Command::Kind::PrepareRead, .name = prepared->second, .value = statement.shape });
        }
    }
    finish(Reply {});
}

void Session::sendStatement(Link::Done done)
{
    auto& execution = *this->execution;
    execution.isSent = true;
    execution.sentAt = this->context.loop.now();
    execution.sentBootTime = freshness::bootNow();
    const auto& request = execution.request;
    if (request.kind != RequestKind::Execute) {
        this->activeLink().send({ .id = request.id, .text = request.text, .after = execution.after }, std::move(done));
        return;
    }
    const auto& statement = this->statements.find(request.name)->second;
    const auto& name = this->activeLink().pooledLink().prepared.at(statement);
    this->activeLink().send({ .kind = Command::Kind::Execute, .id = request.id, .name = name, .value = request.value, .after = execution.after }, std::move(done));
}

void Session::runOutsideTransaction()
{
    this->sendStatement(this->guarded([this](Reply reply) { this->onReply(std::move(reply)); }));
}

void Session::runWrapped()
{
    this->execution->sentAt = this->context.loop.now();
    this->execution->sentBootTime = freshness::bootNow();
    this->activeLink().send({ .kind = Command::Kind::Begin }, this->guarded([this](Reply reply) {
        if (!reply.succeeded()) {
            this->onReply(std::move(reply));
            return;
        }
        if (!this->isConfirmed(reply)) {
            this->retryUnconfirmedLeader();
            return;
        }
        this->noteProof(reply);
        this->runOutsideTransaction();
    }));
}

void Session::runBegin()
{
    auto& execution = *this->execution;
    execution.sentAt = this->context.loop.now();
    execution.sentBootTime = freshness::bootNow();
    const auto done = this->guarded([this](Reply reply) { this->onBeginReply(std::move(reply)); });
    const bool sendsCallerText = execution.request.kind == RequestKind::Begin || !execution.needsLeader;
    if (sendsCallerText)
        this->activeLink().send({ .id = execution.request.id, .text = execution.request.text, .after = execution.after }, done);
    else
        this->activeLink().send({ .kind = Command::Kind::Begin }, done);
}

void Session::onBeginReply(Reply reply)
{
    if (!reply.succeeded()) {
        this->onReply(std::move(reply));
        return;
    }
    if (this->execution->needsLeader) {
        if (!this->isConfirmed(reply)) {
            this->retryUnconfirmedLeader();
            return;
        }
        this->noteProof(reply);
    }
    this->transaction.emplace(this->beginTransaction());
    this->transaction->link = std::move(this->currentLink);
    this->sendReply({ .digest = std::move(reply.digest), .state = TransactionState::Open });
}

/// Returns whether reads at the leader that replied are known to include everything acknowledged before its term.
bool Session::isConfirmed(const Reply& reply)
{
    return reply.point && this->context.dispatcher.isConfirmed(this->execution->route.service, this->currentLink.upstream(), reply.point->term);
}

/// Releases a link whose upstream may not have caught up in the term it leads, and retries after a backoff delay.
void Session::retryUnconfirmedLeader()
{
    constexpr retry::BackoffOptions backoff { .first = 5ms, .limit = 80ms };
    this->currentLink.reset();
    this->retryTimer = this->context.loop.after(retry::backoffDelay(backoff, this->execution->unconfirmedAttempts++), [this] { this->attempt(); });
}

/// Returns a transaction for the route and organisation of the current statement, without a link.
Session::Transaction Session::beginTransaction()
{
    return { .route = this->execution->route, .organisation = this->execution->identity.organisation };
}

void Session::noteProof(const Reply& reply)
{
    if (!reply.point)
        return;
    auto& execution = *this->execution;
    const auto& service = this->transaction ? this->transaction->route.service : execution.route.service;
    this->context.dispatcher.noteProof(service, { .upstream = this->activeLink().upstream(), .point = *reply.point, .at = execution.sentAt }, execution.sentBootTime);
    this->context.dispatcher.noteLeaderReply(service, this->context.loop.now());
}

/// Handles the reply to a statement outside a transaction, or a failed reply to the BEGIN before it.
void Session::onReply(Reply reply)
{
    if (reply.succeeded()) {
        const bool isWrite = this->writes(this->execution->request);
        if (isWrite)
            this->noteProof(reply);
        retry::deposit(this->context.budget);
        const auto service = this->execution->route.service;
        this->context.dispatcher.noteWork(service, kindOf(this->execution->route), this->context.loop.now() - this->execution->sentAt, this->currentLink);
        const auto upstream = this->currentLink.upstream();
        this->currentLink.reset();
        if (isWrite)
            this->acknowledgeCommit(std::move(reply), service, upstream);
        else
            this->sendReply({ .rows = std::move(reply.rows), .digest = std::move(reply.digest) });
        return;
    }
    const bool wasLost = reply.lost;
    if (reply.code == ReplyCode::ReadOnly)
        this->context.dispatcher.noteNotLeader(this->execution->route.service, this->currentLink.upstream(), this->execution->sentAt);
    if (wasLost)
        this->currentLink.discard();
    else
        this->currentLink.reset();
    this->retryOrReply(std::move(reply), wasLost);
}

void Session::retryOrReply(Reply reply, bool wasLost)
{
    auto& execution = *this->execution;
    if (this->transaction) {
        this->failTransaction(std::move(reply));
        return;
    }
    // A replica that has not reached the position refuses before occupying a slot, so a retry costs the service nothing.
    if (reply.code == ReplyCode::Lagging && execution.retries < maximumLagRetries && this->context.loop.now() < execution.deadline) {
        this->retryLater(reply);
        return;
    }
    const bool isWrite = this->writes(execution.request);
    retry::Outcome outcome {
        .sent = execution.isSent,
        .lost = wasLost,
        .writes = isWrite,
        .deadlineExpired = this->context.loop.now() >= execution.deadline,
        .transient = impliesNotRun(reply.code) || (!isWrite && (reply.code == ReplyCode::Failed || reply.code == ReplyCode::TimedOut)),
        .retries = execution.retries,
    };
    switch (retry::decide(outcome, this->context.budget)) {
    case retry::Decision::Retry:
        this->retryLater(reply);
        return;
    case retry::Decision::ForwardReply:
        this->sendError(reply.code, reply.detail);
        return;
    case retry::Decision::NotRun:
        this->sendError(ReplyCode::Aborted, "the connection to the upstream was lost");
        return;
    case retry::Decision::OutcomeUnknown:
        this->sendError(ReplyCode::InDoubt, "the connection to the upstream was lost");
        return;
    }
}

void Session::retryLater(const Reply& reply)
{
    constexpr unsigned retriesBeforeLeader = 2; // the leader has every position
    auto& execution = *this->execution;
    this->context.log.writeRetry({ .id = execution.request.id, .upstream = execution.upstream, .code = reply.code, .lost = reply.lost, .requiredPoint = execution.after, .reportedPoint = reply.point }, this->context.loop.now());
    ++execution.retries;
    if (reply.lost)
        execution.isAdmitted = false; // the lost attempt may have run, so the next one counts as well
    execution.tried.push_back(execution.upstream);
    if (execution.retries >= retriesBeforeLeader && !execution.needsLeader)
        execution.needsLeader = true;
    const auto delay = execution.needsLeader ? retryDelay : Duration::zero();
    this->retryTimer = this->context.loop.after(delay, [this] { this->attempt(); });
}

/// Abandons an attempt that stalls, if a retry is safe because the statement does not write. The way to another daemon that stalls is avoided in any case.
void Session::watchForStall()
{
    this->stallTimer = this->context.loop.after(stallTimeout, [this] {
        if (!this->execution)
            return;
        const auto now = this->context.loop.now();
        const bool isStreamSilent = this->noteSilentStream(now);
        const bool isWaiting = this->currentLink || this->activeStream();
        if (!isWaiting)
            return;
        const bool mayRetry = !this->transaction && !this->writes(this->execution->request);
        const bool isStalled = this->currentLink ? this->currentLink.isStalled(this->execution->sentAt, now) : isStreamSilent;
        if (!mayRetry || !isStalled) {
            this->watchForStall();
            return;
        }
        ++this->generation;
        if (this->currentLink)
            this->currentLink.discardStalled();
        if (this->currentStream)
            this->onRelayLost();
        else
            this->retryOrReply(Reply { .lost = true }, true);
    });
}

/// Records a stall of the daemon that runs the current statement if it has been silent; returns whether it has.
bool Session::noteSilentStream(Time now)
{
    auto* stream = this->activeStream();
    const bool isSilent = stream && stream->silence(now) >= stallTimeout;
    if (isSilent)
        stream->noteStall();
    return isSilent;
}

}

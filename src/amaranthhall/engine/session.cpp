#include "amaranthhall/engine/session.hpp"

#include "amaranthhall/engine/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration retryPause = 5ms; // about half a statement's time
    constexpr Duration stallLimit = 150ms; // silence of one that owes answers
    constexpr std::chrono::milliseconds relayMargin { 10 }; // so that the other daemon's refusal comes before the deadline
    constexpr unsigned mostLagRetries = 8;
    constexpr freshness::Micros clockMargin = 5'000; // µs that a read's bound is tightened by

    std::string linkName(bool writes, std::string_view shape)
    {
        return (writes ? "w_" : "r_") + std::string(shape);
    }

}

template <typename Function>
auto Session::guarded(Function function)
{
    return [this, function = std::move(function), living = std::weak_ptr(this->alive), expected = this->generation](auto&&... arguments) mutable {
        if (!living.expired() && this->generation == expected)
            function(std::forward<decltype(arguments)>(arguments)...);
    };
}

Session::Session(SessionContext& usedContext, CallerChannel& usedChannel)
    : context(usedContext)
    , channel(usedChannel)
{
}

Session::~Session() = default;

void Session::start(std::string_view wanted)
{
    this->database = wanted;
    const auto configuration = this->context.catalog.configuration();
    if (!configuration) {
        this->channel.refuse(ReplyCode::Busy, "no configuration yet");
        return;
    }
    if (!configuration->findRoute(wanted)) {
        this->channel.refuse(ReplyCode::UnknownDatabase, wanted);
        return;
    }
    this->channel.welcome();
}

TransactionState Session::state() const noexcept
{
    if (!this->transaction)
        return TransactionState::Idle;
    const bool isOpen = this->transaction->loan || this->transaction->stream;
    return isOpen ? TransactionState::Open : TransactionState::Failed;
}

bool Session::writes(const Request& request) const
{
    if (request.kind != RequestKind::Execute)
        return request.writes;
    const auto found = this->statements.find(request.name);
    return found != this->statements.end() && found->second.writes;
}

void Session::handleRelayed(RelayedRequest relayed)
{
    this->database = relayed.route.database;
    this->relayedRoute = std::move(relayed.route);
    this->relayedTime = relayed.timeLeft;
    this->settings = std::move(relayed.settings);
    this->lastCommit = relayed.lastCommit;
    if (relayed.prepared)
        this->statements[relayed.request.name] = *std::move(relayed.prepared);
    this->handle(std::move(relayed.request));
}

void Session::handle(Request request)
{
    ++this->generation;
    this->idleTimer.reset();
    switch (request.kind) {
    case RequestKind::Set:
    case RequestKind::Prepare:
    case RequestKind::Deallocate:
    case RequestKind::Malformed:
        this->handleLocal(request);
        return;
    default:
        this->handleSettled(std::move(request));
    }
}

void Session::handleLocal(const Request& request)
{
    Reply reply { .state = this->state() };
    if (reply.state == TransactionState::Failed || request.kind == RequestKind::Malformed) {
        reply.code = ReplyCode::Malformed;
        reply.detail = reply.state == TransactionState::Failed ? "the transaction has failed" : "the statement can't be read";
    } else if (request.kind == RequestKind::Set)
        this->settings[request.name] = request.value;
    else if (request.kind == RequestKind::Prepare)
        this->statements[request.name] = { .writes = request.writes, .shape = request.value };
    else
        this->statements.erase(request.name);
    this->channel.answer(reply);
    this->watchIdleTransaction();
}

/// Handles what begins, ends or runs; checks first whether the session's state allows it.
void Session::handleSettled(Request request)
{
    const auto now = this->state();
    const bool begins = request.kind == RequestKind::Begin || request.kind == RequestKind::BeginRead;
    const bool ends = request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback;
    if (now == TransactionState::Failed && ends) {
        const bool isRollback = request.kind == RequestKind::Rollback;
        this->transaction.reset();
        this->channel.answer(isRollback ? Reply {} : Reply { .code = ReplyCode::Aborted, .detail = "the transaction had failed" });
        return;
    }
    const bool isAllowed = now == TransactionState::Idle ? !ends : now == TransactionState::Open && !begins;
    if (!isAllowed) {
        this->channel.answer({ .code = ReplyCode::Malformed, .detail = "not allowed in this state of the transaction", .state = now });
        return;
    }
    if (request.kind == RequestKind::Rollback) {
        this->transaction.reset();
        this->channel.answer({});
        return;
    }
    if (request.kind == RequestKind::Execute && !this->statements.contains(request.name)) {
        this->channel.answer({ .code = ReplyCode::UnknownStatement, .detail = request.name, .state = now });
        return;
    }
    this->beginWork(std::move(request));
}

void Session::beginWork(Request request)
{
    const auto now = this->context.loop.now();
    this->work.emplace(Work { .request = std::move(request), .arrived = now, .arrivedBoot = bootNow() });
    const auto configuration = this->context.catalog.configuration();
    const auto* route = configuration ? configuration->findRoute(this->database) : nullptr;
    if (this->relayedRoute)
        route = &*this->relayedRoute;
    if (!route && !this->transaction) {
        this->answerCode(ReplyCode::UnknownDatabase, "the configuration has no such database");
        return;
    }
    if (route)
        this->work->route = *route;
    const auto timeout = this->relayedRoute ? std::min(this->relayedTime, this->work->route.statementTimeout) : this->work->route.statementTimeout;
    this->work->deadline = now + timeout;
    this->deadlineTimer = this->context.loop.after(timeout, [this] { this->onDeadline(); });
    if (this->transaction && this->transaction->stream) {
        this->runRelayed();
        return;
    }
    if (this->transaction) {
        if (this->work->request.kind == RequestKind::Commit)
            this->runCommit();
        else
            this->runInside();
        return;
    }
    this->planReads();
    this->attempt();
}

/// Chooses how a statement outside a transaction is run, so that what it reads is fresh enough.
void Session::planReads()
{
    auto& plan = *this->work;
    const bool begins = plan.request.kind == RequestKind::Begin || plan.request.kind == RequestKind::BeginRead;
    const bool readsOnly = plan.request.kind == RequestKind::BeginRead || (!begins && !this->writes(plan.request));
    plan.mode = begins ? Mode::Begin : Mode::Plain;
    plan.needsLeader = !readsOnly;
    if (!readsOnly)
        return;
    const auto staleness = std::chrono::duration_cast<std::chrono::microseconds>(plan.route.maximumStaleness).count();
    const auto sample = plan.route.consistency == catalog::Consistency::Primary
        ? std::nullopt
        : this->context.dispatcher.samples(plan.route.service).pointFor(plan.arrivedBoot - staleness + clockMargin);
    if (!sample) {
        plan.needsLeader = true;
        plan.mode = begins ? Mode::Begin : Mode::Wrapped;
        return;
    }
    plan.after = sample;
    if (plan.route.consistency == catalog::Consistency::ReadYourWrites && this->lastCommit)
        plan.after = std::max(*sample, *this->lastCommit);
}

void Session::attempt()
{
    auto& plan = *this->work;
    plan.isSent = false;
    plan.upstream.clear();
    if (this->startRelay())
        return;
    Want want {
        .requestId = plan.request.id,
        .service = plan.route.service,
        .needsLeader = plan.needsLeader,
        .after = plan.after,
        .tried = plan.tried,
        .target = plan.arrived + plan.route.targetLatency,
        .deadline = plan.deadline,
        .priority = plan.route.priority,
        .settings = &this->settings,
    };
    this->ticket = this->context.dispatcher.acquire(std::move(want), this->guarded([this](tl::expected<Loan, Refusal> result) { this->onGranted(std::move(result)); }));
}

void Session::onGranted(tl::expected<Loan, Refusal> result)
{
    this->ticket = {};
    if (!result) {
        this->answerCode(ReplyCode::Busy, result.error().reason);
        return;
    }
    this->current = std::move(*result);
    this->work->upstream = this->current.upstream();
    this->watchStall();
    this->prepareLink([this] {
        switch (this->work->mode) {
        case Mode::Begin:
            this->runBegin();
            return;
        case Mode::Plain:
            this->runOutside();
            return;
        case Mode::Wrapped:
            this->runWrapped();
            return;
        }
    });
}

/// Brings the link's settings and prepared statements to what the session and its statement need.
void Session::prepareLink(std::function<void()> next)
{
    auto& link = this->loan().state();
    const auto pending = std::make_shared<unsigned>(1);
    const auto isBad = std::make_shared<bool>(false);
    const auto finish = [this, pending, isBad, next = std::move(next)](const Reply& reply) {
        *isBad = *isBad || !reply.succeeded();
        if (--*pending > 0)
            return;
        if (!*isBad) {
            next();
            return;
        }
        this->loan().discard();
        this->retryOrAnswer(Reply { .lost = true }, true);
    };
    const auto send = [&](const Command& command) {
        ++*pending;
        this->loan().send(command, this->guarded(finish));
    };
    const bool hasForeign = std::any_of(link.settings.begin(), link.settings.end(), [this](const auto& item) { return !this->settings.contains(item.first); });
    if (hasForeign) {
        link.settings.clear();
        link.prepared.clear();
        send({ .kind = Command::Kind::Reset });
    }
    for (const auto& [name, value] : this->settings) {
        const auto found = link.settings.find(name);
        if (found != link.settings.end() && found->second == value)
            continue;
        link.settings[name] = value;
        send({ .kind = Command::Kind::Set, .name = name, .value = value });
    }
    if (this->work->request.kind == RequestKind::Execute) {
        const auto& statement = this->statements.find(this->work->request.name)->second;
        const auto name = linkName(statement.writes, statement.shape);
        if (link.prepared.insert(name).second)
            send({ .kind = statement.writes ? Command::Kind::PrepareWrite : Command::Kind::PrepareRead, .name = name, .value = statement.shape });
    }
    finish(Reply {});
}

void Session::sendStatement(Link::Done done)
{
    auto& plan = *this->work;
    plan.isSent = true;
    plan.sentAt = this->context.loop.now();
    plan.sentBoot = bootNow();
    const auto& request = plan.request;
    if (request.kind != RequestKind::Execute) {
        this->loan().send({ .id = request.id, .text = request.text, .after = plan.after }, std::move(done));
        return;
    }
    const auto& statement = this->statements.find(request.name)->second;
    const auto name = linkName(statement.writes, statement.shape);
    this->loan().send({ .kind = Command::Kind::Execute, .id = request.id, .name = name, .value = request.value, .after = plan.after }, std::move(done));
}

void Session::runOutside()
{
    this->sendStatement(this->guarded([this](Reply reply) { this->onReply(std::move(reply)); }));
}

void Session::runWrapped()
{
    this->work->sentAt = this->context.loop.now();
    this->work->sentBoot = bootNow();
    this->loan().send({ .kind = Command::Kind::Begin }, this->guarded([this](Reply reply) {
        if (!reply.succeeded()) {
            this->onReply(std::move(reply));
            return;
        }
        if (!this->isConfirmed(reply)) {
            this->leaveUnconfirmed();
            return;
        }
        this->noteProof(reply);
        this->runOutside();
    }));
}

void Session::runBegin()
{
    auto& plan = *this->work;
    plan.sentAt = this->context.loop.now();
    plan.sentBoot = bootNow();
    const auto done = this->guarded([this](Reply reply) { this->onBeginReply(std::move(reply)); });
    const bool isAsSent = plan.request.kind == RequestKind::Begin || !plan.needsLeader;
    if (isAsSent)
        this->loan().send({ .id = plan.request.id, .text = plan.request.text, .after = plan.after }, done);
    else
        this->loan().send({ .kind = Command::Kind::Begin }, done);
}

void Session::onBeginReply(Reply reply)
{
    if (!reply.succeeded()) {
        this->onReply(std::move(reply));
        return;
    }
    if (this->work->needsLeader) {
        if (!this->isConfirmed(reply)) {
            this->leaveUnconfirmed();
            return;
        }
        this->noteProof(reply);
    }
    this->transaction.emplace(Transaction { .loan = std::move(this->current), .service = this->work->route.service });
    this->answer({ .digest = std::move(reply.digest), .state = TransactionState::Open });
}

/// Tells whether the leader that answered is known to show all that was acknowledged before its term.
bool Session::isConfirmed(const Reply& reply)
{
    return reply.point && this->context.dispatcher.isConfirmed(this->work->route.service, this->current.upstream(), reply.point->term);
}

/// Gives back a link whose upstream leads a term that it may not have caught up in.
void Session::leaveUnconfirmed()
{
    this->current.reset();
    this->pauseTimer = this->context.loop.after(retryPause, [this] { this->attempt(); });
}

void Session::noteProof(const Reply& reply)
{
    if (!reply.point)
        return;
    auto& plan = *this->work;
    const auto& service = this->transaction ? this->transaction->service : plan.route.service;
    this->context.dispatcher.noteProof(service, { .upstream = this->loan().upstream(), .point = *reply.point, .at = plan.sentAt }, plan.sentBoot);
}

/// Takes the reply to a statement outside a transaction, or to what goes before it.
void Session::onReply(Reply reply)
{
    if (reply.succeeded()) {
        const bool isWrite = this->writes(this->work->request);
        if (isWrite) {
            this->noteProof(reply);
            this->lastCommit = reply.point ? reply.point : this->lastCommit;
        }
        retry::deposit(this->context.budget);
        this->current.reset();
        this->answer({ .rows = std::move(reply.rows), .digest = std::move(reply.digest) });
        return;
    }
    const bool wasLost = reply.lost;
    if (reply.code == ReplyCode::ReadOnly)
        this->context.dispatcher.noteNotLeader(this->work->route.service, this->current.upstream(), this->work->sentAt);
    if (wasLost)
        this->current.discard();
    else
        this->current.reset();
    this->retryOrAnswer(std::move(reply), wasLost);
}

void Session::retryOrAnswer(Reply reply, bool wasLost)
{
    auto& plan = *this->work;
    if (this->transaction) {
        this->failTransaction(std::move(reply));
        return;
    }
    // A replica that lacks the position refuses before it takes a slot, so that another try costs the service nothing.
    if (reply.code == ReplyCode::Lagging && plan.retries < mostLagRetries && this->context.loop.now() < plan.deadline) {
        ++plan.retries;
        plan.tried.push_back(plan.upstream);
        this->retryLater();
        return;
    }
    const bool isWrite = this->writes(plan.request);
    retry::Outcome outcome {
        .sent = plan.isSent,
        .lost = wasLost,
        .writes = isWrite,
        .expired = this->context.loop.now() >= plan.deadline,
        .transient = saysNotRun(reply.code) || (!isWrite && (reply.code == ReplyCode::Failed || reply.code == ReplyCode::TimedOut)),
        .retries = plan.retries,
    };
    switch (retry::decide(outcome, this->context.budget)) {
    case retry::Decision::Retry:
        ++plan.retries;
        plan.tried.push_back(plan.upstream);
        this->retryLater();
        return;
    case retry::Decision::Answer:
        this->answerCode(reply.code, reply.detail);
        return;
    case retry::Decision::NotRun:
        this->answerCode(ReplyCode::Aborted, "the connection to the upstream was lost");
        return;
    case retry::Decision::OutcomeUnknown:
        this->answerCode(ReplyCode::InDoubt, "the connection to the upstream was lost");
        return;
    }
}

void Session::retryLater()
{
    constexpr unsigned retriesBeforeLeader = 2; // a leader holds every position
    auto& plan = *this->work;
    if (plan.retries >= retriesBeforeLeader && !plan.needsLeader)
        plan.needsLeader = true;
    const auto pause = plan.needsLeader ? retryPause : Duration::zero();
    this->pauseTimer = this->context.loop.after(pause, [this] { this->attempt(); });
}

/// Hands the statement to another daemon, if that one and not this one holds connections for its service.
bool Session::startRelay()
{
    const bool mayRelay = this->context.relays && !this->relayedRoute && !this->context.relays->isHome(this->work->route.service);
    if (!mayRelay)
        return false;
    this->currentStream = this->context.relays->open(this->work->route.service, this->work->triedHomes);
    if (!this->currentStream)
        return false;
    this->watchStall();
    this->runRelayed();
    return true;
}

void Session::runRelayed()
{
    auto& plan = *this->work;
    auto& stream = this->transaction ? *this->transaction->stream : *this->currentStream;
    plan.isSent = true;
    plan.sentAt = this->context.loop.now();
    plan.upstream = stream.vm();
    if (this->transaction)
        this->transaction->wrote = this->transaction->wrote || this->writes(plan.request);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline - plan.sentAt) - relayMargin;
    RelayedRequest relayed { .request = plan.request, .route = plan.route, .settings = this->settings, .lastCommit = this->lastCommit, .timeLeft = left };
    if (plan.request.kind == RequestKind::Execute)
        relayed.prepared = this->statements.find(plan.request.name)->second;
    stream.send(relayed, this->guarded([this](RelayedReply reply) { this->onRelayed(std::move(reply)); }));
}

void Session::onRelayed(RelayedReply relayed)
{
    if (relayed.reply.lost) {
        this->onRelayLost();
        return;
    }
    this->lastCommit = relayed.lastCommit ? relayed.lastCommit : this->lastCommit;
    switch (relayed.reply.state) {
    case TransactionState::Open:
        if (!this->transaction)
            this->transaction.emplace(Transaction { .stream = std::move(this->currentStream), .service = this->work->route.service });
        break;
    case TransactionState::Failed:
        if (this->transaction)
            this->transaction->stream.reset();
        break;
    case TransactionState::Idle:
        this->transaction.reset();
        this->currentStream.reset();
        break;
    }
    this->answer(std::move(relayed.reply));
}

void Session::onRelayLost()
{
    if (!this->transaction) {
        this->work->triedHomes.push_back(this->work->upstream);
        this->currentStream.reset();
        this->retryOrAnswer(Reply { .lost = true }, true);
        return;
    }
    const bool isCommit = this->work->request.kind == RequestKind::Commit;
    const bool isUnknown = isCommit && this->transaction->wrote;
    this->transaction->stream.reset();
    if (isCommit)
        this->transaction.reset();
    this->answerCode(isUnknown ? ReplyCode::InDoubt : ReplyCode::Aborted, "the connection to the daemon that ran the transaction was lost");
}

void Session::runInside()
{
    auto& open = *this->transaction;
    if (open.loan.isBroken()) {
        this->failTransaction({ .lost = true });
        return;
    }
    this->work->upstream = open.loan.upstream();
    this->prepareLink([this] {
        this->transaction->wrote = this->transaction->wrote || this->writes(this->work->request);
        this->sendStatement(this->guarded([this](Reply reply) { this->onInsideReply(std::move(reply)); }));
    });
}

void Session::onInsideReply(Reply reply)
{
    if (reply.succeeded() && reply.state == TransactionState::Open) {
        this->answer({ .rows = std::move(reply.rows), .digest = std::move(reply.digest), .state = TransactionState::Open });
        return;
    }
    if (reply.code == ReplyCode::Busy && reply.state == TransactionState::Open) {
        this->pauseTimer = this->context.loop.after(retryPause, [this] { this->runInside(); });
        return;
    }
    this->failTransaction(std::move(reply));
}

/// Ends a transaction of which nothing is kept, as its commit was not sent.
void Session::failTransaction(Reply reply)
{
    if (reply.code == ReplyCode::ReadOnly)
        this->context.dispatcher.noteNotLeader(this->transaction->service, this->transaction->loan.upstream(), this->work->sentAt);
    if (reply.lost)
        this->transaction->loan.discard();
    else
        this->transaction->loan.reset();
    const bool isPassedOn = !reply.lost && reply.code != ReplyCode::None && reply.code != ReplyCode::TimedOut;
    this->answerCode(isPassedOn ? reply.code : ReplyCode::Aborted, reply.detail.empty() ? "the transaction was rolled back" : std::string_view(reply.detail));
}

void Session::runCommit()
{
    auto& open = *this->transaction;
    if (open.loan.isBroken()) {
        this->transaction.reset();
        this->answerCode(ReplyCode::Aborted, "the connection to the upstream was lost before the commit");
        return;
    }
    this->work->upstream = open.loan.upstream();
    this->sendStatement(this->guarded([this](Reply reply) { this->onCommitReply(std::move(reply)); }));
}

void Session::onCommitReply(Reply reply)
{
    const bool wrote = this->transaction->wrote;
    if (reply.code == ReplyCode::Busy && reply.state == TransactionState::Open) {
        this->pauseTimer = this->context.loop.after(retryPause, [this] { this->runCommit(); });
        return;
    }
    if (reply.succeeded()) {
        if (wrote) {
            this->noteProof(reply);
            this->lastCommit = reply.point ? reply.point : this->lastCommit;
        }
        this->transaction.reset();
        this->answer({ .rows = std::move(reply.rows), .digest = std::move(reply.digest) });
        return;
    }
    if (reply.lost)
        this->transaction->loan.discard();
    this->transaction.reset();
    if (!reply.lost)
        this->answerCode(reply.code, reply.detail);
    else
        this->answerCode(wrote ? ReplyCode::InDoubt : ReplyCode::Aborted, "the connection to the upstream was lost during the commit");
}

/// Gives up on an upstream that has fallen silent, if another attempt harms nothing: nothing is written yet.
void Session::watchStall()
{
    this->stallTimer = this->context.loop.after(stallLimit, [this] {
        const bool isWaiting = this->current || this->currentStream;
        if (!this->work || this->transaction || !isWaiting || this->writes(this->work->request))
            return;
        const auto now = this->context.loop.now();
        const bool isStalled = this->current ? this->current.isStalled(this->work->sentAt, now) : this->currentStream->silence(now) >= stallLimit;
        if (!isStalled) {
            this->watchStall();
            return;
        }
        ++this->generation;
        if (this->current)
            this->current.discardStalled();
        if (this->currentStream) {
            this->currentStream->noteStall();
            this->onRelayLost();
        } else
            this->retryOrAnswer(Reply { .lost = true }, true);
    });
}

void Session::onDeadline()
{
    auto& plan = *this->work;
    ++this->generation; // what still comes is of no use
    this->ticket = {};
    this->pauseTimer.reset();
    if (this->transaction) {
        const bool isCommit = plan.request.kind == RequestKind::Commit;
        const bool isUnknown = isCommit && plan.isSent && this->transaction->wrote;
        this->transaction->loan.discard();
        this->transaction->stream.reset();
        if (isCommit)
            this->transaction.reset();
        this->answerCode(isUnknown ? ReplyCode::InDoubt : ReplyCode::Aborted, "no answer within the statement timeout");
        return;
    }
    const bool isUnknown = plan.isSent && this->writes(plan.request);
    this->current.discard();
    this->currentStream.reset();
    if (isUnknown)
        this->answerCode(ReplyCode::InDoubt, "no answer within the statement timeout");
    else
        this->answerCode(ReplyCode::Aborted, plan.isSent ? "no answer within the statement timeout" : "no upstream was free within the statement timeout");
}

void Session::abortTransaction(std::string_view)
{
    if (!this->transaction || this->work)
        return;
    this->transaction->loan.reset();
    this->transaction->stream.reset();
}

void Session::watchIdleTransaction()
{
    // The daemon that holds the caller's session watches a relayed transaction.
    if (this->state() != TransactionState::Open || this->relayedRoute)
        return;
    const auto configuration = this->context.catalog.configuration();
    if (configuration)
        this->idleTimer = this->context.loop.after(configuration->transactionIdleLimit, [this] { this->abortTransaction("idle"); });
}

void Session::answerCode(ReplyCode code, std::string_view detail)
{
    this->answer({ .code = code, .detail = std::string(detail) });
}

void Session::answer(Reply reply)
{
    ++this->generation;
    this->deadlineTimer.reset();
    this->pauseTimer.reset();
    this->stallTimer.reset();
    const auto done = std::move(*this->work);
    this->work.reset();
    reply.state = this->state();
    const auto now = this->context.loop.now();
    const auto configuration = this->context.catalog.configuration();
    constexpr std::string_view modes[] { "begin", "plain", "wrapped" };
    this->context.log.write({ .id = done.request.id, .database = this->database, .upstream = done.upstream, .mode = this->transaction ? "transaction" : modes[static_cast<std::size_t>(done.mode)], .reason = reply.detail, .code = reply.code, .waited = done.sentAt > done.arrived ? done.sentAt - done.arrived : Duration::zero(), .taken = now - done.arrived, .retries = done.retries, .configurationVersion = configuration ? configuration->version : 0 },
        now);
    this->watchIdleTransaction();
    this->channel.answer(reply);
}

}

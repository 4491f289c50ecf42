#include "amaranthhall/engine/session.hpp"

#include "amaranthhall/engine/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

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

#include "amaranthhall/engine/session.hpp"

#include "amaranthhall/budget/io/budget_guard.hpp"
#include "amaranthhall/freshness/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    constexpr Duration relayedIdleMargin = std::chrono::seconds(1);
    constexpr std::size_t maximumState = 2U << 20U; // bytes of settings and prepared statements of a session; the largest message sets 1 MiB
    constexpr std::size_t stateUnderPressure = 16U << 10U; // bytes that a session may always hold
    constexpr std::size_t entryOverhead = 128; // bytes of a map node and its strings besides their text
    constexpr std::string_view unknownKeyReason = "no organisation holds this key";

}

Session::Session(SessionContext& usedContext, CallerChannel& usedChannel)
    : context(usedContext)
    , channel(usedChannel)
{
}

Session::~Session() = default;

void Session::start(std::string_view requestedDatabase, std::string_view key)
{
    this->database = requestedDatabase;
    const auto configuration = this->context.catalog.configuration();
    if (!configuration) {
        this->channel.refuse(ReplyCode::Busy, "no configuration yet");
        return;
    }
    const auto* route = configuration->findRoute(requestedDatabase);
    if (!route) {
        this->channel.refuse(ReplyCode::UnknownDatabase, requestedDatabase);
        return;
    }
    if (configuration->organisations && !key.empty())
        this->credential = hashing::digestOf(key);
    if (!identity::identify(*configuration, *route, this->credential)) {
        this->context.log.writeRefusedStart({ .database = requestedDatabase, .hasKey = this->credential.has_value(), .configurationVersion = configuration->version }, this->context.loop.now());
        this->channel.refuse(ReplyCode::NotAuthorised, unknownKeyReason);
        return;
    }
    this->channel.acceptSession();
}

TransactionState Session::state() const noexcept
{
    if (!this->transaction)
        return TransactionState::Idle;
    const bool isOpen = this->transaction->link || this->transaction->stream;
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
    this->relayedIdentity = std::move(relayed.identity);
    this->relayedTimeLeft = relayed.timeLeft;
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
        this->handleSessionCommand(request);
        return;
    default:
        this->handleStatement(std::move(request));
    }
}

void Session::handleSessionCommand(const Request& request)
{
    Reply reply { .state = this->state() };
    if (reply.state == TransactionState::Failed || request.kind == RequestKind::Malformed) {
        reply.code = ReplyCode::Malformed;
        reply.detail = reply.state == TransactionState::Failed ? "the transaction has failed" : "the statement can't be read";
    } else
        reply = this->changeState(request);
    this->channel.sendReply(reply);
    this->watchIdleTransaction();
}

/// Returns why a session may not hold more state; `None` if it may.
ReplyCode Session::checkGrowth(std::size_t before, std::size_t after) const
{
    if (after <= before)
        return ReplyCode::None;
    if (after > maximumState)
        return ReplyCode::TooLarge;
    const bool isScarce = this->context.guard && this->context.guard->account().isUnderPressure();
    return isScarce && after > stateUnderPressure ? ReplyCode::Busy : ReplyCode::None;
}

/// Sets a value, or adds or removes a prepared statement, within the bound of the session's state.
Reply Session::changeState(const Request& request)
{
    const auto costOf = [&request](const std::string& text) { return request.name.size() + text.size() + entryOverhead; };
    std::size_t before = 0;
    if (request.kind == RequestKind::Set) {
        const auto found = this->settings.find(request.name);
        before = found == this->settings.end() ? 0 : costOf(found->second);
    } else {
        const auto found = this->statements.find(request.name);
        before = found == this->statements.end() ? 0 : costOf(found->second.shape);
    }
    const auto after = this->heldState - before + (request.kind == RequestKind::Deallocate ? 0 : costOf(request.value));
    const auto code = this->checkGrowth(this->heldState, after);
    if (code != ReplyCode::None) {
        if (this->context.guard)
            this->context.guard->noteRefused("session_state", nameOf(code));
        const auto* detail = code == ReplyCode::Busy ? "the daemon is short of memory" : "settings and prepared statements of the session are over 2 MiB";
        return { .code = code, .detail = detail, .state = this->state() };
    }
    this->heldState = after;
    if (request.kind == RequestKind::Set)
        this->settings[request.name] = request.value;
    else if (request.kind == RequestKind::Prepare)
        this->statements[request.name] = { .writes = request.writes, .shape = request.value };
    else
        this->statements.erase(request.name);
    return { .state = this->state() };
}

/// Handles statements that begin or end a transaction or run a query, after checking that the transaction state allows them.
void Session::handleStatement(Request request)
{
    const auto currentState = this->state();
    const bool begins = request.kind == RequestKind::Begin || request.kind == RequestKind::BeginRead;
    const bool ends = request.kind == RequestKind::Commit || request.kind == RequestKind::Rollback;
    if (currentState == TransactionState::Failed && ends) {
        const bool isRollback = request.kind == RequestKind::Rollback;
        this->transaction.reset();
        this->channel.sendReply(isRollback ? Reply {} : Reply { .code = ReplyCode::Aborted, .detail = "the transaction had failed" });
        return;
    }
    const bool isAllowed = currentState == TransactionState::Idle ? !ends : currentState == TransactionState::Open && !begins;
    if (!isAllowed) {
        this->channel.sendReply({ .code = ReplyCode::Malformed, .detail = "not allowed in this state of the transaction", .state = currentState });
        return;
    }
    if (request.kind == RequestKind::Rollback) {
        this->transaction.reset();
        this->channel.sendReply({});
        return;
    }
    if (request.kind == RequestKind::Execute && !this->statements.contains(request.name)) {
        this->channel.sendReply({ .code = ReplyCode::UnknownStatement, .detail = request.name, .state = currentState });
        return;
    }
    this->startExecution(std::move(request));
}

void Session::startExecution(Request request)
{
    const auto now = this->context.loop.now();
    this->execution.emplace(Execution { .request = std::move(request), .arrivedAt = now, .arrivedBootTime = freshness::bootNow() });
    const auto configuration = this->context.catalog.configuration();
    const auto* route = configuration ? configuration->findRoute(this->database) : nullptr;
    if (this->relayedRoute)
        route = &*this->relayedRoute;
    if (this->transaction)
        route = &this->transaction->route;
    if (!route) {
        this->sendError(ReplyCode::UnknownDatabase, "the configuration has no such database");
        return;
    }
    this->execution->route = *route;
    const auto timeout = this->relayedRoute ? std::min(this->relayedTimeLeft, this->execution->route.statementTimeout) : this->execution->route.statementTimeout;
    this->execution->deadline = now + timeout;
    this->deadlineTimer = this->context.loop.after(timeout, [this] { this->onDeadline(); });
    if (this->transaction && !this->checkTransactionIdentity())
        return;
    if (this->transaction && this->transaction->stream) {
        this->runRelayed();
        return;
    }
    if (this->transaction) {
        if (this->execution->request.kind == RequestKind::Commit)
            this->runCommit();
        else
            this->runInTransaction();
        return;
    }
    this->planExecution();
    this->attempt();
}

/// Identifies the caller by the newer configuration: that of this daemon, or that of the daemon that relayed the statement.
std::optional<identity::Identity> Session::identify(const catalog::Route& route) const
{
    const auto configuration = this->context.catalog.configuration();
    if (this->relayedIdentity)
        return identity::reviewRelayed(configuration.get(), route, *this->relayedIdentity);
    return configuration ? identity::identify(*configuration, route, this->credential) : std::nullopt;
}

/// Identifies the caller of the current statement again; refuses the statement and returns false if its key is no longer accepted.
bool Session::refreshIdentity()
{
    auto current = this->identify(this->execution->route);
    if (!current) {
        this->sendError(ReplyCode::NotAuthorised, unknownKeyReason);
        return false;
    }
    this->execution->identity = *std::move(current);
    return true;
}

/// Rolls back the transaction and returns false if the caller's key no longer belongs to the organisation for which it was opened.
bool Session::checkTransactionIdentity()
{
    auto current = this->identify(this->transaction->route);
    if (current && current->organisation == this->transaction->organisation) {
        this->execution->identity = *std::move(current);
        return true;
    }
    this->transaction->link.reset();
    this->transaction->stream.reset();
    if (this->execution->request.kind == RequestKind::Commit)
        this->transaction.reset();
    this->sendError(ReplyCode::Aborted, "the key was withdrawn during the transaction");
    return false;
}

bool Session::review()
{
    if (this->transaction) {
        const auto current = this->identify(this->transaction->route);
        const bool isAccepted = current && current->organisation == this->transaction->organisation;
        if (!isAccepted)
            this->abortTransaction("the key was withdrawn");
        return current.has_value();
    }
    const auto configuration = this->context.catalog.configuration();
    const auto* route = configuration ? configuration->findRoute(this->database) : nullptr;
    return !route || this->identify(*route).has_value();
}

void Session::onDeadline()
{
    const bool hasUpstream = this->transaction || this->execution->isSent;
    this->giveUp(hasUpstream ? "no answer within the statement timeout" : "no upstream was free within the statement timeout");
}

void Session::abandonRequest(std::string_view reason)
{
    if (this->execution)
        this->giveUp(reason);
}

/// Ends the request in progress without waiting for its reply.
void Session::giveUp(std::string_view reason)
{
    auto& execution = *this->execution;
    ++this->generation; // ignore late replies
    this->ticket = {};
    this->retryTimer.reset();
    if (execution.isCommitHeld) {
        this->sendError(ReplyCode::InDoubt, reason);
        return;
    }
    if (this->transaction) {
        const bool isCommit = execution.request.kind == RequestKind::Commit;
        const bool isUnknown = isCommit && execution.isSent && this->transaction->hasWritten;
        this->transaction->link.discard();
        this->transaction->stream.reset();
        if (isCommit)
            this->transaction.reset();
        this->sendError(isUnknown ? ReplyCode::InDoubt : ReplyCode::Aborted, reason);
        return;
    }
    const bool isUnknown = execution.isSent && this->writes(execution.request);
    this->currentLink.discard();
    this->currentStream.reset();
    this->sendError(isUnknown ? ReplyCode::InDoubt : ReplyCode::Aborted, reason);
}

void Session::abortTransaction(std::string_view)
{
    if (!this->transaction || this->execution)
        return;
    this->transaction->link.reset();
    this->transaction->stream.reset();
}

void Session::watchIdleTransaction()
{
    if (this->state() != TransactionState::Open)
        return;
    // The daemon that owns the caller's session ends a relayed transaction in time; this one does if it hears nothing of that, as when their connection has gone silent.
    const auto margin = this->relayedRoute ? relayedIdleMargin : Duration::zero();
    const auto configuration = this->context.catalog.configuration();
    if (configuration)
        this->idleTimer = this->context.loop.after(configuration->transactionIdleLimit + margin, [this] { this->abortTransaction("idle"); });
}

void Session::sendError(ReplyCode code, std::string_view detail)
{
    this->sendReply({ .code = code, .detail = std::string(detail) });
}

void Session::sendReply(Reply reply)
{
    ++this->generation;
    this->deadlineTimer.reset();
    this->retryTimer.reset();
    this->stallTimer.reset();
    const auto finished = std::move(*this->execution);
    this->execution.reset();
    reply.state = this->state();
    const auto now = this->context.loop.now();
    const auto configuration = this->context.catalog.configuration();
    constexpr std::string_view modes[] { "begin", "plain", "wrapped" };
    this->context.log.write({ .id = finished.request.id, .database = this->database, .organisation = finished.identity.organisation, .upstream = finished.upstream, .mode = this->transaction ? "transaction" : modes[static_cast<std::size_t>(finished.mode)], .reason = reply.detail, .code = reply.code, .waitTime = finished.sentAt > finished.arrivedAt ? finished.sentAt - finished.arrivedAt : Duration::zero(), .elapsed = now - finished.arrivedAt, .retries = finished.retries, .configurationVersion = configuration ? configuration->version : 0 },
        now);
    this->watchIdleTransaction();
    if (reply.code == ReplyCode::NotAuthorised)
        this->channel.sendFinalReply(reply);
    else
        this->channel.sendReply(reply);
}

}

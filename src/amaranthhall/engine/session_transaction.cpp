#include "amaranthhall/engine/session.hpp"

#include <utility>

namespace amaranthhall::engine {

namespace {

    constexpr std::size_t maximumLinkState = 4U << 20U; // bytes of settings and prepared statements; a link can't be reset in a transaction
    constexpr std::string_view droppedReason = "the upstream that was promoted may not have received the commit";

}

void Session::runInTransaction()
{
    auto& transaction = *this->transaction;
    if (transaction.link.isBroken()) {
        this->failTransaction({ .lost = true });
        return;
    }
    if (transaction.link.pooledLink().stateBytes > maximumLinkState) {
        this->failTransaction({ .code = ReplyCode::TooLarge, .detail = "the transaction uses over 4 MiB of settings and prepared statements" });
        return;
    }
    this->execution->upstream = transaction.link.upstream();
    this->prepareLink([this] {
        this->transaction->hasWritten = this->transaction->hasWritten || this->writes(this->execution->request);
        this->sendStatement(this->guarded([this](Reply reply) { this->onTransactionReply(std::move(reply)); }));
    });
}

void Session::onTransactionReply(Reply reply)
{
    if (reply.succeeded() && reply.state == TransactionState::Open) {
        this->sendReply({ .rows = std::move(reply.rows), .digest = std::move(reply.digest), .state = TransactionState::Open });
        return;
    }
    if (reply.code == ReplyCode::Busy && reply.state == TransactionState::Open) {
        this->retryTimer = this->context.loop.after(retryDelay, [this] { this->runInTransaction(); });
        return;
    }
    this->failTransaction(std::move(reply));
}

/// Fails a transaction whose commit was not sent, so that none of its writes persist.
void Session::failTransaction(Reply reply)
{
    if (reply.code == ReplyCode::ReadOnly)
        this->context.dispatcher.noteNotLeader(this->transaction->route.service, this->transaction->link.upstream(), this->execution->sentAt);
    if (reply.lost)
        this->transaction->link.discard();
    else
        this->transaction->link.reset();
    if (this->execution->request.kind == RequestKind::Commit)
        this->transaction.reset(); // a commit ends its transaction, also one that could not be sent
    const bool isForwarded = !reply.lost && reply.code != ReplyCode::None && reply.code != ReplyCode::TimedOut;
    this->sendError(isForwarded ? reply.code : ReplyCode::Aborted, reply.detail.empty() ? "the transaction was rolled back" : std::string_view(reply.detail));
}

void Session::runCommit()
{
    auto& transaction = *this->transaction;
    if (transaction.link.isBroken()) {
        this->transaction.reset();
        this->sendError(ReplyCode::Aborted, "the connection to the upstream was lost before the commit");
        return;
    }
    this->execution->upstream = transaction.link.upstream();
    this->prepareLink([this] { this->sendStatement(this->guarded([this](Reply reply) { this->onCommitReply(std::move(reply)); })); });
}

void Session::onCommitReply(Reply reply)
{
    const bool hasWritten = this->transaction->hasWritten;
    if (reply.code == ReplyCode::Busy && reply.state == TransactionState::Open) {
        this->retryTimer = this->context.loop.after(retryDelay, [this] { this->runCommit(); });
        return;
    }
    if (reply.succeeded()) {
        if (hasWritten)
            this->noteProof(reply);
        const auto service = this->transaction->route.service;
        const auto upstream = this->transaction->link.upstream();
        this->transaction.reset();
        if (hasWritten)
            this->acknowledgeCommit(std::move(reply), service, upstream);
        else
            this->sendReply({ .rows = std::move(reply.rows), .digest = std::move(reply.digest) });
        return;
    }
    if (reply.lost)
        this->transaction->link.discard();
    this->transaction.reset();
    if (!reply.lost)
        this->sendError(reply.code, reply.detail);
    else
        this->sendError(hasWritten ? ReplyCode::InDoubt : ReplyCode::Aborted, "the connection to the upstream was lost during the commit");
}

/// Tells the caller of a commit that an upstream has confirmed, as soon as the one that is to be promoted, if any, has it too.
void Session::acknowledgeCommit(Reply reply, const std::string& service, const std::string& upstream)
{
    const auto acknowledge = [this](Reply confirmed) {
        this->lastCommit = confirmed.point ? confirmed.point : this->lastCommit;
        this->sendReply({ .rows = std::move(confirmed.rows), .digest = std::move(confirmed.digest) });
    };
    auto* guard = this->context.commitGuard;
    if (!guard || !guard->mustHold(service, upstream, this->execution->sentAt)) {
        acknowledge(std::move(reply));
        return;
    }
    if (!reply.point) {
        this->sendError(ReplyCode::InDoubt, droppedReason);
        return;
    }
    this->execution->isCommitHeld = true;
    auto done = this->guarded([this, acknowledge, reply](bool isIncluded) {
        if (isIncluded)
            acknowledge(reply);
        else
            this->sendError(ReplyCode::InDoubt, droppedReason);
    });
    guard->hold(service, { .point = *reply.point, .upstream = upstream, .sentAt = this->execution->sentAt, .deadline = this->execution->deadline, .done = std::move(done) });
}

}

#include "amaranthhall/engine/session.hpp"

#include <utility>

namespace amaranthhall::engine {

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

}

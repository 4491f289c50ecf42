#include "amaranthhall/engine/session.hpp"

#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maximumRelayAttempts = 3; // if half of the daemons reach the leader, at least one of three does in 7 of 8 cases
    constexpr std::chrono::milliseconds relayMargin { 10 }; // lets the other daemon's refusal arrive before the deadline

}

/// Returns whether the statement must be relayed: this daemon keeps no connections for the service, or does not reach the leader.
bool Session::mustRelay()
{
    if (!this->context.relays || this->relayedRoute)
        return false;
    const auto& execution = *this->execution;
    if (!this->context.relays->isHomeOf(execution.route.service, execution.identity.organisation))
        return true;
    return execution.needsLeader && this->mayRelay() && this->context.dispatcher.isLeaderUnreachable(execution.route.service);
}

/// Returns whether a statement may run on another daemon if this one does not reach the leader: this daemon can still relay it, or the one that relayed it here can.
bool Session::mayRelay() const noexcept
{
    return this->relayedRoute || (this->context.relays && this->execution->triedDaemons.size() < maximumRelayAttempts);
}

/// Returns the round trips to the leader that the statement takes wherever it runs. A daemon without connections has no samples, so for reads of other routes than `primary` it can't tell.
unsigned Session::leaderRoundTrips() const
{
    const auto& execution = *this->execution;
    const bool isPrimaryRoute = execution.route.consistency == catalog::Consistency::Primary;
    if (isPrimaryRoute && execution.mode == Mode::Wrapped)
        return 2;
    return isPrimaryRoute || execution.request.kind == RequestKind::Begin || this->writes(execution.request) ? 1 : 0;
}

/// Relays the statement to another daemon if required; returns whether it was relayed.
bool Session::startRelay()
{
    if (!this->mustRelay())
        return false;
    const auto& execution = *this->execution;
    this->currentStream = this->context.relays->open({ .service = execution.route.service, .organisation = execution.identity.organisation, .needsLeader = execution.needsLeader, .leaderRoundTrips = this->leaderRoundTrips(), .tried = execution.triedDaemons });
    if (!this->currentStream)
        return false;
    this->runRelayed();
    return true;
}

void Session::runRelayed()
{
    auto& execution = *this->execution;
    auto& stream = *this->activeStream();
    execution.isSent = true;
    execution.sentAt = this->context.loop.now();
    execution.upstream = stream.vm();
    if (this->transaction)
        this->transaction->hasWritten = this->transaction->hasWritten || this->writes(execution.request);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(execution.deadline - execution.sentAt) - relayMargin;
    RelayedRequest relayed { .request = execution.request, .route = execution.route, .identity = execution.identity, .settings = this->settings, .lastCommit = this->lastCommit, .timeLeft = remaining };
    if (execution.request.kind == RequestKind::Execute)
        relayed.prepared = this->statements.find(execution.request.name)->second;
    this->watchForStall();
    stream.send(relayed, this->guarded([this](RelayedReply reply) { this->onRelayed(std::move(reply)); }));
}

/// Returns whether a refused statement may be tried on another daemon; records from the reply whether the other daemon reaches the leader.
bool Session::mayTryAnotherDaemon(const Reply& reply)
{
    const auto& execution = *this->execution;
    if (execution.needsLeader && reply.succeeded())
        this->context.relays->noteLeaderReachability(execution.route.service, execution.upstream, LeaderReachability::Reachable);
    if (reply.isLeaderUnreachable)
        this->context.relays->noteLeaderReachability(execution.route.service, execution.upstream, LeaderReachability::Unreachable);
    if (this->transaction || !impliesNotRun(reply.code) || execution.triedDaemons.size() >= maximumRelayAttempts)
        return false;
    const bool isHome = this->context.relays->isHomeOf(execution.route.service, execution.identity.organisation);
    return isHome || reply.isLeaderUnreachable;
}

void Session::onRelayed(RelayedReply relayed)
{
    if (relayed.reply.lost) {
        this->onRelayLost();
        return;
    }
    if (this->mayTryAnotherDaemon(relayed.reply)) {
        this->execution->triedDaemons.push_back(this->execution->upstream);
        this->currentStream.reset();
        this->attempt();
        return;
    }
    this->lastCommit = relayed.lastCommit ? relayed.lastCommit : this->lastCommit;
    switch (relayed.reply.state) {
    case TransactionState::Open:
        if (!this->transaction)
            this->transaction.emplace(this->beginTransaction()).stream = std::move(this->currentStream);
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
    this->sendReply(std::move(relayed.reply));
}

void Session::onRelayLost()
{
    if (!this->transaction) {
        this->execution->triedDaemons.push_back(this->execution->upstream);
        this->currentStream.reset();
        this->retryOrReply(Reply { .lost = true }, true);
        return;
    }
    const bool isCommit = this->execution->request.kind == RequestKind::Commit;
    const bool isUnknown = isCommit && this->transaction->hasWritten;
    this->transaction->stream.reset();
    if (isCommit)
        this->transaction.reset();
    this->sendError(isUnknown ? ReplyCode::InDoubt : ReplyCode::Aborted, "the connection to the daemon that ran the transaction was lost");
}

}

#include "amaranthhall/engine/session.hpp"

#include "amaranthhall/engine/boot_clock.hpp"
#include "amaranthhall/retry/backoff.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration stallLimit = 150ms; // silence of one that owes answers
    constexpr unsigned mostLagRetries = 8;
    constexpr freshness::Micros clockMargin = 5'000; // µs that a read's bound is tightened by

    admission::StatementClass kindOf(const catalog::Route& route)
    {
        return { .consistency = static_cast<std::size_t>(route.consistency), .priority = route.priority };
    }

    std::string linkName(bool writes, std::string_view shape)
    {
        return (writes ? "w_" : "r_") + std::string(shape);
    }

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
        .kind = kindOf(plan.route),
        .mayDetour = this->mayDetour(),
        .settings = &this->settings,
    };
    this->ticket = this->context.dispatcher.acquire(std::move(want), this->guarded([this](tl::expected<Loan, Refusal> result) { this->onGranted(std::move(result)); }));
}

void Session::onGranted(tl::expected<Loan, Refusal> result)
{
    this->ticket = {};
    if (!result) {
        if (!this->startRelay())
            this->answer({ .code = ReplyCode::Busy, .detail = std::string(result.error().reason), .isLocal = result.error().isLocal });
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
    constexpr retry::BackoffOptions pauses { .first = 5ms, .limit = 80ms };
    this->current.reset();
    this->pauseTimer = this->context.loop.after(retry::backoffDelay(pauses, this->work->unconfirmed++), [this] { this->attempt(); });
}

void Session::noteProof(const Reply& reply)
{
    if (!reply.point)
        return;
    auto& plan = *this->work;
    const auto& service = this->transaction ? this->transaction->service : plan.route.service;
    this->context.dispatcher.noteProof(service, { .upstream = this->loan().upstream(), .point = *reply.point, .at = plan.sentAt }, plan.sentBoot);
    this->context.dispatcher.noteReached(service, this->context.loop.now());
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
        this->context.dispatcher.noteWork(this->work->route.service, kindOf(this->work->route), this->context.loop.now() - this->work->sentAt, this->current);
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
        this->retryLater(reply);
        return;
    }
    const bool isWrite = this->writes(plan.request);
    retry::Outcome outcome {
        .sent = plan.isSent,
        .lost = wasLost,
        .writes = isWrite,
        .deadlineExpired = this->context.loop.now() >= plan.deadline,
        .transient = saysNotRun(reply.code) || (!isWrite && (reply.code == ReplyCode::Failed || reply.code == ReplyCode::TimedOut)),
        .retries = plan.retries,
    };
    switch (retry::decide(outcome, this->context.budget)) {
    case retry::Decision::Retry:
        this->retryLater(reply);
        return;
    case retry::Decision::ForwardReply:
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

void Session::retryLater(const Reply& reply)
{
    constexpr unsigned retriesBeforeLeader = 2; // a leader holds every position
    auto& plan = *this->work;
    this->context.log.writeRetry({ .id = plan.request.id, .upstream = plan.upstream, .code = reply.code, .lost = reply.lost, .wanted = plan.after, .held = reply.point }, this->context.loop.now());
    ++plan.retries;
    plan.tried.push_back(plan.upstream);
    if (plan.retries >= retriesBeforeLeader && !plan.needsLeader)
        plan.needsLeader = true;
    const auto pause = plan.needsLeader ? retryPause : Duration::zero();
    this->pauseTimer = this->context.loop.after(pause, [this] { this->attempt(); });
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

}

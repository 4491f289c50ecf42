#include "amaranthhall/upstream/pool.hpp"

#include "amaranthhall/upstream/quiet_sink.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto resetTimeout = 2s;

    /// Reads what still comes and tells whether the other end has closed.
    bool hasEnded(const kernel::Socket& socket)
    {
        std::array<char, 16384> dropped; // NOLINT: not zeroed, since recv fills it.
        while (true) {
            const auto count = recv(socket.descriptor(), dropped.data(), dropped.size(), MSG_DONTWAIT);
            if (count > 0)
                continue;
            return count == 0 || (errno != EAGAIN && errno != EINTR);
        }
    }

}

/// One connection of the pool, and the sink of its reset.
class Pool::Slot final : private internal::QuietSink {
public:
    Slot(Pool& owner, kernel::Loop& usedLoop, const LinkOptions& linkOptions)
        : link(usedLoop, linkOptions)
        , pool(owner)
        , loop(usedLoop)
    {
    }

    void reset()
    {
        this->hasFailed = false;
        this->isInTransaction = this->link.isInTransaction();
        this->timer = this->loop.after(resetTimeout, [this] { this->pool.finishReset(*this, false); });
        this->runNext();
    }

    /// @brief Begins the next step of the reset: a rollback where a transaction is open, then DISCARD ALL.
    void runNext()
    {
        const bool mustRollBack = this->isInTransaction;
        this->isDiscarding = !mustRollBack;
        Batch batch;
        batch.queries.push_back({ .text = mustRollBack ? "ROLLBACK" : "DISCARD ALL" });
        this->link.run(batch, *this);
    }

    PqLink link;
    group::Term lentInTerm { 0 };
    Use use { Use::Any };
    bool isInTransaction { false };
    bool isLent { false };
    bool isClosed { false };
    kernel::Registration timer;

private:
    void onError(std::size_t, const pgwire::ErrorFields&) override { this->hasFailed = true; }

    void onEnd(const BatchEnd& end) override
    {
        this->isInTransaction = end.transaction != pgwire::TransactionStatus::Idle;
        const bool mayGoOn = !end.lost && !this->hasFailed && !this->isInTransaction;
        if (mayGoOn && !this->isDiscarding) {
            this->runNext();
            return;
        }
        this->timer.reset();
        this->pool.finishReset(*this, mayGoOn);
    }

    Pool& pool;
    kernel::Loop& loop;
    bool hasFailed { false };
    bool isDiscarding { false };
};

/// A connection that is closed on this side only.
struct Pool::ClosingLink {
    kernel::Socket socket;
    kernel::Registration watch;
};

Pool::Pool(kernel::Loop& usedLoop, Random& usedRandom, LinkOptions usedOptions, PoolHooks usedHooks)
    : loop(usedLoop)
    , random(usedRandom)
    , options(std::move(usedOptions))
    , hooks(std::move(usedHooks))
{
}

LinkLease Pool::lend(Use use)
{
    auto& slot = *this->idle.back();
    this->idle.pop_back();
    --this->tally.idle;
    ++this->tally.lent;
    slot.use = use;
    slot.isLent = true;
    slot.lentInTerm = this->term;
    expectDemand(this->state, this->tally.lent);
    this->announce();
    return { slot.link, [pool = this->shared_from_this(), &slot](bool reusable) { pool->takeBack(slot, reusable); } };
}

void Pool::takeBack(Slot& slot, bool reusable)
{
    const auto held = this->shared_from_this();
    --this->tally.lent;
    const bool wasAbandoned = slot.lentInTerm != this->term;
    slot.isLent = false;
    if (slot.link.isBroken() && !wasAbandoned && !this->isRetired)
        this->hooks.symptom(group::Symptom::Refused);
    const bool isInDoubt = !reusable || slot.link.isBroken() || slot.link.isBusy() || slot.link.isPaused() || wasAbandoned;
    const bool isSurplus = this->isRetired || this->tally.total() + 1 > this->allowance;
    if (isInDoubt || isSurplus) {
        this->close(slot);
        this->replan();
        return;
    }
    if (slot.use == Use::SureReads && !slot.link.holdsState()) {
        this->makeIdle(slot);
        return;
    }
    ++this->tally.resetting;
    slot.reset();
    this->announce();
}

void Pool::finishReset(Slot& slot, bool isClean)
{
    if (slot.isClosed)
        return;
    --this->tally.resetting;
    if (isClean && !this->isRetired && this->tally.total() < this->allowance) {
        slot.link.markClean();
        this->makeIdle(slot);
        return;
    }
    this->close(slot);
    this->replan();
}

void Pool::makeIdle(Slot& slot)
{
    ++this->tally.idle;
    this->idle.push_back(&slot);
    this->announce();
    if (!this->wakeAt)
        this->replan();
    if (!this->isRetired)
        this->hooks.available();
}

void Pool::close(Slot& slot)
{
    slot.isClosed = true;
    slot.timer.reset();
    if (slot.link.isBusy())
        slot.link.cancel(); // nobody awaits the answer, so the upstream need not work on
    const auto found = std::find_if(this->slots.begin(), this->slots.end(), [&](const auto& candidate) { return candidate.get() == &slot; });
    if (found == this->slots.end())
        return;
    if (auto socket = slot.link.close())
        this->awaitClose(std::move(socket));
    // The slot may be the one that is calling, so it goes on the next turn.
    this->loop.post([kept = *found, pool = this->shared_from_this()] {});
    this->slots.erase(found);
    this->announce();
}

void Pool::awaitClose(kernel::Socket socket)
{
    // Until the upstream closes too, or the network gives the connection up, it counts against the limit there.
    ++this->tally.closing;
    const auto closing = std::make_shared<ClosingLink>();
    closing->socket = std::move(socket);
    closing->watch = this->loop.watch(closing->socket.descriptor(), { .readable = true }, [pool = this->shared_from_this(), closing](auto) {
        if (closing->socket && hasEnded(closing->socket))
            pool->finishClose(*closing);
    });
}

void Pool::finishClose(ClosingLink& closing)
{
    // The watch is calling and goes on the next turn. The socket stays open until then, lest a new one take its
    // number while the loop still knows it.
    this->loop.post([ended = std::make_shared<ClosingLink>(std::move(closing))] {});
    --this->tally.closing;
    this->announce();
    if (this->reach != group::Reachability::Down)
        this->replan();
}

void Pool::closeIdle(std::uint32_t count)
{
    for (; count > 0 && !this->idle.empty(); --count) {
        auto& slot = *this->idle.front();
        this->idle.erase(this->idle.begin());
        --this->tally.idle;
        this->close(slot);
    }
}

void Pool::openOne()
{
    ++this->tally.opening;
    auto& slot = *this->slots.emplace_back(std::make_shared<Slot>(*this, this->loop, this->options));
    slot.link.observeStatus([this](const auto& status) {
        if (!this->isRetired)
            this->hooks.status(status);
    });
    const auto broke = [this, &slot] {
        const auto held = this->shared_from_this();
        const auto found = std::find(this->idle.begin(), this->idle.end(), &slot);
        if (found == this->idle.end())
            return;
        this->idle.erase(found);
        --this->tally.idle;
        this->close(slot);
        if (!this->isRetired)
            this->hooks.symptom(group::Symptom::Refused);
        this->replan();
    };
    slot.link.open([this, &slot](const auto& error) { this->opened(slot, error); }, broke);
}

void Pool::opened(Slot& slot, const pgwire::ErrorFields& error)
{
    const auto held = this->shared_from_this();
    --this->tally.opening;
    this->lastError = error;
    if (!error.fields.empty()) {
        noteConnectFailure(this->state, this->loop.now(), this->random);
        this->close(slot);
        // A full upstream answers, so it is neither down nor silent.
        if (!this->isRetired && error.sqlstate() == "08001")
            this->hooks.symptom(slot.link.hasTimedOut() ? group::Symptom::TimedOut : group::Symptom::Refused);
        this->replan();
        return;
    }
    noteConnectSuccess(this->state);
    if (!this->isRetired && this->tally.total() < this->allowance) {
        this->makeIdle(slot);
        return;
    }
    this->close(slot);
}

void Pool::adjust(std::uint32_t newAllowance, std::uint32_t newWaiting)
{
    const bool isSame = this->allowance == newAllowance && this->waiting == newWaiting;
    this->allowance = newAllowance;
    this->waiting = newWaiting;
    if (!isSame)
        this->replan();
}

void Pool::replan()
{
    if (this->isRetired || std::exchange(this->isPlanning, true))
        return;
    const auto wanted = this->tally.lent + this->waiting; // one that is being reset is free sooner than a new one
    const auto plan = planPool(this->state, this->tally, wanted, this->allowance, this->loop.now());
    this->closeIdle(plan.closeIdle);
    for (std::uint32_t i = 0; i < plan.open; ++i)
        this->openOne();
    if (plan.open > 0 || plan.closeIdle > 0)
        this->announce();
    if (plan.wakeAt && (!this->wakeAt || *plan.wakeAt < *this->wakeAt))
        this->wakeLater(*plan.wakeAt);
    this->isPlanning = false;
}

void Pool::wakeLater(Time at)
{
    this->wakeAt = at;
    this->wakeTimer = this->loop.after(at - this->loop.now(), [this] {
        this->wakeAt.reset();
        this->replan();
        if (!this->isRetired)
            this->hooks.available();
    });
}

void Pool::noteTerm(group::Term newTerm, bool isPrimary)
{
    this->term = newTerm;
    if (isPrimary)
        return;
    for (const auto& slot : this->slots) {
        if (slot->isLent && slot->use == Use::Any)
            slot->link.abandon();
    }
}

void Pool::expect(std::uint32_t connections)
{
    if (this->state.recentPeak >= connections && this->tally.total() >= connections)
        return;
    expectDemand(this->state, connections);
    this->replan();
}

void Pool::noteReach(group::Reachability newReach)
{
    if (std::exchange(this->reach, newReach) == newReach)
        return;
    if (newReach == group::Reachability::Down)
        this->closeIdle(this->tally.idle);
    if (newReach != group::Reachability::Up || this->state.failures == 0)
        return;
    allowTrial(this->state, this->loop.now());
    this->replan();
}

void Pool::retire()
{
    this->isRetired = true;
    this->wakeTimer.reset();
    this->closeIdle(this->tally.idle);
    this->hooks = {};
}

void Pool::announce()
{
    if (!this->isRetired)
        this->hooks.counted(this->tally);
}

}

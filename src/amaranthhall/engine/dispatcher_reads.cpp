// Reads that need a log position: which upstreams hold it, and probes of replicas that are not expected to.

#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/boot_clock.hpp"

#include <algorithm>
#include <memory>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration probeTimeout = 1s; // a reply may have to wait for statements on the upstream

    /// Returns a character for the order of magnitude of the time until a replica holds a position, so that a read does not wait behind one that has to wait much longer.
    char delayClass(const std::optional<Duration>& holdsIn)
    {
        constexpr auto firstBound = 1ms;
        if (!holdsIn)
            return 'z';
        char delay = 'a';
        for (auto bound = Duration::zero(); *holdsIn > bound && delay < 'y'; bound = std::max<Duration>(firstBound, bound * 2))
            ++delay;
        return delay;
    }

}

/// Returns when a replica is expected to hold a position, as a time from now; std::nullopt if that cannot be predicted.
std::optional<Duration> Dispatcher::replicaHoldsIn(Service& service, const std::string& replica, const group::LogPoint& wanted, std::optional<freshness::Micros> reachedAt)
{
    const auto now = freshness::bootNow();
    const auto holdsAt = freshness::expectedToHoldAt(service.lags[replica], wanted, reachedAt, now);
    return holdsAt ? std::optional<Duration>(std::chrono::microseconds(*holdsAt - now)) : std::nullopt;
}

/// Returns a text that is equal for reads that the same replicas are not expected to serve yet, so that a read that waits for one of these delays no other.
std::string Dispatcher::replicasBehind(Service& service, const LinkRequirements& requirements)
{
    std::string behind;
    if (!requirements.after || requirements.needsLeader)
        return behind;
    const auto reachedAt = service.samples.reachedAt(*requirements.after);
    for (const auto& pool : service.pools) {
        const auto holdsIn = replicaHoldsIn(service, pool->entry().id, *requirements.after, reachedAt);
        behind.append(1, delayClass(holdsIn));
    }
    return behind;
}

placement::Choice Dispatcher::chooseForRead(Service& service, const LinkRequirements& requirements, std::span<const placement::Candidate> candidates)
{
    const auto now = this->loop.now();
    auto choice = placement::chooseRead(candidates, now, requirements.deadline - now, this->random());
    bool isAnyLagging = false;
    bool mayLeaderReturn = true; // this statement has not been tried on it, and it is not usable now
    for (const auto& candidate : candidates) {
        isAnyLagging = isAnyLagging || candidate.isLagging;
        if (candidate.isLagging)
            this->probeReplica(service, std::string(candidate.id));
        if (!candidate.isLeader)
            continue;
        const bool isUsable = candidate.health->avoidUntil <= now;
        mayLeaderReturn = !isUsable && !candidate.wasTried;
        if (isUsable)
            service.leaderlessSince.reset();
    }
    // A leader that is being replaced will hold the position.
    if (choice.step == placement::Choice::Step::Refuse && isAnyLagging && mayLeaderReturn && this->mayWaitForLeader(service))
        choice.step = placement::Choice::Step::Wait;
    if (choice.retryAfter)
        this->processQueueAfter(service, *choice.retryAfter);
    return choice;
}

/// Processes the queue once a time has passed, or earlier if that is already planned.
void Dispatcher::processQueueAfter(Service& service, Duration delay)
{
    const auto now = this->loop.now();
    const auto due = now + delay;
    if (service.replicaTimer && service.replicaTimerDue > now && service.replicaTimerDue <= due)
        return;
    service.replicaTimerDue = due;
    service.replicaTimer = this->loop.after(delay, [this, &service] { this->scheduleQueueProcessing(service); });
}

/// Asks a lagging replica for its position if a probe is due and a link is idle; the reply updates the estimate like any other.
void Dispatcher::probeReplica(Service& service, const std::string& replica)
{
    static const SessionSettings anySettings;
    auto& lag = service.lags[replica];
    const auto now = freshness::bootNow();
    const auto pool = this->pool(replica);
    const bool isAnswering = pool && pool->health().avoidUntil <= this->loop.now() && pool->silence(this->loop.now()) < probeTimeout;
    if (!isAnswering || pool->idle({ .isAny = true }) == 0 || !freshness::isProbeDue(lag, now))
        return;
    freshness::noteProbe(lag, now);
    ++this->replicaCounts.probes;
    const auto link = std::make_shared<AcquiredLink>(pool, pool->acquire({ .isAny = true }, anySettings));
    const auto timer = std::make_shared<kernel::Registration>(this->loop.after(probeTimeout, [link = std::weak_ptr(link)] {
        if (const auto probing = link.lock(); probing && *probing)
            probing->discardStalled();
    }));
    link->send({ .kind = Command::Kind::Status }, [this, &service, link, timer](const Reply& reply) {
        timer->reset();
        if (reply.lost)
            link->discard();
        else
            link->reset();
        this->scheduleQueueProcessing(service);
    });
}

}

#include "amaranthhall/engine/dispatcher.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickInterval = 250ms;
    constexpr Duration serviceIdleTimeout = 30s; // a service without statements for this long only needs one link per upstream, to detect whether it is alive
    constexpr std::uint32_t idleServiceWarmLinks = 1;
    constexpr Duration linkIdleTimeout = 5s; // links beyond the warm ones are closed after this long without use
    constexpr std::string_view queueTooLongReason = "the queue is too long to be served in time";
    constexpr std::string_view timeoutReason = "the statement timeout leaves no time to run it";
    constexpr std::string_view queueFullReason = "the queue is full";
    constexpr std::string_view noUpstreamReason = "no upstream can serve now";
    constexpr std::string_view leaderUnreachableReason = "this daemon does not reach the primary";

    LinkScope scopeOf(const LinkRequirements& requirements)
    {
        return { .organisation = requirements.organisation, .isAny = requirements.acceptsAnyLink };
    }

    admission::Lane laneOf(const LinkRequirements& requirements)
    {
        return requirements.needsLeader ? admission::Lane::Leader : admission::Lane::Any;
    }

    /// Returns a text that is equal for statements that the same links of the same upstreams can serve.
    std::string flowOf(const LinkRequirements& requirements)
    {
        constexpr char separator = '\n';
        std::string flow = requirements.organisation;
        flow.append({ separator, requirements.acceptsAnyLink ? 'a' : 'o', requirements.needsLeader ? 'l' : 'u', requirements.mayRelay ? 'r' : 'h', requirements.beginsTransaction ? 't' : 's' }).append(requirements.requiredUpstream);
        for (const auto& upstream : requirements.tried)
            flow.append(1, separator).append(upstream);
        return flow;
    }

}

Dispatcher::Ticket& Dispatcher::Ticket::operator=(Ticket&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->dispatcher = std::exchange(other.dispatcher, nullptr);
        this->service = other.service;
        this->ticketId = other.ticketId;
    }
    return *this;
}

void Dispatcher::Ticket::reset() noexcept
{
    if (auto* owner = std::exchange(this->dispatcher, nullptr))
        owner->cancel(*this->service, this->ticketId);
}

Dispatcher::Dispatcher(kernel::Loop& usedLoop, LinkFactory& usedFactory, catalog::Catalog& usedCatalog, Options usedOptions)
    : loop(usedLoop)
    , factory(usedFactory)
    , catalog(usedCatalog)
    , options(std::move(usedOptions))
    , startedAt(usedLoop.now())
    , restartReserveTimer(usedLoop.after(placement::restartReserveTime, [this] { this->onCatalogChanged(); }))
    , ticker(usedLoop.every(tickInterval, [this] { this->tick(); }))
{
    if (this->options.metrics)
        this->report.emplace(*this->options.metrics);
}

void Dispatcher::onCatalogChanged()
{
    for (const auto& [id, known] : this->catalog.upstreams()) {
        if (!this->needsLinks(known.entry.service))
            continue;
        auto& pool = this->pools[id];
        const bool isReplaced = pool && (pool->entry().startedAt != known.entry.startedAt || pool->entry().address != known.entry.address || pool->entry().service != known.entry.service);
        if (isReplaced)
            pool->closeAll();
        if (!pool || isReplaced)
            pool = this->makePool(known.entry);
        pool->update(known.entry);
        pool->setDaemons(std::max<std::size_t>(1, this->options.sharers(known.entry.service).value_or(1)));
        pool->setShare(this->shareOf(known.entry));
    }
    std::erase_if(this->pools, [this](const auto& item) {
        const bool isIdle = item.second->size() == 0 && item.second->opening() == 0;
        if (this->catalog.find(item.first) && (this->needsLinks(item.second->entry().service) || !isIdle))
            return false;
        this->serviceOf(item.second->entry().service).lags.erase(item.first);
        item.second->closeAll();
        this->loop.post([keepAlive = item.second] {});
        return true;
    });
    this->rebuildServicePools();
}

/// Returns whether this daemon needs links to a service: it has a share of the connections, or it received statements that it could not relay.
bool Dispatcher::needsLinks(std::string_view service)
{
    return this->options.sharers(service).value_or(0) > 0 || this->serviceOf(service).lastUsedAt;
}

/// Rebuilds the pool list of each service, opens warm links and reprocesses waiting statements.
void Dispatcher::rebuildServicePools()
{
    for (auto& [name, service] : this->services)
        service.pools.clear();
    for (const auto& [id, pool] : this->pools)
        this->serviceOf(pool->entry().service).pools.push_back(pool);
    for (auto& [name, service] : this->services) {
        for (const auto& pool : service.pools)
            this->maintainWarmLinks(service, *pool);
        if (!service.waiters.empty())
            this->scheduleQueueProcessing(service);
    }
}

Dispatcher::Service& Dispatcher::serviceOf(std::string_view name)
{
    const auto found = this->services.find(name);
    if (found != this->services.end())
        return found->second;
    auto& service = this->services[std::string(name)];
    service.name = name;
    return service;
}

std::shared_ptr<UpstreamPool> Dispatcher::makePool(const catalog::UpstreamEntry& entry)
{
    auto& service = this->serviceOf(entry.service);
    service.lags.erase(entry.id); // a restarted upstream has another log
    this->fleetLoad.drop(entry.id);
    UpstreamPool::Callbacks callbacks {
        .available = [this, &service] { this->scheduleQueueProcessing(service); },
        .logPointReported = [&service, upstream = entry.id](const auto& point) { freshness::updateLag(service.lags[upstream], service.samples, point, freshness::bootNow()); },
        .lagRefused = [this, &service, upstream = entry.id] {
            freshness::noteLagRefusal(service.lags[upstream], freshness::bootNow());
            ++this->replicaCounts.lagRefusals; },
    };
    return std::make_shared<UpstreamPool>(this->loop, this->factory, entry, std::move(callbacks));
}

placement::ConnectionShare Dispatcher::shareOf(const catalog::UpstreamEntry& entry) const
{
    const auto configuration = this->catalog.configuration();
    const auto sharers = this->options.sharers(entry.service);
    if (!configuration || !sharers)
        return {};
    const auto spec = configuration->services.find(entry.service);
    const auto connections = spec == configuration->services.end() ? 1 : spec->second.maximumConnections;
    const auto share = placement::shareConnections(connections, *sharers);
    const bool isStarting = this->loop.now() - this->startedAt < placement::restartReserveTime;
    return configuration->organisations && isStarting ? placement::limitAfterStart(share, connections, *sharers) : share;
}

/// Opens a link in advance if fewer than the warm number are open, and closes idle links beyond that number.
void Dispatcher::maintainWarmLinks(const Service& service, UpstreamPool& pool)
{
    const bool isRecentlyUsed = service.lastUsedAt && this->loop.now() - *service.lastUsedAt < serviceIdleTimeout;
    const auto warm = isRecentlyUsed ? pool.share().warm : std::min(idleServiceWarmLinks, pool.share().warm);
    const auto& health = pool.health();
    const bool mayOpen = pool.opening() == 0 && pool.canOpen({}) && !pool.entry().draining && health.overloadedUntil <= this->loop.now();
    if (pool.size() < warm && mayOpen)
        pool.open({});
    pool.closeIdle(warm, linkIdleTimeout);
}

Dispatcher::Ticket Dispatcher::acquire(LinkRequirements requirements, AcquireCallback callback)
{
    const auto ticketId = ++this->lastTicketId;
    auto& service = this->serviceOf(requirements.service);
    const bool isFirst = !std::exchange(service.lastUsedAt, this->loop.now());
    if (isFirst && service.pools.empty())
        this->onCatalogChanged();
    // A status query is sent whatever the latency is.
    const auto expected = requirements.requiredUpstream.empty() ? admission::expectTimes(service.work, requirements.kind, this->latencyFor(service, requirements)) : admission::ExpectedTimes {};
    const auto flow = flowOf(requirements).append(replicasBehind(service, requirements));
    const admission::WaitingStatement statement {
        .id = ticketId,
        .kind = requirements.kind,
        .priority = requirements.priority,
        .organisation = requirements.organisation,
        .flow = flow,
        .target = requirements.target,
        .deadline = requirements.deadline,
        .expectedServiceTime = expected.serviceTime,
        .work = expected.work,
        .attempt = static_cast<unsigned>(requirements.tried.size()),
        .needsLeader = requirements.needsLeader,
        .isProbe = !requirements.requiredUpstream.empty(),
    };
    Waiter waiter { .ticketId = ticketId, .callback = std::move(callback) };
    if (const auto pushed = service.queue.push(statement, this->loop.now()); !pushed) {
        waiter.refusal = pushed.error().reason == admission::ShedReason::TooSlow ? queueTooLongReason : queueFullReason;
        service.refused.push_back(ticketId);
        this->noteRefusal(service, requirements, pushed.error().reason == admission::ShedReason::TooSlow ? QueueRefusal::TooSlow : QueueRefusal::Full, pushed.error().retryAfter);
    }
    waiter.requirements = std::move(requirements);
    service.waiters.emplace(ticketId, std::move(waiter));
    this->scheduleQueueProcessing(service);
    return { *this, service, ticketId };
}

/// Returns the current statement latency of the leader, or of the fastest upstream if any is acceptable.
Duration Dispatcher::latencyFor(const Service& service, const LinkRequirements& requirements) const
{
    if (requirements.needsLeader) {
        const auto leader = this->leaderOf(service);
        const auto found = leader ? this->pool(*leader) : nullptr;
        return found ? found->health().latency : Duration::zero();
    }
    const auto fastest = std::min_element(service.pools.begin(), service.pools.end(), [](const auto& left, const auto& right) { return left->health().latency < right->health().latency; });
    return fastest == service.pools.end() ? Duration::zero() : (*fastest)->health().latency;
}

void Dispatcher::cancel(Service& service, std::uint64_t ticketId) noexcept
{
    removeWaiter(service, ticketId);
}

void Dispatcher::scheduleQueueProcessing(Service& service)
{
    if (std::exchange(service.isProcessingScheduled, true))
        return;
    this->loop.post([this, &service] {
        service.isProcessingScheduled = false;
        this->processQueue(service);
    });
}

void Dispatcher::processQueue(Service& service)
{
    const auto refused = std::exchange(service.refused, {});
    for (const auto ticketId : refused) {
        const auto found = service.waiters.find(ticketId);
        if (found != service.waiters.end())
            this->refuse(service, ticketId, found->second.refusal);
    }
    // A callback may add statements and cancel others; those added are left to the pass that they schedule.
    const auto now = this->loop.now();
    service.queue.beginPass();
    for (auto remaining = service.queue.size(); remaining > 0;) {
        const auto next = service.queue.next(now);
        if (!next)
            return;
        auto& waiter = service.waiters.at(next->id);
        const auto lane = laneOf(waiter.requirements);
        const auto served = next->willTimeOut ? Served::Completed : this->serveWhileOpening(service, waiter);
        if (next->willTimeOut) {
            this->noteRefusal(service, waiter.requirements, QueueRefusal::Timeout, Duration::zero());
            this->refuse(service, next->id, timeoutReason);
        }
        if (served == Served::LaneBlocked)
            service.queue.block(lane);
        else if (served == Served::Completed)
            --remaining;
        else
            service.queue.block(next->id);
    }
}

/// Serves a statement, again after a link is being opened: once for each statement that waits for the same links, as each of them may need one.
Dispatcher::Served Dispatcher::serveWhileOpening(Service& service, Waiter& waiter)
{
    auto served = Served::Opening;
    for (auto attempts = service.queue.waitingInFlowOf(waiter.ticketId); attempts > 0 && served == Served::Opening; --attempts)
        served = this->serve(service, waiter);
    return served;
}

Dispatcher::Served Dispatcher::serve(Service& service, Waiter& waiter)
{
    if (waiter.requirements.needsLeader && this->mustCheckLeader(service))
        return Served::LaneBlocked;
    const auto candidates = this->candidatesFor(service, waiter.requirements);
    const auto choice = this->chooseFor(service, waiter.requirements, candidates);
    using Step = placement::Choice::Step;
    if (choice.step == Step::Wait)
        return this->countAsWaiting(service, waiter, candidates);
    if (choice.step != Step::Refuse)
        return this->grantOrOpen(service, waiter, *this->pool(candidates[choice.candidate].id), choice.step);
    const bool isLeaderUnreachable = waiter.requirements.needsLeader && this->isLeaderUnreachable(service);
    this->completeWaiter(service, waiter.ticketId, tl::unexpected(Refusal { .reason = isLeaderUnreachable ? leaderUnreachableReason : noUpstreamReason, .isLeaderUnreachable = isLeaderUnreachable }));
    return Served::Completed;
}

void Dispatcher::refuse(Service& service, std::uint64_t ticketId, std::string_view reason)
{
    this->completeWaiter(service, ticketId, tl::unexpected(Refusal { .reason = reason }));
}

placement::Choice Dispatcher::chooseFor(Service& service, const LinkRequirements& requirements, std::span<const placement::Candidate> candidates)
{
    using Step = placement::Choice::Step;
    const auto now = this->loop.now();
    if (!requirements.needsLeader)
        return this->chooseForRead(service, requirements, candidates);
    auto choice = placement::chooseLeader(candidates, now);
    if (choice.step == Step::Serve) {
        service.leaderlessSince.reset();
        return choice;
    }
    // Other daemons reach the leader, so relaying is faster than waiting for a local link.
    if (requirements.mayRelay && this->isLeaderUnreachable(service))
        return { .step = Step::Refuse };
    if (choice.step != Step::Refuse)
        service.leaderlessSince.reset();
    else if (this->mayWaitForLeader(service))
        choice.step = Step::Wait;
    return choice;
}

/// Records that a statement has to wait for capacity; returns whether the others of its lane have to as well.
Dispatcher::Served Dispatcher::countAsWaiting(Service& service, const Waiter& waiter, std::span<const placement::Candidate> candidates)
{
    const auto now = this->loop.now();
    const auto& requirements = waiter.requirements;
    const auto isRelevant = [&](const placement::Candidate& candidate) {
        const bool isEligible = requirements.needsLeader ? candidate.isLeader : !candidate.isDraining;
        return isEligible && candidate.health->avoidUntil <= now;
    };
    const auto isAtLimit = [&](const placement::Candidate& candidate) { return candidate.running >= candidate.limit || candidate.health->paceUntil > now; };
    const auto isSaturated = [&](const placement::Candidate& candidate) { return !isRelevant(candidate) || isAtLimit(candidate); };
    // Only a wait for capacity measures the rate at which statements are served; others wait for a replica, an opening or a change of primary.
    const auto lacksCapacity = [&](const placement::Candidate& candidate) { return isRelevant(candidate) && !candidate.isLagging && (isAtLimit(candidate) || this->pool(candidate.id)->isFullyUsed()); };
    if (std::any_of(candidates.begin(), candidates.end(), lacksCapacity))
        service.queue.noteSaturated(laneOf(requirements), now);
    const bool hasLeader = std::any_of(candidates.begin(), candidates.end(), [](const auto& candidate) { return candidate.isLeader; });
    const bool isForAll = requirements.requiredUpstream.empty() && (hasLeader || !requirements.needsLeader);
    return isForAll && std::all_of(candidates.begin(), candidates.end(), isSaturated) ? Served::LaneBlocked : Served::FlowBlocked;
}

/// Grants an idle link of the chosen upstream, or opens a new link that the statement waits for.
Dispatcher::Served Dispatcher::grantOrOpen(Service& service, Waiter& waiter, UpstreamPool& pool, placement::Choice::Step step)
{
    if (step == placement::Choice::Step::Open) {
        if (!this->needsAnotherOpening(service, waiter.requirements.organisation))
            return Served::FlowBlocked;
        pool.open(waiter.requirements.organisation);
        return Served::Opening;
    }
    service.queue.grant(waiter.ticketId, this->loop.now());
    const auto link = pool.acquire(scopeOf(waiter.requirements), *waiter.requirements.settings);
    link->isForTransaction = waiter.requirements.beginsTransaction;
    this->completeWaiter(service, waiter.ticketId, AcquiredLink(pool.shared_from_this(), link));
    return Served::Completed;
}

/// Removes a statement and calls its callback with the result.
void Dispatcher::completeWaiter(Service& service, std::uint64_t ticketId, tl::expected<AcquiredLink, Refusal> result)
{
    const auto callback = std::move(service.waiters.at(ticketId).callback);
    removeWaiter(service, ticketId);
    callback(std::move(result));
}

void Dispatcher::removeWaiter(Service& service, std::uint64_t ticketId) noexcept
{
    service.queue.remove(ticketId);
    service.waiters.erase(ticketId);
}

std::vector<placement::Candidate> Dispatcher::candidatesFor(Service& service, const LinkRequirements& requirements)
{
    const auto leader = this->leaderOf(service);
    const auto reachedAt = requirements.after ? service.samples.reachedAt(*requirements.after) : std::nullopt;
    std::vector<placement::Candidate> candidates;
    candidates.reserve(service.pools.size());
    for (const auto& pool : service.pools) {
        const auto& entry = pool->entry();
        const auto& id = entry.id;
        const bool isEligible = requirements.requiredUpstream.empty() || requirements.requiredUpstream == id;
        if (!isEligible || this->isDrained(id))
            continue;
        const bool holdsAll = !requirements.after || leader == id;
        const auto holdsIn = holdsAll ? std::optional(Duration::zero()) : replicaHoldsIn(service, id, *requirements.after, reachedAt);
        const auto others = this->fleetLoad.estimate(id, this->loop.now());
        candidates.push_back({
            .id = id,
            .health = &pool->health(),
            .slots = entry.slots,
            .running = pool->running(),
            .others = others,
            .limit = this->sharedLimit(service, *pool, others, leader == id),
            .idle = pool->idle(scopeOf(requirements)),
            .canOpen = pool->canOpen(requirements.organisation),
            .isLeader = leader == id,
            .isDraining = entry.draining && requirements.requiredUpstream.empty(), // one that is asked for by name is asked while it drains, too
            .isLagging = !holdsIn || *holdsIn > Duration::zero(),
            .holdsIn = holdsIn,
            .wasTried = std::find(requirements.tried.begin(), requirements.tried.end(), id) != requirements.tried.end(),
            .zone = entry.zone,
            .crossingCost = this->crossingCost(entry.zone),
        });
        this->applyConnectionLimits(requirements, *pool, candidates.back());
    }
    this->preferZone(service, requirements, candidates);
    return candidates;
}

/// Returns whether an upstream has been draining for so long that it no longer receives statements.
bool Dispatcher::isDrained(std::string_view upstream) const
{
    const auto* known = this->catalog.find(upstream);
    return known && known->drainingSince && this->loop.now() - *known->drainingSince >= this->options.upstreamDrainLimit;
}

void Dispatcher::noteWork(std::string_view service, const admission::StatementClass& kind, Duration elapsed, const AcquiredLink& link)
{
    if (!link.isCongested())
        admission::noteServiceTime(this->serviceOf(service).work, kind, elapsed);
}

const freshness::SampleWindow& Dispatcher::samples(std::string_view service)
{
    return this->serviceOf(service).samples;
}

std::shared_ptr<UpstreamPool> Dispatcher::pool(std::string_view upstream) const
{
    const auto found = this->pools.find(upstream);
    return found == this->pools.end() ? nullptr : found->second;
}

Dispatcher::Ticket Dispatcher::queryStatus(const std::string& service, const std::string& upstream, Time deadline, std::function<void(std::optional<UpstreamStatus>)> done)
{
    static const SessionSettings anySettings;
    LinkRequirements requirements { .service = service, .acceptsAnyLink = true, .requiredUpstream = upstream, .target = deadline, .deadline = deadline, .settings = &anySettings };
    return this->acquire(std::move(requirements), [this, done = std::move(done)](tl::expected<AcquiredLink, Refusal> result) {
        if (!result) {
            done(std::nullopt);
            return;
        }
        const auto link = std::make_shared<AcquiredLink>(std::move(*result));
        link->send({ .kind = Command::Kind::Status }, [this, link, done](const Reply& reply) {
            const auto status = this->factory.readStatus(reply);
            if (reply.lost)
                link->discard();
            else
                link->reset();
            done(status);
        });
    });
}

void Dispatcher::noteRefusal(const Service& service, const LinkRequirements& requirements, QueueRefusal refusal, Duration retryAfter)
{
    if (this->report)
        this->report->noteRefusal(service.name, admission::indexOf(requirements.kind), refusal, retryAfter, service.queue.size(), this->loop.now());
}

void Dispatcher::reportWaiting()
{
    for (std::size_t i = 0; this->report && i < admission::ServiceTimes::classCount; ++i) {
        std::size_t waiting = 0;
        for (const auto& [name, service] : this->services)
            waiting += service.queue.waitingOf(i);
        this->report->setWaiting(i, waiting);
    }
}

void Dispatcher::tick()
{
    this->reportWaiting();
    for (auto& [name, service] : this->services) {
        this->updateZoneShares(service);
        for (const auto& pool : service.pools)
            this->maintainWarmLinks(service, *pool);
        if (!service.waiters.empty())
            this->scheduleQueueProcessing(service);
    }
}

}

#include "amaranthhall/engine/dispatcher.hpp"

#include "amaranthhall/engine/boot_clock.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickInterval = 250ms;
    constexpr Duration usedSpan = 30s; // a service without statements for so long needs no more than a link that shows whether its upstreams live
    constexpr std::uint32_t unusedWarm = 1;
    constexpr Duration idleRest = 5s; // extra links are closed after this long without use
    constexpr Duration usualWork = 30ms; // a statement's time on an upstream with a short queue
    constexpr std::string_view tooSlow = "the queue is too long to be served in time";
    constexpr std::string_view queueFull = "the queue is full";
    constexpr std::string_view noUpstream = "no upstream can serve now";
    constexpr std::string_view outOfReach = "this daemon does not reach the primary";
    constexpr std::uint32_t mostWaiters = 256; // statements of one service that may wait on this daemon

}

Dispatcher::Ticket& Dispatcher::Ticket::operator=(Ticket&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->dispatcher = std::exchange(other.dispatcher, nullptr);
        this->service = other.service;
        this->number = other.number;
    }
    return *this;
}

void Dispatcher::Ticket::reset() noexcept
{
    if (auto* owner = std::exchange(this->dispatcher, nullptr))
        owner->cancel(*this->service, this->number);
}

Dispatcher::Dispatcher(kernel::Loop& usedLoop, LinkFactory& usedFactory, catalog::Catalog& usedCatalog, Options usedOptions)
    : loop(usedLoop)
    , factory(usedFactory)
    , catalog(usedCatalog)
    , options(std::move(usedOptions))
    , ticker(usedLoop.every(tickInterval, [this] { this->tick(); }))
{
}

void Dispatcher::onCatalogChanged()
{
    for (const auto& [id, known] : this->catalog.upstreams()) {
        if (!this->holdsLinks(known.entry.service))
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
        if (this->catalog.find(item.first) && (this->holdsLinks(item.second->entry().service) || !isIdle))
            return false;
        this->serviceOf(item.second->entry().service).lags.erase(item.first);
        item.second->closeAll();
        this->loop.post([held = item.second] {});
        return true;
    });
    this->groupPools();
}

/// Tells whether this daemon needs links to a service: it shares its connections, or statements have come that it could not hand on.
bool Dispatcher::holdsLinks(std::string_view service)
{
    return this->options.sharers(service).value_or(0) > 0 || this->serviceOf(service).usedAt;
}

/// Lists the pools of each service, opens their first links, and looks at the queue anew.
void Dispatcher::groupPools()
{
    for (auto& [name, service] : this->services)
        service.pools.clear();
    for (const auto& [id, pool] : this->pools)
        this->serviceOf(pool->entry().service).pools.push_back(pool);
    for (auto& [name, service] : this->services) {
        for (const auto& pool : service.pools)
            this->keepWarm(service, *pool);
        if (!service.waiters.empty())
            this->schedulePump(service);
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
    UpstreamPool::Callbacks callbacks {
        .available = [this, &service] { this->schedulePump(service); },
        .heldPoint = [&service, upstream = entry.id](const auto& point) { freshness::noteHeld(service.lags[upstream], service.samples, point, bootNow()); },
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
    return placement::shareConnections(connections, *sharers);
}

/// Opens a link in advance where fewer than the warm ones are open, and closes those beyond them that rest.
void Dispatcher::keepWarm(const Service& service, UpstreamPool& pool)
{
    const bool isUsed = service.usedAt && this->loop.now() - *service.usedAt < usedSpan;
    const auto warm = isUsed ? pool.share().warm : std::min(unusedWarm, pool.share().warm);
    const auto& health = pool.health();
    const bool mayOpen = pool.opening() == 0 && pool.canOpen() && !pool.entry().draining && health.overloadedUntil <= this->loop.now();
    if (pool.size() < warm && mayOpen)
        pool.open();
    pool.closeIdle(warm, idleRest);
}

Dispatcher::Ticket Dispatcher::acquire(Want want, Granted granted)
{
    const auto number = ++this->lastNumber;
    auto& service = this->serviceOf(want.service);
    const bool isFirst = !std::exchange(service.usedAt, this->loop.now());
    if (isFirst && service.pools.empty())
        this->onCatalogChanged();
    auto& waiters = service.waiters;
    // Urgent statements first, then the one that is to be answered soonest.
    const auto place = std::find_if(waiters.begin(), waiters.end(), [&](const Waiter& other) {
        return std::pair(want.priority, want.target) < std::pair(other.want.priority, other.want.target);
    });
    auto lane = service.lanes[want.needsLeader ? 1 : 0];
    lane.waiting = static_cast<std::uint32_t>(std::count_if(waiters.begin(), place, [&](const Waiter& other) { return other.want.needsLeader == want.needsLeader; }));
    const admission::Arrival arrival { .now = this->loop.now(), .deadline = want.target, .serviceWaiting = static_cast<std::uint32_t>(waiters.size()), .serviceLimit = mostWaiters, .expectedServiceTime = this->latencyFor(service, want), .relativeCost = admission::relativeCost(service.work, want.kind) };
    if (const auto shed = admission::admit(lane, arrival)) {
        const auto reason = shed->reason == admission::ShedReason::TooSlow ? tooSlow : queueFull;
        waiters.push_back(Waiter { .number = number, .want = std::move(want), .granted = std::move(granted), .refusal = reason });
        this->schedulePump(service);
        return { *this, service, number };
    }
    waiters.insert(place, Waiter { .number = number, .want = std::move(want), .granted = std::move(granted) });
    this->schedulePump(service);
    return { *this, service, number };
}

/// Gives how long a statement takes now at the leader, or at the fastest upstream if any will do.
Duration Dispatcher::latencyFor(const Service& service, const Want& want) const
{
    if (want.needsLeader) {
        const auto leader = this->leaderOf(service);
        const auto found = leader ? this->pool(*leader) : nullptr;
        return found ? found->health().latency : Duration::zero();
    }
    const auto fastest = std::min_element(service.pools.begin(), service.pools.end(), [](const auto& left, const auto& right) { return left->health().latency < right->health().latency; });
    return fastest == service.pools.end() ? Duration::zero() : (*fastest)->health().latency;
}

void Dispatcher::cancel(Service& service, std::uint64_t number) noexcept
{
    const auto found = std::find_if(service.waiters.begin(), service.waiters.end(), [number](const Waiter& waiter) { return waiter.number == number; });
    if (found != service.waiters.end())
        this->leave(service, found);
}

void Dispatcher::schedulePump(Service& service)
{
    if (std::exchange(service.isPumping, true))
        return;
    this->loop.post([this, &service] {
        service.isPumping = false;
        this->pump(service);
    });
}

void Dispatcher::pump(Service& service)
{
    // A callback may change the queue, so its end is found anew after each.
    const auto now = this->loop.now();
    std::vector<std::uint64_t> numbers;
    std::vector<std::uint64_t> late;
    for (const auto& waiter : service.waiters)
        (waiter.want.target >= now + usualWork ? numbers : late).push_back(waiter.number);
    // What is late already gets only what the others leave.
    numbers.insert(numbers.end(), late.begin(), late.end());
    for (const auto number : numbers) {
        const auto found = std::find_if(service.waiters.begin(), service.waiters.end(), [number](const Waiter& waiter) { return waiter.number == number; });
        if (found == service.waiters.end())
            continue;
        this->serve(service, *found);
    }
}

void Dispatcher::serve(Service& service, Waiter& waiter)
{
    if (!waiter.refusal.empty()) {
        this->finish(service, waiter.number, tl::unexpected(Refusal { .reason = waiter.refusal }));
        return;
    }
    if (waiter.want.needsLeader && this->mustCheckLeader(service))
        return;
    const auto candidates = this->candidatesFor(service, waiter.want);
    const auto choice = this->chooseFor(service, waiter.want, candidates);
    using Step = placement::Choice::Step;
    if (choice.step == Step::Wait)
        this->count(service, waiter);
    else if (choice.step == Step::Refuse) {
        const bool isLocal = waiter.want.needsLeader && this->isOutOfReach(service);
        this->finish(service, waiter.number, tl::unexpected(Refusal { .reason = isLocal ? outOfReach : noUpstream, .isLocal = isLocal }));
    } else
        this->use(service, waiter, *this->pool(candidates[choice.candidate].id), choice.step);
}

placement::Choice Dispatcher::chooseFor(Service& service, const Want& want, std::span<const placement::Candidate> candidates)
{
    using Step = placement::Choice::Step;
    const auto now = this->loop.now();
    if (!want.needsLeader)
        return placement::chooseAny(candidates, now);
    auto choice = placement::chooseLeader(candidates, now);
    if (choice.step == Step::Serve)
        return choice;
    // Others serve meanwhile, so that waiting for a link of one's own would be the longer way.
    if (want.mayDetour && this->isOutOfReach(service))
        return { .step = Step::Refuse };
    if (choice.step != Step::Refuse)
        service.leaderlessSince.reset();
    else if (this->mayWaitForLeader(service))
        choice.step = Step::Wait;
    return choice;
}

/// Counts a statement that has to wait, once.
void Dispatcher::count(Service& service, Waiter& waiter)
{
    if (!std::exchange(waiter.isCounted, true))
        ++service.lanes[waiter.want.needsLeader ? 1 : 0].waiting;
}

/// Lends an idle link of the chosen upstream, or opens one for the statement to wait for.
void Dispatcher::use(Service& service, Waiter& waiter, UpstreamPool& pool, placement::Choice::Step step)
{
    if (step == placement::Choice::Step::Open) {
        if (pool.opening() < service.waiters.size())
            pool.open();
        return;
    }
    if (std::exchange(waiter.isCounted, false)) {
        auto& lane = service.lanes[waiter.want.needsLeader ? 1 : 0];
        --lane.waiting;
        admission::noteGrant(lane, this->loop.now());
    }
    this->finish(service, waiter.number, Loan(pool.shared_from_this(), pool.take(*waiter.want.settings)));
}

/// Takes a statement out of the queue and tells its outcome.
void Dispatcher::finish(Service& service, std::uint64_t number, tl::expected<Loan, Refusal> result)
{
    const auto found = std::find_if(service.waiters.begin(), service.waiters.end(), [number](const Waiter& waiter) { return waiter.number == number; });
    const auto granted = std::move(found->granted);
    this->leave(service, found);
    granted(std::move(result));
}

void Dispatcher::leave(Service& service, std::list<Waiter>::iterator waiter) noexcept
{
    if (waiter->isCounted)
        --service.lanes[waiter->want.needsLeader ? 1 : 0].waiting;
    service.waiters.erase(waiter);
}

std::vector<placement::Candidate> Dispatcher::candidatesFor(Service& service, const Want& want)
{
    const auto leader = this->leaderOf(service);
    const auto now = bootNow();
    std::vector<placement::Candidate> candidates;
    candidates.reserve(service.pools.size());
    for (const auto& pool : service.pools) {
        const auto& entry = pool->entry();
        const auto& id = entry.id;
        const bool isWanted = want.only.empty() || want.only == id;
        if (!isWanted || this->isDrained(id))
            continue;
        candidates.push_back({
            .id = id,
            .health = &pool->health(),
            .slots = entry.slots,
            .running = pool->running(),
            .limit = placement::concurrencyLimit(pool->health(), entry.slots),
            .idle = pool->idle(),
            .canOpen = pool->canOpen(),
            .isLeader = leader == id,
            .isDraining = entry.draining,
            .isLagging = want.after && leader != id && !freshness::isExpectedToHold(service.lags[id], service.samples, *want.after, now),
            .wasTried = std::find(want.tried.begin(), want.tried.end(), id) != want.tried.end(),
            .isSameZone = entry.zone == this->options.zone,
        });
    }
    return candidates;
}

/// Tells whether an upstream has been leaving for so long that it gets no statement any more.
bool Dispatcher::isDrained(std::string_view upstream) const
{
    const auto* known = this->catalog.find(upstream);
    return known && known->drainingSince && this->loop.now() - *known->drainingSince >= this->options.upstreamDrainLimit;
}

void Dispatcher::noteWork(std::string_view service, const admission::StatementClass& kind, Duration taken, const Loan& loan)
{
    if (!loan.isCongested())
        admission::noteServiceTime(this->serviceOf(service).work, kind, taken);
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

Dispatcher::Ticket Dispatcher::askStatus(const std::string& service, const std::string& upstream, Time deadline, std::function<void(std::optional<UpstreamStatus>)> done)
{
    static const SessionSettings anySettings;
    Want want { .service = service, .only = upstream, .target = deadline, .deadline = deadline, .settings = &anySettings };
    return this->acquire(std::move(want), [this, done = std::move(done)](tl::expected<Loan, Refusal> result) {
        if (!result) {
            done(std::nullopt);
            return;
        }
        const auto loan = std::make_shared<Loan>(std::move(*result));
        loan->send({ .kind = Command::Kind::Status }, [this, loan, done](const Reply& reply) {
            const auto status = this->factory.readStatus(reply);
            if (reply.lost)
                loan->discard();
            else
                loan->reset();
            done(status);
        });
    });
}

void Dispatcher::tick()
{
    for (auto& [name, service] : this->services) {
        for (const auto& pool : service.pools)
            this->keepWarm(service, *pool);
        if (!service.waiters.empty())
            this->schedulePump(service);
    }
}

}

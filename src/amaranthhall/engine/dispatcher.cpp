#include "amaranthhall/engine/dispatcher.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tickInterval = 250ms;
    constexpr Duration idleRest = 3s; // extra links are closed after this long without use
    constexpr std::uint32_t keptLinks = 1; // warm links to each upstream
    constexpr Duration longestChange = 4s; // a change of primary that takes longer is not waited for
    constexpr std::size_t mostWaiters = 256; // statements of one service that may wait on this daemon

}

Loan::Loan(std::shared_ptr<UpstreamPool> usedPool, std::shared_ptr<PooledLink> usedLink) noexcept
    : pool(std::move(usedPool))
    , link(std::move(usedLink))
{
}

Loan& Loan::operator=(Loan&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->pool = std::move(other.pool);
        this->link = std::move(other.link);
    }
    return *this;
}

Loan::~Loan()
{
    this->reset();
}

void Loan::reset()
{
    if (const auto returned = std::exchange(this->link, nullptr))
        this->pool->giveBack(returned);
}

void Loan::discard()
{
    if (const auto dropped = std::exchange(this->link, nullptr))
        this->pool->discard(dropped);
}

Dispatcher::Ticket& Dispatcher::Ticket::operator=(Ticket&& other) noexcept
{
    if (this != &other) {
        this->reset();
        this->dispatcher = std::exchange(other.dispatcher, nullptr);
        this->number = other.number;
    }
    return *this;
}

void Dispatcher::Ticket::reset() noexcept
{
    if (auto* owner = std::exchange(this->dispatcher, nullptr))
        owner->cancel(this->number);
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
        auto& pool = this->pools[id];
        const bool isReplaced = pool && (pool->entry().startedAt != known.entry.startedAt || pool->entry().address != known.entry.address);
        if (isReplaced)
            pool->closeAll();
        if (!pool || isReplaced)
            pool = std::make_shared<UpstreamPool>(this->loop, this->factory, known.entry, UpstreamPool::Callbacks { .available = [this, service = known.entry.service] { this->schedulePump(service); } });
        pool->update(known.entry);
        pool->setLimit(this->limitFor(known.entry));
        this->schedulePump(known.entry.service);
    }
    std::erase_if(this->pools, [this](const auto& item) {
        if (this->catalog.find(item.first))
            return false;
        item.second->closeAll();
        this->loop.post([held = item.second] {});
        return true;
    });
}

void Dispatcher::setDaemons(std::size_t count)
{
    this->daemons = std::max<std::size_t>(1, count);
    this->onCatalogChanged();
}

std::uint32_t Dispatcher::limitFor(const catalog::UpstreamEntry& entry) const
{
    // Half as many again as an even share: pinned transactions come unevenly, and the upstream refuses truthfully.
    constexpr std::size_t numerator = 3;
    constexpr std::size_t denominator = 2;
    constexpr std::uint32_t least = 1;
    const auto configuration = this->catalog.configuration();
    if (!configuration)
        return least;
    const auto spec = configuration->services.find(entry.service);
    if (spec == configuration->services.end())
        return least;
    const auto share = spec->second.maximumConnections * numerator / denominator / this->daemons;
    return std::max(least, static_cast<std::uint32_t>(share));
}

Dispatcher::Ticket Dispatcher::acquire(Want want, Granted granted)
{
    const auto number = ++this->lastNumber;
    const auto name = want.service;
    auto& waiters = this->services[name].waiters;
    // Urgent statements first, then the one that must be answered soonest.
    const auto place = std::find_if(waiters.begin(), waiters.end(), [&](const Waiter& other) {
        return std::pair(want.priority, want.deadline) < std::pair(other.want.priority, other.want.deadline);
    });
    waiters.insert(place, Waiter { .number = number, .want = std::move(want), .granted = std::move(granted) });
    this->schedulePump(name);
    return { *this, number };
}

void Dispatcher::cancel(std::uint64_t number) noexcept
{
    for (auto& [name, service] : this->services)
        service.waiters.remove_if([number](const Waiter& waiter) { return waiter.number == number; });
}

void Dispatcher::schedulePump(const std::string& service)
{
    auto& state = this->services[service];
    if (std::exchange(state.isPumping, true))
        return;
    this->loop.post([this, service] {
        this->services[service].isPumping = false;
        this->pump(service);
    });
}

void Dispatcher::pump(const std::string& name)
{
    auto& service = this->services[name];
    // A callback may change the queue, so its end is found anew after each.
    std::vector<std::uint64_t> numbers;
    for (const auto& waiter : service.waiters)
        numbers.push_back(waiter.number);
    for (const auto number : numbers) {
        const auto found = std::find_if(service.waiters.begin(), service.waiters.end(), [number](const Waiter& waiter) { return waiter.number == number; });
        if (found == service.waiters.end())
            continue;
        static_cast<void>(this->serve(service, *found));
    }
}

bool Dispatcher::serve(Service& service, Waiter& waiter)
{
    const auto now = this->loop.now();
    const auto candidates = this->candidatesFor(waiter.want.service, service, waiter.want);
    auto choice = waiter.want.needsLeader ? placement::chooseLeader(candidates, now) : placement::chooseAny(candidates, now);
    using Step = placement::Choice::Step;
    if (waiter.want.needsLeader && choice.step != Step::Refuse)
        service.leaderlessSince.reset();
    if (waiter.want.needsLeader && choice.step == Step::Refuse && this->mayWaitForLeader(waiter.want.service, service))
        choice.step = Step::Wait;
    if (choice.step == Step::Wait && service.waiters.size() <= mostWaiters)
        return false;
    const auto number = waiter.number;
    if (choice.step == Step::Open) {
        auto& pool = this->pools.find(candidates[choice.candidate].id)->second;
        if (pool->opening() < service.waiters.size())
            pool->open();
        return false;
    }
    auto granted = std::move(waiter.granted);
    std::optional<Loan> loan;
    if (choice.step == Step::Serve) {
        auto& pool = this->pools.find(candidates[choice.candidate].id)->second;
        loan.emplace(pool, pool->take(*waiter.want.settings));
    }
    service.waiters.remove_if([number](const Waiter& other) { return other.number == number; });
    if (loan)
        granted(std::move(*loan));
    else
        granted(tl::unexpected(Refusal { .reason = choice.step == Step::Wait ? "queue full" : "no upstream can serve now" }));
    return true;
}

/// Tells whether a leader may come soon: not if others reach the present one, and not for ever.
bool Dispatcher::mayWaitForLeader(std::string_view name, Service& service)
{
    const auto now = this->loop.now();
    if (!service.leaderlessSince)
        service.leaderlessSince = now;
    if (now - *service.leaderlessSince > longestChange)
        return false;
    const auto leader = this->leader(name);
    const auto found = leader ? this->pool(*leader) : nullptr;
    const auto failingSince = found ? found->health().failingSince : std::nullopt;
    const auto& proof = service.leadership.newestProof();
    const bool isReachedByOthers = failingSince && proof && proof->upstream == *leader && proof->at > *failingSince;
    return !isReachedByOthers;
}

std::vector<placement::Candidate> Dispatcher::candidatesFor(std::string_view name, Service&, const Want& want)
{
    const auto leader = this->leader(name);
    std::vector<placement::Candidate> candidates;
    for (const auto& [id, pool] : this->pools) {
        const auto& entry = pool->entry();
        if (entry.service != name || (!want.only.empty() && want.only != id))
            continue;
        candidates.push_back({
            .id = id,
            .health = &pool->health(),
            .slots = entry.slots,
            .running = pool->running(),
            .idle = pool->idle(),
            .canOpen = pool->canOpen(),
            .isLeader = leader == id,
            .isLeaving = entry.draining,
            .isTried = std::find(want.tried.begin(), want.tried.end(), id) != want.tried.end(),
            .isNear = entry.zone == this->options.zone,
        });
    }
    return candidates;
}

void Dispatcher::noteProof(std::string_view service, leadership::LeaderProof proof, freshness::Micros at)
{
    auto& state = this->services[std::string(service)];
    state.samples.add({ .point = proof.point, .at = at });
    state.leadership.prove(proof);
}

void Dispatcher::noteNotLeader(std::string_view service, std::string_view upstream, Time askedAt)
{
    this->services[std::string(service)].leadership.refute(upstream, askedAt);
}

const freshness::SampleWindow& Dispatcher::samples(std::string_view service)
{
    return this->services[std::string(service)].samples;
}

std::optional<std::string> Dispatcher::leader(std::string_view service)
{
    std::vector<leadership::PrimaryClaim> claims;
    for (const auto& [id, known] : this->catalog.upstreams()) {
        if (known.entry.service == service && known.entry.role == catalog::Role::Primary)
            claims.push_back({ .upstream = id, .version = known.roleVersion, .seenAt = known.roleSeenAt });
    }
    const auto found = this->services[std::string(service)].leadership.leader(claims);
    return found ? std::optional<std::string>(*found) : std::nullopt;
}

std::shared_ptr<UpstreamPool> Dispatcher::pool(std::string_view upstream) const
{
    const auto found = this->pools.find(upstream);
    return found == this->pools.end() ? nullptr : found->second;
}

const std::optional<leadership::LeaderProof>& Dispatcher::proof(std::string_view service)
{
    return this->services[std::string(service)].leadership.newestProof();
}

Dispatcher::Ticket Dispatcher::askStatus(const std::string& service, const std::string& upstream, Time deadline, std::function<void(std::optional<UpstreamStatus>)> done)
{
    static const SessionSettings anySettings;
    Want want { .service = service, .only = upstream, .deadline = deadline, .settings = &anySettings };
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

std::vector<std::string> Dispatcher::serviceNames() const
{
    std::set<std::string> names;
    if (const auto configuration = this->catalog.configuration()) {
        for (const auto& [name, spec] : configuration->services)
            names.insert(name);
    }
    for (const auto& [id, known] : this->catalog.upstreams())
        names.insert(known.entry.service);
    return { names.begin(), names.end() };
}

void Dispatcher::tick()
{
    for (auto& [id, pool] : this->pools)
        pool->closeIdle(keptLinks, idleRest);
    for (auto& [name, service] : this->services) {
        if (!service.waiters.empty())
            this->schedulePump(name);
    }
}

}

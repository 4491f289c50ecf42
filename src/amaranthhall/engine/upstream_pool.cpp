#include "amaranthhall/engine/upstream_pool.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration openTimeout = 1000ms; // opening a connection occupies an upstream slot for up to 27 ms and may have to queue for one

    constexpr Duration silenceTimeout = 150ms; // longest time without traffic on any link while a reply is outstanding
    constexpr Duration releaseTimeout = 3s; // upstreams also drop an unreachable connection after this time

    /// Ranks an idle link by the commands it needs, higher is better: none for equal settings, SET for a subset, RESET otherwise.
    int rank(const PooledLink& link, const SessionSettings& requiredSettings)
    {
        if (link.settings == requiredSettings)
            return 2;
        return std::includes(requiredSettings.begin(), requiredSettings.end(), link.settings.begin(), link.settings.end()) ? 1 : 0;
    }

    bool isWithin(const PooledLink& link, const LinkScope& scope)
    {
        return scope.isAny || link.organisation == scope.organisation;
    }

}

struct UpstreamPool::Opening {
    std::string organisation;
    Time startedAt;
    std::unique_ptr<LinkFactory::Opening> handle;
};

UpstreamPool::UpstreamPool(kernel::Loop& usedLoop, LinkFactory& usedFactory, catalog::UpstreamEntry usedEntry, Callbacks usedCallbacks)
    : loop(usedLoop)
    , factory(usedFactory)
    , upstream(std::move(usedEntry))
    , callbacks(std::move(usedCallbacks))
{
}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<PooledLink> UpstreamPool::acquire(const LinkScope& scope, const SessionSettings& requiredSettings)
{
    std::shared_ptr<PooledLink> best;
    for (const auto& link : this->links) {
        if (link->isAcquired || !isWithin(*link, scope))
            continue;
        // Prefers the most recently used link among equals, so that the others become idle long enough to be closed.
        const bool isBetter = !best || rank(*link, requiredSettings) > rank(*best, requiredSettings) || (rank(*link, requiredSettings) == rank(*best, requiredSettings) && link->idleSince > best->idleSince);
        if (isBetter)
            best = link;
    }
    if (best)
        best->isAcquired = true;
    return best;
}

void UpstreamPool::release(const std::shared_ptr<PooledLink>& link)
{
    if (link->isBroken)
        return;
    link->isReleasing = true;
    this->finishRelease(link);
}

void UpstreamPool::finishRelease(const std::shared_ptr<PooledLink>& link)
{
    if (link->isBroken || link->running > 0)
        return;
    if (!link->inTransaction) {
        this->makeIdle(link);
        return;
    }
    this->send(link, { .kind = Command::Kind::Rollback }, [this, link](const Reply& reply) {
        const bool isClean = reply.succeeded() && reply.state == TransactionState::Idle;
        if (!isClean)
            this->discard(link);
    });
}

void UpstreamPool::makeIdle(const std::shared_ptr<PooledLink>& link)
{
    link->isAcquired = false;
    link->isReleasing = false;
    link->isForTransaction = false;
    link->idleSince = this->loop.now();
    this->callbacks.available();
}

void UpstreamPool::noteStall()
{
    const auto now = this->loop.now();
    placement::noteFault(this->upstreamHealth);
    if (this->silence(now) >= silenceTimeout)
        placement::noteFailure(this->upstreamHealth, false, now);
}

void UpstreamPool::discard(const std::shared_ptr<PooledLink>& link)
{
    const auto found = std::find(this->links.begin(), this->links.end(), link);
    if (found == this->links.end())
        return;
    this->links.erase(found);
    link->isBroken = true;
    link->running = 0;
    link->link->close();
    if (link->isAcquired)
        this->callbacks.available(); // statements may wait for the number of links in use to fall
    // Deferred to a later loop iteration because a callback of the link may be running.
    this->loop.post([keepAlive = std::shared_ptr<Link>(std::move(link->link))] {});
}

void UpstreamPool::send(const std::shared_ptr<PooledLink>& link, const Command& command, Link::Done done)
{
    const auto now = this->loop.now();
    if (link->isBroken) {
        this->loop.post([done = std::move(done)] { done(Reply { .lost = true }); });
        return;
    }
    if (link->running++ == 0)
        link->sentAt = now;
    const bool isWork = command.kind == Command::Kind::Forwarded || command.kind == Command::Kind::Execute;
    link->link->send(command, [pool = this->weak_from_this(), link, now, isWork, done = std::move(done)](Reply reply) {
        const auto self = pool.lock();
        if (!self)
            return;
        if (!reply.lost)
            --link->running;
        self->onReply(link, now, isWork, reply);
        done(std::move(reply));
        if (link->isReleasing)
            self->finishRelease(link);
    });
}

void UpstreamPool::onReply(const std::shared_ptr<PooledLink>& link, Time sentAt, bool isWork, const Reply& reply)
{
    const auto now = this->loop.now();
    if (reply.lost)
        return; // handled by onClosed(), which is called next
    link->sentAt = now;
    link->inTransaction = reply.state != TransactionState::Idle;
    placement::noteActivity(this->upstreamHealth, now);
    if (reply.point) {
        this->lastPoint = reply.point;
        this->callbacks.logPointReported(*reply.point);
    }
    if (reply.code == ReplyCode::Lagging)
        this->callbacks.lagRefused();
    if (reply.code == ReplyCode::Busy) {
        placement::noteOverload(this->upstreamHealth, now);
        ++this->rejected;
    } else if (isWork) {
        placement::noteAnswer(this->upstreamHealth, now - sentAt, now);
        if (reply.code == ReplyCode::Failed || reply.code == ReplyCode::TimedOut)
            placement::noteFault(this->upstreamHealth);
        this->pace();
    }
}

void UpstreamPool::pace()
{
    const auto wait = placement::pacingDelay(this->upstreamHealth, this->sendingDaemons, this->upstream.slots);
    if (wait <= Duration::zero())
        return;
    this->upstreamHealth.paceUntil = this->loop.now() + wait;
    this->paceTimer = this->loop.after(wait, [this] { this->callbacks.available(); });
}

/// Returns the idle link of another organisation that has been idle longest; nullptr if there is none.
std::shared_ptr<PooledLink> UpstreamPool::findReplaceable(std::string_view organisation) const noexcept
{
    std::shared_ptr<PooledLink> oldest;
    for (const auto& link : this->links) {
        const bool isReplaceable = !link->isAcquired && link->organisation != organisation;
        if (isReplaceable && (!oldest || link->idleSince < oldest->idleSince))
            oldest = link;
    }
    return oldest;
}

void UpstreamPool::open(std::string_view organisation)
{
    if (this->links.size() + this->openings.size() >= this->connectionShare.limit) {
        if (const auto replaced = this->findReplaceable(organisation))
            this->discard(replaced);
    }
    auto opening = std::make_unique<Opening>();
    auto* handle = opening.get();
    opening->organisation = organisation;
    opening->startedAt = this->loop.now();
    this->openings.push_back(std::move(opening));
    auto link = std::make_shared<PooledLink>();
    link->organisation = organisation;
    handle->handle = this->factory.open(
        this->upstream, organisation, openTimeout,
        [&usedLoop = this->loop, pool = this->weak_from_this(), handle, link](OpenResult result) {
            if (const auto self = pool.lock(); self && self->isOpening(handle)) {
                self->onOpened(handle, link, std::move(result));
                return;
            }
            // Cancelled, but ended before it was destroyed. The new link may be the caller, so it is destroyed on a later turn of the loop.
            usedLoop.post([keepAlive = std::shared_ptr<Link>(std::move(result.link))] {});
        },
        [pool = this->weak_from_this(), weak = std::weak_ptr(link)] {
            const auto self = pool.lock();
            const auto closed = weak.lock();
            if (self && closed)
                self->onClosed(closed);
        });
}

bool UpstreamPool::isOpening(const Opening* opening) const noexcept
{
    return std::any_of(this->openings.begin(), this->openings.end(), [opening](const auto& candidate) { return candidate.get() == opening; });
}

void UpstreamPool::onOpened(const Opening* opening, const std::shared_ptr<PooledLink>& link, OpenResult result)
{
    const auto now = this->loop.now();
    const auto found = std::find_if(this->openings.begin(), this->openings.end(), [&](const auto& candidate) { return candidate.get() == opening; });
    // Deferred to a later loop iteration because this is a callback of the opening.
    this->loop.post([keepAlive = std::shared_ptr<Opening>(std::move(*found))] {});
    this->openings.erase(found);
    if (result.link) {
        link->link = std::move(result.link);
        this->links.push_back(link);
        placement::noteActivity(this->upstreamHealth, now);
        this->makeIdle(link);
        return;
    }
    if (result.code == ReplyCode::TooManyConnections)
        placement::noteConnectionLimit(this->upstreamHealth, now);
    else
        placement::noteFailure(this->upstreamHealth, result.refused, now);
    telemetry::logEvent(telemetry::LogLevel::Info, "link.open_failed", { { "upstream", this->upstream.id }, { "code", nameOf(result.code) }, { "refused", result.refused } });
    this->callbacks.available();
}

void UpstreamPool::onClosed(const std::shared_ptr<PooledLink>& link)
{
    const bool hadWork = link->running > 0 || link->isAcquired;
    this->discard(link);
    if (hadWork) {
        placement::noteFault(this->upstreamHealth);
        placement::noteFailure(this->upstreamHealth, true, this->loop.now());
    }
    this->callbacks.available();
}

void UpstreamPool::closeIdle(std::size_t keepCount, Duration idleTime)
{
    const auto now = this->loop.now();
    const auto all = this->links;
    for (const auto& link : all) {
        if (link->isReleasing && now - link->sentAt > releaseTimeout)
            this->discard(link);
        if (this->links.size() <= keepCount)
            continue;
        if (!link->isAcquired && now - link->idleSince > idleTime)
            this->discard(link);
    }
}

void UpstreamPool::closeAll()
{
    const auto all = this->links;
    for (const auto& link : all) {
        if (!link->isAcquired)
            this->discard(link);
    }
    for (auto& opening : this->openings)
        this->loop.post([keepAlive = std::shared_ptr<Opening>(std::move(opening))] {});
    this->openings.clear();
}

bool UpstreamPool::canOpen(std::string_view organisation) const noexcept
{
    const auto now = this->loop.now();
    const bool isAccepting = this->upstreamHealth.connectNotBefore <= now && this->upstreamHealth.avoidUntil <= now;
    const bool hasFreeSlot = this->running() + this->openings.size() < std::max(1U, this->upstream.slots);
    if (!isAccepting || !hasFreeSlot)
        return false;
    return this->links.size() + this->openings.size() < this->connectionShare.limit || this->findReplaceable(organisation);
}

std::uint32_t UpstreamPool::openingFor(std::string_view organisation) const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(this->openings.begin(), this->openings.end(), [organisation](const auto& opening) { return opening->organisation == organisation; }));
}

std::uint32_t UpstreamPool::idle(const LinkScope& scope) const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(this->links.begin(), this->links.end(), [&scope](const auto& link) { return !link->isAcquired && isWithin(*link, scope); }));
}

std::uint32_t UpstreamPool::running() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(this->links.begin(), this->links.end(), [](const auto& link) { return link->running > 0; }));
}

std::uint32_t UpstreamPool::heldByTransactions() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(this->links.begin(), this->links.end(), [](const auto& link) { return link->isAcquired && link->isForTransaction; }));
}

bool UpstreamPool::isStalled(Time sentAt, Time now) const noexcept
{
    constexpr int latencyMultiple = 8; // statement durations vary by a factor of five at most
    constexpr Duration minimumStallAge = 200ms;
    const auto age = now - sentAt;
    return this->silence(now) >= silenceTimeout || age >= std::max(minimumStallAge, this->upstreamHealth.latency * latencyMultiple);
}

Duration UpstreamPool::silence(Time now) const noexcept
{
    Duration longest { 0 };
    for (const auto& link : this->links) {
        if (link->running > 0)
            longest = std::max(longest, now - std::max(link->sentAt, this->upstreamHealth.lastActivity));
    }
    for (const auto& opening : this->openings)
        longest = std::max(longest, now - std::max(opening->startedAt, this->upstreamHealth.lastActivity));
    return longest;
}

}

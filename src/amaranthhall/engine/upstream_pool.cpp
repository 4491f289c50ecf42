#include "amaranthhall/engine/upstream_pool.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration openTimeout = 1000ms; // a connection takes up to 27 ms of a slot, and may queue for one

    constexpr Duration silenceLimit = 150ms; // on all links, while an answer is owed
    constexpr Duration longestReturn = 3s; // after which an upstream drops an unreachable connection, too

    /// Ranks an idle link for settings: the same settings need no command, a subset needs SETs, others a reset.
    int rank(const PooledLink& link, const SessionSettings& wanted)
    {
        if (link.settings == wanted)
            return 2;
        return std::includes(wanted.begin(), wanted.end(), link.settings.begin(), link.settings.end()) ? 1 : 0;
    }

}

struct UpstreamPool::Opening {
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

std::shared_ptr<PooledLink> UpstreamPool::take(const SessionSettings& wanted)
{
    std::shared_ptr<PooledLink> best;
    for (const auto& link : this->links) {
        if (link->isLent)
            continue;
        // Among equals the one used last, so that the others rest and can be closed.
        const bool isBetter = !best || rank(*link, wanted) > rank(*best, wanted) || (rank(*link, wanted) == rank(*best, wanted) && link->idleSince > best->idleSince);
        if (isBetter)
            best = link;
    }
    if (best)
        best->isLent = true;
    return best;
}

void UpstreamPool::giveBack(const std::shared_ptr<PooledLink>& link)
{
    if (link->isBroken)
        return;
    link->isReturning = true;
    this->settle(link);
}

void UpstreamPool::settle(const std::shared_ptr<PooledLink>& link)
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
    link->isLent = false;
    link->isReturning = false;
    link->idleSince = this->loop.now();
    this->callbacks.available();
}

void UpstreamPool::noteStall()
{
    const auto now = this->loop.now();
    placement::noteFault(this->state);
    if (this->silence(now) >= silenceLimit)
        placement::noteFailure(this->state, false, now);
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
    // A callback of the link may be running, so it is destroyed on a later turn.
    this->loop.post([held = std::shared_ptr<Link>(std::move(link->link))] {});
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
        const auto living = pool.lock();
        if (!living)
            return;
        if (!reply.lost)
            --link->running;
        living->onReply(link, now, isWork, reply);
        done(std::move(reply));
        if (link->isReturning)
            living->settle(link);
    });
}

void UpstreamPool::onReply(const std::shared_ptr<PooledLink>& link, Time sentAt, bool isWork, const Reply& reply)
{
    const auto now = this->loop.now();
    if (reply.lost)
        return; // onClosed() follows
    link->sentAt = now;
    link->inTransaction = reply.state != TransactionState::Idle;
    placement::noteActivity(this->state, now);
    if (reply.point) {
        this->lastPoint = reply.point;
        this->callbacks.heldPoint(*reply.point);
    }
    if (reply.code == ReplyCode::Busy)
        placement::noteOverload(this->state, now);
    else if (isWork) {
        placement::noteAnswer(this->state, now - sentAt, now);
        if (reply.code == ReplyCode::Failed || reply.code == ReplyCode::TimedOut)
            placement::noteFault(this->state);
        this->pace();
    }
}

void UpstreamPool::pace()
{
    const auto wait = placement::pacingDelay(this->state, this->daemons, this->upstream.slots);
    if (wait <= Duration::zero())
        return;
    this->state.paceUntil = this->loop.now() + wait;
    this->paceTimer = this->loop.after(wait, [this] { this->callbacks.available(); });
}

void UpstreamPool::open()
{
    auto opening = std::make_unique<Opening>();
    auto* handle = opening.get();
    opening->startedAt = this->loop.now();
    this->openings.push_back(std::move(opening));
    auto link = std::make_shared<PooledLink>();
    handle->handle = this->factory.open(
        this->upstream, openTimeout,
        [this, handle, link](OpenResult result) {
            this->onOpened(handle, link, std::move(result));
        },
        [pool = this->weak_from_this(), weak = std::weak_ptr(link)] {
            const auto living = pool.lock();
            const auto closed = weak.lock();
            if (living && closed)
                living->onClosed(closed);
        });
}

void UpstreamPool::onOpened(const Opening* opening, const std::shared_ptr<PooledLink>& link, OpenResult result)
{
    const auto now = this->loop.now();
    const auto found = std::find_if(this->openings.begin(), this->openings.end(), [&](const auto& candidate) { return candidate.get() == opening; });
    // The opening is calling, so it is destroyed on a later turn.
    this->loop.post([held = std::shared_ptr<Opening>(std::move(*found))] {});
    this->openings.erase(found);
    if (result.link) {
        link->link = std::move(result.link);
        this->links.push_back(link);
        placement::noteActivity(this->state, now);
        this->makeIdle(link);
        return;
    }
    if (result.code == ReplyCode::TooManyConnections)
        placement::noteConnectionLimit(this->state, now);
    else
        placement::noteFailure(this->state, result.refused, now);
    telemetry::logEvent(telemetry::LogLevel::Info, "link.open_failed", { { "upstream", this->upstream.id }, { "code", nameOf(result.code) }, { "refused", result.refused } });
    this->callbacks.available();
}

void UpstreamPool::onClosed(const std::shared_ptr<PooledLink>& link)
{
    const bool hadWork = link->running > 0 || link->isLent;
    this->discard(link);
    if (hadWork) {
        placement::noteFault(this->state);
        placement::noteFailure(this->state, true, this->loop.now());
    }
    this->callbacks.available();
}

void UpstreamPool::closeIdle(std::size_t kept, Duration rest)
{
    const auto now = this->loop.now();
    const auto all = this->links;
    for (const auto& link : all) {
        if (link->isReturning && now - link->sentAt > longestReturn)
            this->discard(link);
        if (this->links.size() <= kept)
            continue;
        if (!link->isLent && now - link->idleSince > rest)
            this->discard(link);
    }
}

void UpstreamPool::closeAll()
{
    const auto all = this->links;
    for (const auto& link : all) {
        if (!link->isLent)
            this->discard(link);
    }
    for (auto& opening : this->openings)
        this->loop.post([held = std::shared_ptr<Opening>(std::move(opening))] {});
    this->openings.clear();
}

bool UpstreamPool::canOpen() const noexcept
{
    const auto now = this->loop.now();
    const bool isWelcome = this->state.connectNotBefore <= now && this->state.avoidUntil <= now;
    const bool hasFreeSlot = this->running() + this->openings.size() < std::max(1U, this->upstream.slots);
    return isWelcome && hasFreeSlot && this->links.size() + this->openings.size() < this->allowed.limit;
}

std::uint32_t UpstreamPool::idle() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(this->links.begin(), this->links.end(), [](const auto& link) { return !link->isLent; }));
}

std::uint32_t UpstreamPool::running() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(this->links.begin(), this->links.end(), [](const auto& link) { return link->running > 0; }));
}

bool UpstreamPool::isStalled(Time sentAt, Time now) const noexcept
{
    constexpr int usualTimes = 8; // work varies by a factor of five at most
    constexpr Duration leastAge = 200ms;
    const auto age = now - sentAt;
    return this->silence(now) >= silenceLimit || age >= std::max(leastAge, this->state.latency * usualTimes);
}

Duration UpstreamPool::silence(Time now) const noexcept
{
    Duration longest { 0 };
    for (const auto& link : this->links) {
        if (link->running > 0)
            longest = std::max(longest, now - std::max(link->sentAt, this->state.lastActivity));
    }
    for (const auto& opening : this->openings)
        longest = std::max(longest, now - std::max(opening->startedAt, this->state.lastActivity));
    return longest;
}

}

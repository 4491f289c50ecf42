#include "amaranthhall/upstream/group_dispatcher.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto statusTimeout = 500ms;
    constexpr int mostLaggingScanned = 64;

    bool isSameTarget(const LinkOptions& left, const LinkOptions& right)
    {
        return left.address == right.address && left.database == right.database;
    }

    GrantKind kindOf(const WaitingWork& work, bool isPrimary)
    {
        if (work.work.need == Need::Primary)
            return GrantKind::Write;
        return isPrimary ? GrantKind::ReadOnPrimary : GrantKind::ReadOnReplica;
    }

}

GroupDispatcher::GroupDispatcher(DispatchEnvironment usedEnvironment, group::GroupId usedGroup, std::shared_ptr<ServiceQueue> usedService)
    : environment(std::move(usedEnvironment))
    , group(std::move(usedGroup))
    , service(std::move(usedService))
    , pulse(this->environment.loop, this->environment.groups, this->environment.runner, this->group)
    , alive(std::make_shared<bool>(true))
{
}

GroupDispatcher::~GroupDispatcher()
{
    for (const auto& task : this->controls)
        this->environment.loop.post(task->takeFailure());
    for (const auto& member : this->members)
        member.pool->retire();
}

GroupDispatcher::Member* GroupDispatcher::findMember(const std::string& name) noexcept
{
    const auto found = std::find_if(this->members.begin(), this->members.end(), [&](const auto& member) { return member.row.id.name == name; });
    return found == this->members.end() ? nullptr : &*found;
}

std::shared_ptr<Pool> GroupDispatcher::makePool(const table::UpstreamRow& row, const LinkOptions& options)
{
    PoolHooks hooks {
        .available = [this] { this->noteAvailable(); },
        .symptom = [this, id = row.id](auto symptom) { this->environment.groups.report(id, symptom); },
        .status = [this, id = row.id](const auto& status) { this->environment.groups.observe(id, status); },
        .counted = [this, name = row.id.name, &open = this->environment.metrics.openGauge(row.id), &busy = this->environment.metrics.busyGauge(row.id)](const auto& counts) {
            open.Set(counts.held());
            busy.Set(counts.lent);
            if (const auto* member = this->findMember(name))
                this->reportUse(*member); },
    };
    return std::make_shared<Pool>(this->environment.loop, this->environment.random, options, std::move(hooks));
}

std::uint32_t GroupDispatcher::allowanceOf(const Member& member) const
{
    return this->environment.shares ? this->environment.shares->allowance(member.row.id) : member.row.connectionLimit;
}

void GroupDispatcher::reportUse(const Member& member) const
{
    if (!this->environment.shares || !member.pool)
        return;
    const auto& counts = member.pool->counts();
    this->environment.shares->reportUse(member.row.id, { .open = counts.held(), .busy = counts.lent + counts.resetting, .waiting = member.waiting });
}

void GroupDispatcher::configure(const table::TableImage& image, const LinkOptions& common)
{
    std::vector<Member> kept;
    for (const auto& row : image.upstreams) {
        if (row.id.group != this->group || kept.size() == mostMembers)
            continue;
        auto options = common;
        options.address = row.address;
        auto* known = this->findMember(row.id.name);
        const bool isSame = known && known->pool && isSameTarget(known->pool->linkOptions(), options);
        kept.push_back({ .row = row, .pool = isSame ? std::move(known->pool) : this->makePool(row, options) });
    }
    for (const auto& member : this->members) {
        if (member.pool)
            member.pool->retire();
    }
    this->members = std::move(kept);
    this->refresh();
}

void GroupDispatcher::refresh()
{
    const auto* view = this->environment.groups.view(this->group);
    if (view && view->term != this->term) {
        this->term = view->term;
        for (const auto& member : this->members)
            member.pool->noteTerm(this->term, view->primary == member.row.id.name);
    }
    if (view && view->primary && *view->primary != this->primary) {
        const auto* former = this->findMember(this->primary);
        const auto* next = this->findMember(*view->primary);
        if (former && next)
            next->pool->expect(former->pool->recentPeak());
        this->primary = *view->primary;
    }
    this->noteReach(view);
    this->demand();
    this->pump();
}

void GroupDispatcher::noteReach(const group::GroupView* view)
{
    if (!view)
        return;
    for (const auto& upstream : view->upstreams) {
        if (const auto* member = this->findMember(upstream.id.name))
            member->pool->noteReach(upstream.reachability);
    }
}

GroupDispatcher::Lane& GroupDispatcher::laneOf(const WaitingWork& work) noexcept
{
    return work.work.need == Need::Primary ? this->writes : this->reads;
}

routing::RouteDecision GroupDispatcher::decide(const WaitingWork& work)
{
    this->candidateCount = 0;
    const auto* view = this->environment.groups.view(this->group);
    const auto now = this->environment.loop.now();
    routing::RouteContext context { .zone = this->environment.zone, .now = now };
    if (!view)
        return {};
    context.term = view->term;
    for (const auto& upstream : view->upstreams) {
        const auto* member = this->findMember(upstream.id.name);
        if (!member || this->candidateCount == mostMembers)
            continue;
        if (view->primary == upstream.id.name)
            context.primary = this->candidateCount;
        const auto& counts = member->pool->counts();
        this->candidates[this->candidateCount++] = {
            .view = &upstream,
            .weight = member->row.weight,
            .idle = counts.idle,
            .busy = counts.held() - counts.idle,
            .connectionLimit = this->allowanceOf(*member),
            .isBackingOff = member->pool->isFailing(),
        };
    }
    const routing::RouteRequest request { .isRead = work.work.need == Need::Read, .requiredPoint = work.work.atLeast, .maximumStaleness = work.work.maxStale, .waitTime = now - work.arrivedAt, .maximumReplicaWait = work.patience };
    return routing::chooseUpstream({ this->candidates.data(), this->candidateCount }, request, context, this->environment.random);
}

GroupDispatcher::Attempt GroupDispatcher::attempt(WaitingWork& work, bool isFirst)
{
    const auto decision = this->decide(work);
    if (isFirst || decision.action == routing::RouteAction::UseIdle)
        this->environment.metrics.countSkips(decision.skipped);
    if (decision.prewarm) {
        auto& near = *this->findMember(this->candidates[*decision.prewarm].view->id.name)->pool;
        near.expect(near.counts().lent + 1);
    }
    if (decision.action == routing::RouteAction::UseIdle) {
        this->grantFrom(work, *this->environment.groups.view(this->group), *this->candidates[decision.candidate].view);
        return Attempt::Granted;
    }
    this->isLagging = this->isLagging || decision.isLagging;
    this->choose(decision, work.work.need == Need::Read);
    // Work that the data keeps waiting does not hold up what needs less.
    const auto skips = [&](routing::SkipReason reason) { return decision.skipped[static_cast<std::size_t>(reason)]; };
    const bool isHeldByData = skips(routing::SkipReason::Lag) + skips(routing::SkipReason::Stale) + skips(routing::SkipReason::UnknownFreshness) > 0;
    return isHeldByData ? Attempt::Lagging : Attempt::Blocked;
}

void GroupDispatcher::choose(const routing::RouteDecision& decision, bool isRead)
{
    if (!isRead)
        return; // all waiting writes count for the primary
    if (decision.action == routing::RouteAction::OpenConnection) {
        this->findMember(this->candidates[decision.candidate].view->id.name)->isChosen = true;
        return;
    }
    if (decision.skipped[static_cast<std::size_t>(routing::SkipReason::NoConnection)] == 0)
        return;
    for (auto& member : this->members)
        member.isChosen = member.isChosen || member.row.id.name != this->primary;
}

void GroupDispatcher::grantFrom(WaitingWork& work, const group::GroupView& view, const group::UpstreamView& upstream)
{
    const bool isPrimary = view.primary == upstream.id.name;
    const bool isRead = work.work.need == Need::Read;
    this->environment.metrics.countGrant(kindOf(work, isPrimary));
    Assignment assignment {
        .lease = this->findMember(upstream.id.name)->pool->lend(isRead ? Use::SureReads : Use::Any),
        .upstream = upstream.id,
        .term = view.term,
        .primary = isPrimary,
    };
    if (isRead)
        assignment.point = group::LogPoint { .term = upstream.status.last.term, .position = upstream.status.applied };
    std::exchange(work.grant, nullptr)(std::move(assignment));
}

void GroupDispatcher::pumpLane(Lane& lane)
{
    int laggingLeft = mostLaggingScanned;
    for (auto entry = lane.entries.begin(); entry != lane.entries.end() && laggingLeft > 0;) {
        const auto work = *entry;
        const auto here = entry++;
        if (!work->grant) {
            this->remove(lane, here, false);
            continue;
        }
        const auto outcome = this->attempt(*work, false);
        if (outcome == Attempt::Granted)
            this->remove(lane, here, true);
        else if (outcome == Attempt::Blocked)
            return;
        else
            --laggingLeft;
    }
}

void GroupDispatcher::pumpControls()
{
    for (const auto& task : std::vector(this->controls.begin(), this->controls.end())) {
        auto* member = task->isWaiting() ? this->findMember(task->upstreamName()) : nullptr;
        if (member && member->pool->counts().idle > 0)
            task->runOn(member->pool->lend(Use::SureReads));
    }
}

void GroupDispatcher::pump()
{
    if (!this->controls.empty())
        this->pumpControls();
    if (!this->isWaiting() && !this->hasDemand)
        return;
    this->isLagging = false;
    this->pumpLane(this->writes);
    this->pumpLane(this->reads);
    this->demand();
}

void GroupDispatcher::noteAvailable()
{
    const bool isNeeded = this->isWaiting() || this->hasDemand || !this->controls.empty();
    if (!isNeeded || std::exchange(this->isPumpPosted, true))
        return;
    this->environment.loop.post([this, living = std::weak_ptr(this->alive)] {
        if (!living.lock())
            return;
        this->isPumpPosted = false;
        this->pump();
    });
}

std::uint32_t GroupDispatcher::countWaiting(const Member& member) const
{
    const auto readsWaiting = static_cast<std::uint32_t>(this->reads.entries.size());
    const bool isPrimary = member.row.id.name == this->primary;
    auto waiting = isPrimary ? static_cast<std::uint32_t>(this->writes.entries.size()) : 0;
    if (member.isChosen)
        waiting += isPrimary ? 1 : std::max(readsWaiting, 1U);
    for (const auto& task : this->controls)
        waiting += task->isWaiting() && task->upstreamName() == member.row.id.name ? 1 : 0;
    return waiting;
}

void GroupDispatcher::demand()
{
    this->hasDemand = false;
    for (auto& member : this->members) {
        const auto waiting = this->countWaiting(member);
        member.isChosen = false;
        this->hasDemand = this->hasDemand || waiting > 0;
        const bool isChanged = std::exchange(member.waiting, waiting) != waiting;
        member.pool->adjust(this->allowanceOf(member), waiting);
        if (isChanged)
            this->reportUse(member);
    }
}

void GroupDispatcher::pollLagging()
{
    for (auto& member : this->members) {
        if (member.isPolled || member.row.id.name == this->primary || member.pool->isFailing())
            continue;
        member.isPolled = true;
        this->runControl(member.row.id.name, "", this->environment.loop.now() + statusTimeout, [this, name = member.row.id.name, living = std::weak_ptr(this->alive)](const auto&) {
            if (!living.lock())
                return;
            if (auto* polled = this->findMember(name))
                polled->isPolled = false;
            this->noteAvailable();
        });
    }
}

void GroupDispatcher::runControl(const std::string& upstream, const std::string& query, Time deadline, ControlRunner::Done done)
{
    auto* member = this->findMember(upstream);
    if (!member) {
        this->environment.loop.post([done = std::move(done)] { done(std::nullopt); });
        return;
    }
    const auto task = std::make_shared<internal::ControlTask>(upstream, query, std::move(done));
    this->controls.push_back(task);
    task->arm(this->environment.loop, deadline, [this](auto& ended) {
        if (ended.wasSilent())
            this->environment.groups.report({ .group = this->group, .name = ended.upstreamName() }, group::Symptom::TimedOut);
        std::erase_if(this->controls, [&](const auto& held) { return held.get() == &ended; });
    });
    if (member->pool->counts().idle > 0)
        task->runOn(member->pool->lend(Use::SureReads));
    else
        this->demand();
}

}

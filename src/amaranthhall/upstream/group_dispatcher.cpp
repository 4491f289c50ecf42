#include "amaranthhall/upstream/group_dispatcher.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto statusTimeout = 500ms;
    constexpr auto retryAfterFailover = 1s;
    constexpr int patienceParts = 4; // a read waits a quarter of its time for a replica
    constexpr int mostLaggingScanned = 64;

    std::chrono::milliseconds toMilliseconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(duration);
    }

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

    std::string_view describe(admission::ShedReason reason)
    {
        switch (reason) {
        case admission::ShedReason::QueueFull:
            return "not run: the queue of the service is full";
        case admission::ShedReason::GroupShareFull:
            return "not run: too many statements wait for this instance";
        case admission::ShedReason::TooSlow:
            break;
        }
        return "not run: it could not be served in time at the present rate";
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
        .counted = [this, name = row.id.name](const auto&) {
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
    this->environment.shares->reportUse(member.row.id, { .open = counts.total(), .busy = counts.lent + counts.resetting, .waiting = member.waiting });
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
            member.pool->noteTerm(this->term);
    }
    if (view && view->primary && *view->primary != this->primary) {
        const auto* former = this->findMember(this->primary);
        const auto* next = this->findMember(*view->primary);
        if (former && next)
            next->pool->expect(former->pool->recentPeak());
        this->primary = *view->primary;
    }
    this->demand();
    this->pump();
}

GroupDispatcher::Lane& GroupDispatcher::laneOf(const WaitingWork& work) noexcept
{
    return work.work.need == Need::Primary ? this->writes : this->reads;
}

void GroupDispatcher::add(const Work& work)
{
    work->patience = (work->work.deadline - work->arrivedAt) / patienceParts;
    auto& lane = this->laneOf(*work);
    const bool needsBarrier = work->work.barrier && work->work.need == Need::Read;
    const bool isFree = lane.entries.empty() && !needsBarrier;
    if (isFree && this->attempt(*work, true) == Attempt::Granted)
        return;
    const auto now = this->environment.loop.now();
    const auto shed = admission::admit(lane.state,
        { .now = now,
            .deadline = work->work.deadline,
            .serviceWaiting = this->service->waiting,
            .groupWaiting = static_cast<std::uint32_t>(this->waitingReads + this->waitingWrites),
            .serviceLimit = this->service->limit,
            .groups = this->service->groups });
    if (shed) {
        this->environment.metrics.countShed(shed->reason);
        this->refuse(*work, { .sqlstate = "53300", .message = std::string(describe(shed->reason)), .retryAfter = toMilliseconds(shed->retryAfter) });
        return;
    }
    ++this->service->waiting;
    ++(work->work.need == Need::Primary ? this->waitingWrites : this->waitingReads);
    if (needsBarrier) {
        this->barriers.push_back(work);
        this->awaitBarrier(work);
        return;
    }
    this->enqueue(work);
    if (this->isLagging)
        this->pollLagging();
    this->demand();
}

void GroupDispatcher::enqueue(const Work& work)
{
    auto& lane = this->laneOf(*work);
    lane.entries.push_back(work);
    ++lane.state.waiting;
}

void GroupDispatcher::awaitBarrier(const Work& work)
{
    this->pulse.join([this, work](std::span<const PulseAnswer> answers) {
        if (!work->grant)
            return true;
        const auto point = proveBarrier(answers);
        if (!point)
            return false;
        auto& least = work->work.atLeast;
        least = least ? std::max(*least, *point) : *point;
        if (this->barriers.remove(work) > 0)
            this->enqueue(work);
        this->noteAvailable();
        return true;
    });
}

routing::Decision GroupDispatcher::decide(const WaitingWork& work)
{
    this->candidateCount = 0;
    const auto* view = this->environment.groups.view(this->group);
    const auto now = this->environment.loop.now();
    routing::Situation situation { .zone = this->environment.zone, .now = now };
    if (!view)
        return {};
    for (const auto& upstream : view->upstreams) {
        const auto* member = this->findMember(upstream.id.name);
        if (!member || this->candidateCount == mostMembers)
            continue;
        if (view->primary == upstream.id.name)
            situation.primary = this->candidateCount;
        const auto& counts = member->pool->counts();
        this->candidates[this->candidateCount++] = {
            .view = &upstream,
            .weight = member->row.weight,
            .idle = counts.idle,
            .busy = counts.total() - counts.idle,
            .allowance = this->allowanceOf(*member),
            .isFailing = member->pool->isFailing(),
        };
    }
    const routing::Work need { .isRead = work.work.need == Need::Read, .atLeast = work.work.atLeast, .maxStale = work.work.maxStale, .waited = now - work.arrivedAt, .patience = work.patience };
    return routing::chooseUpstream({ this->candidates.data(), this->candidateCount }, need, situation, this->environment.random);
}

GroupDispatcher::Attempt GroupDispatcher::attempt(WaitingWork& work, bool isFirst)
{
    const auto decision = this->decide(work);
    if (isFirst || decision.step == routing::Step::Serve)
        this->environment.metrics.countSkips(decision.skipped);
    if (decision.step == routing::Step::Serve) {
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

void GroupDispatcher::choose(const routing::Decision& decision, bool isRead)
{
    if (!isRead)
        return; // all waiting writes count for the primary
    if (decision.step == routing::Step::Open) {
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

void GroupDispatcher::refuse(WaitingWork& work, Refusal refusal)
{
    if (const auto grant = std::exchange(work.grant, nullptr))
        grant(tl::unexpected(std::move(refusal)));
}

void GroupDispatcher::remove(Lane& lane, std::list<Work>::iterator entry, bool isGranted)
{
    lane.entries.erase(entry);
    --lane.state.waiting;
    --this->service->waiting;
    --(&lane == &this->writes ? this->waitingWrites : this->waitingReads);
    if (isGranted)
        admission::noteGrant(lane.state, this->environment.loop.now());
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

void GroupDispatcher::expire(Lane& lane, Time now)
{
    for (auto entry = lane.entries.begin(); entry != lane.entries.end();) {
        const auto work = *entry;
        const auto here = entry++;
        if (work->grant && now < work->work.deadline)
            continue;
        this->remove(lane, here, false);
        if (!work->grant)
            continue;
        this->environment.metrics.countTimeout();
        this->refuse(*work, this->explainTimeout(*work));
    }
}

void GroupDispatcher::tick()
{
    const auto now = this->environment.loop.now();
    for (auto entry = this->barriers.begin(); entry != this->barriers.end();) {
        const auto here = entry++;
        if ((*here)->grant && now < (*here)->work.deadline)
            continue;
        this->enqueue(*here);
        this->barriers.erase(here);
    }
    this->expire(this->writes, now);
    this->expire(this->reads, now);
    this->pump();
    if (this->isLagging)
        this->pollLagging();
}

Refusal GroupDispatcher::explainTimeout(const WaitingWork& work)
{
    const auto* view = this->environment.groups.view(this->group);
    const auto* primaryView = view && view->primary ? group::findUpstream(*view, *view->primary) : nullptr;
    const bool isUp = primaryView && primaryView->reach != group::Reach::Down && !primaryView->status.leaving;
    const auto name = group::formatId(this->group);
    if (!isUp)
        return { .sqlstate = "57P03", .message = "not run: no primary of " + name + " is reachable", .retryAfter = retryAfterFailover };
    const auto* member = this->findMember(*view->primary);
    if (member && !member->pool->connectError().fields.empty()) {
        const auto& error = member->pool->connectError();
        const bool isFull = error.sqlstate() == "53300";
        return { .sqlstate = isFull ? "53300" : "57P03", .message = "not run: " + std::string(error.message()), .retryAfter = retryAfterFailover };
    }
    const auto wait = admission::estimateWait(this->laneOf(work).state, this->environment.loop.now()).value_or(retryAfterFailover);
    return { .sqlstate = "53300", .message = "not run: no connection to " + name + " became free in time", .retryAfter = toMilliseconds(wait) };
}

void GroupDispatcher::refuseAll(const Refusal& refusal)
{
    while (!this->barriers.empty()) {
        this->enqueue(this->barriers.front());
        this->barriers.pop_front();
    }
    for (auto* lane : { &this->writes, &this->reads }) {
        while (!lane->entries.empty()) {
            const auto work = lane->entries.front();
            this->remove(*lane, lane->entries.begin(), false);
            this->refuse(*work, refusal);
        }
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
            this->environment.groups.report({ .group = this->group, .name = ended.upstreamName() }, group::Symptom::Silent);
        std::erase_if(this->controls, [&](const auto& held) { return held.get() == &ended; });
    });
    if (member->pool->counts().idle > 0)
        task->runOn(member->pool->lend(Use::SureReads));
    else
        this->demand();
}

}

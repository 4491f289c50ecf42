#include "amaranthhall/upstream/group_dispatcher.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr auto retryAfterFailover = 1s;
    constexpr int patienceParts = 4; // a read waits a quarter of its time for a replica

    std::chrono::milliseconds toMilliseconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(duration);
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

void GroupDispatcher::add(const Work& work)
{
    work->patience = (work->work.deadline - work->arrivedAt) / patienceParts;
    auto& lane = this->laneOf(*work);
    const bool needsBarrier = work->work.barrier;
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
    const bool isUp = primaryView && primaryView->reachability != group::Reachability::Down && !primaryView->status.isDraining;
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

}

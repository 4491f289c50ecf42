#include "amaranthhall/admission/wait_queue.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::admission {

namespace {

    using namespace std::chrono_literals;

    constexpr double minimumClassShare = 0.06; // of the work granted in both lanes, for each class unless all have the same priority and target; at least 5 % reaches its callers
    constexpr double minimumLateShare = 0.02; // late answers have a fraction of the value
    constexpr int lateMargin = 2; // a late statement waits only if it can be served in half of the time it has, as more urgent ones may arrive
    constexpr double maximumCredit = 0.25; // seconds of work; limits what a class may claim at once after a wait
    constexpr double minimumWork = 0.001; // seconds; a statement never counts as free
    constexpr double speedDecay = 1 - 1.0 / 32; // the speed is averaged over about 32 grants, as single statements take up to seven times the average
    constexpr std::uint32_t minimumSamples = 8;
    constexpr Duration speedValidity = 5s; // an older speed says nothing about the present
    constexpr double longestSample = 1; // seconds; a longer pause is a stall, also while the speed is unknown
    constexpr int maximumSampleGrowth = 4; // limits how far one stall, as during a change of primary, lowers the speed
    constexpr Duration burstTime = 3s;
    constexpr Duration demandValidity = 1s; // a class without statements for this long gets no credit
    constexpr Duration targetValidity = 5s; // a class without statements for this long doesn't defer the others of its priority
    constexpr Duration minimumRetryAfter = 100ms;
    constexpr double overuseFactor = 3; // an organisation may send this multiple of its usual load before its statements are deferred
    constexpr Duration usageBurst = 500ms; // time for which it may exceed that
    constexpr int burstStatements = 4; // an organisation with a small load may always send this many at once
    constexpr Duration minimumUsageAge = 5s; // the usual load is unknown before
    constexpr Duration maximumPenalty = 5s;
    constexpr std::size_t maximumUsages = 1024; // organisations per class, beyond which idle ones are forgotten
    constexpr Duration usageIdleTimeout = 300s;
    constexpr Duration pruneInterval = 60s;

    double seconds(Duration span) noexcept
    {
        return std::chrono::duration<double>(span).count();
    }

    Duration fromSeconds(double span) noexcept
    {
        constexpr double longest = 3600; // keeps the conversion within range
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(span, longest)));
    }

    double workOf(const WaitingStatement& statement) noexcept
    {
        return std::max(minimumWork, seconds(statement.work));
    }

    Lane laneFor(const WaitingStatement& statement) noexcept
    {
        return statement.needsLeader ? Lane::Leader : Lane::Any;
    }

    std::size_t priorityIndexOf(std::size_t classIndex) noexcept
    {
        return classIndex % StatementClass::priorityCount;
    }

    /// Returns which part of a group is ordered before a key, taking the keys as evenly spread.
    template <typename Group, typename Key>
    double fractionBefore(const Group& group, const Key& key) noexcept
    {
        if (group.all.empty() || key < *group.all.begin())
            return 0;
        const auto first = group.all.begin()->time;
        const auto last = group.all.rbegin()->time;
        if (key.time >= last)
            return 1;
        return seconds(key.time - first) / seconds(last - first);
    }

}

tl::expected<void, Shed> WaitQueue::push(const WaitingStatement& statement, Time now)
{
    constexpr std::size_t laneCount = 2;
    this->lanes.resize(laneCount);
    this->usages.resize(ServiceTimes::classCount);
    const auto laneId = laneFor(statement);
    auto& lane = this->laneOf(laneId);
    const auto classIndex = indexOf(statement.kind);
    auto& state = lane.classes[classIndex];
    if (statement.attempt == 0 && !statement.isProbe) {
        constexpr double averagingWeight = 1.0 / 16;
        const auto latency = seconds(std::max(Duration::zero(), statement.target - now));
        state.targetLatency += state.targetLatency > 0 ? (latency - state.targetLatency) * averagingWeight : latency;
        state.lastPushedAt = now;
        state.lastPriority = statement.priority;
        state.demand.add(workOf(statement), now);
        state.keepsShare = this->hasOther(true, statement, now) || this->hasOther(false, statement, now) || deferral(lane, classIndex, now) > 0;
    }
    // A grant is recorded only while statements wait.
    if (statement.attempt > 0 && lane.servedAt)
        this->takeBackGrant(lane, state, workOf(statement));
    const auto key = this->keyFor(statement, now);
    this->noteUsage(statement, now);
    auto latestStart = statement.target - statement.expectedServiceTime;
    // Queueing at the upstreams alone makes neither the most urgent statements late nor others on arrival: the latency may have fallen by the time they are sent.
    if (latestStart < now || !this->hasOther(true, statement, now))
        latestStart = statement.target - statement.work;
    bool isLate = now > latestStart;
    // While connections are free, nothing is known to wait; and a statement with none ahead of it shows whether the speed has recovered.
    const bool mustWait = lane.servedAt && lane.count > 0 && !statement.isProbe;
    if (const auto wait = mustWait ? this->estimateWait(statement, key, isLate, now) : std::nullopt) {
        auto expected = *wait;
        // The wait of less urgent statements grows with bursts of more urgent ones, so it needs a margin.
        const auto margin = this->hasOther(true, statement, now) ? expected / 2 : Duration::zero();
        if (!isLate && now + expected + margin > latestStart) {
            isLate = true;
            expected = this->estimateWait(statement, key, isLate, now).value_or(expected);
        }
        // A statement that is held and then times out is worse than one refused at once, so those that will be late need some margin.
        if (isLate)
            expected *= lateMargin;
        if (now + expected + statement.expectedServiceTime > (isLate ? statement.deadline : statement.target))
            return tl::unexpected(Shed { .reason = ShedReason::TooSlow, .retryAfter = std::max(minimumRetryAfter, *wait) });
    }
    if (!statement.isProbe && this->isFullFor(statement, isLate))
        return tl::unexpected(Shed { .reason = ShedReason::QueueFull, .retryAfter = minimumRetryAfter });
    const auto work = workOf(statement);
    if (!isLate && !statement.isProbe)
        state.arrivals.add(work, now);
    const auto flow = this->flows.try_emplace(std::string(statement.flow)).first;
    const auto organisation = this->waitingByOrganisation.try_emplace(std::string(statement.organisation), 0).first;
    ++flow->second.count;
    ++organisation->second;
    ++lane.count;
    const Entry entry { .lane = laneId, .classIndex = classIndex, .isLate = isLate, .key = key, .latestStart = latestStart, .deadline = statement.deadline, .work = work, .flow = flow, .organisation = organisation };
    this->entries.emplace(statement.id, entry);
    this->insert(entry);
    return {};
}

/// Returns whether statements of another priority that is more urgent, or one that is less, have arrived lately.
bool WaitQueue::hasOther(bool isMoreUrgent, const WaitingStatement& statement, Time now) const noexcept
{
    const auto isOther = [&](const ClassState& state) {
        const bool isRecent = state.targetLatency > 0 && now - state.lastPushedAt < targetValidity;
        return isRecent && (isMoreUrgent ? state.lastPriority < statement.priority : state.lastPriority > statement.priority);
    };
    return std::any_of(this->lanes.begin(), this->lanes.end(), [&](const auto& lane) { return std::any_of(lane.classes.begin(), lane.classes.end(), isOther); });
}

/// Returns whether there is no room: statements that will be late only get half of the queue, and the last eighth is left to the most urgent.
bool WaitQueue::isFullFor(const WaitingStatement& statement, bool isLate) const noexcept
{
    if (isLate && this->lateCount >= this->limit / 2)
        return true;
    const auto reserve = statement.priority > 0 ? this->limit / 8 : 0;
    return this->entries.size() + reserve >= this->limit;
}

/// Returns the shortest target latency of the classes with the same priority, in seconds; 0 if unknown.
double WaitQueue::shortestTarget(const LaneState& lane, std::size_t classIndex, Time now) noexcept
{
    double shortest = lane.classes[classIndex].targetLatency;
    for (std::size_t i = priorityIndexOf(classIndex); i < lane.classes.size(); i += StatementClass::priorityCount) {
        const auto& other = lane.classes[i];
        if (other.targetLatency > 0 && now - other.lastPushedAt < targetValidity)
            shortest = std::min(shortest, other.targetLatency);
    }
    return shortest;
}

/// Returns by how much a class is moved back because its target is a multiple of the shortest one of its priority, in seconds.
double WaitQueue::deferral(const LaneState& lane, std::size_t classIndex, Time now) noexcept
{
    constexpr double tolerance = 1.1; // targets that differ by less are served in order of time
    const auto own = lane.classes[classIndex].targetLatency;
    const auto shortest = shortestTarget(lane, classIndex, now);
    const auto multiple = shortest > 0 ? own / shortest : 1;
    return multiple > tolerance ? (multiple - 1) * own : 0;
}

WaitQueue::Key WaitQueue::keyFor(const WaitingStatement& statement, Time now) const noexcept
{
    const auto& lane = this->laneOf(laneFor(statement));
    const auto classIndex = indexOf(statement.kind);
    auto time = statement.target;
    if (statement.attempt > 0)
        time = std::max(time, now + fromSeconds(lane.classes[classIndex].targetLatency));
    time += fromSeconds(deferral(lane, classIndex, now)) + this->penaltyFor(statement, now);
    return { .priority = statement.priority, .time = time, .id = statement.id };
}

/// Returns the work per second that an organisation may send before its statements are deferred.
double WaitQueue::ClassUsage::allowance(const Usage& usage, Time now) const noexcept
{
    const auto evenShare = this->total.perSecond(now) / static_cast<double>(std::max<std::size_t>(1, this->byOrganisation.size()));
    return overuseFactor * std::max(usage.usual.perSecond(now), evenShare);
}

Duration WaitQueue::penaltyFor(const WaitingStatement& statement, Time now) const noexcept
{
    const auto& usage = this->usages[indexOf(statement.kind)];
    const auto found = usage.byOrganisation.find(statement.organisation);
    const bool isKnown = found != usage.byOrganisation.end() && usage.byOrganisation.size() > 1 && usage.total.age(now) >= minimumUsageAge;
    if (!isKnown || statement.organisation.empty())
        return Duration::zero();
    const auto burst = std::max(usageBurst, fromSeconds(burstStatements * workOf(statement) / usage.allowance(found->second, now)));
    return std::clamp<Duration>(found->second.virtualTime - now - burst, Duration::zero(), maximumPenalty);
}

void WaitQueue::noteUsage(const WaitingStatement& statement, Time now)
{
    if (statement.organisation.empty() || statement.attempt > 0)
        return;
    auto& usage = this->usages[indexOf(statement.kind)];
    if (usage.byOrganisation.size() > maximumUsages && now - usage.prunedAt > pruneInterval) {
        std::erase_if(usage.byOrganisation, [now](const auto& item) { return now - item.second.usual.lastAddedAt() > usageIdleTimeout; });
        usage.prunedAt = now;
    }
    auto found = usage.byOrganisation.find(statement.organisation);
    if (found == usage.byOrganisation.end())
        found = usage.byOrganisation.emplace(statement.organisation, Usage {}).first;
    const auto work = workOf(statement);
    usage.total.add(work, now);
    found->second.usual.add(work, now);
    const auto used = fromSeconds(work / usage.allowance(found->second, now));
    found->second.virtualTime = std::min(std::max(found->second.virtualTime, now) + used, now + usageBurst + maximumPenalty);
}

std::optional<double> WaitQueue::speedOf(const LaneState& lane, Time now) const noexcept
{
    const bool isKnown = lane.speed.samples >= minimumSamples && now - lane.speed.lastSampleAt <= speedValidity && lane.speed.time > 0;
    return isKnown ? std::optional(lane.speed.work / lane.speed.time) : std::nullopt;
}

std::optional<Duration> WaitQueue::estimateWait(const WaitingStatement& statement, bool isLate, Time now) const
{
    return this->lanes.empty() ? std::nullopt : this->estimateWait(statement, this->keyFor(statement, now), isLate, now);
}

/**
 * Work that waits before the key, divided by the speed that more urgent arrivals leave. Arrivals of the same priority overtake only as long as they
 * are ordered before the key, which depends on the difference of the deferred targets.
 */
std::optional<Duration> WaitQueue::estimateWait(const WaitingStatement& statement, const Key& key, bool isLate, Time now) const
{
    const auto& lane = this->laneOf(laneFor(statement));
    const auto speed = this->speedOf(lane, now);
    if (!speed)
        return std::nullopt;
    struct Overtaking {
        double rate { 0 };
        double period { 0 };
    };
    std::array<Overtaking, ServiceTimes::classCount> overtaking {};
    const auto classIndex = indexOf(statement.kind);
    const auto remaining = seconds(key.time - now);
    // What can wait longer than a burst lasts is served by what is left after it.
    const bool outlastsBurst = isLate && statement.deadline - now >= burstTime;
    double ahead = 0;
    double urgentRate = 0;
    for (std::size_t i = 0; i < lane.classes.size(); ++i) {
        const auto& other = lane.classes[i];
        const bool isMoreUrgent = priorityIndexOf(i) < priorityIndexOf(classIndex);
        const bool isEqual = priorityIndexOf(i) == priorityIndexOf(classIndex);
        if (isLate || isMoreUrgent) {
            ahead += other.onTime.work;
            urgentRate += (outlastsBurst ? other.demand : other.arrivals).perSecond(now);
        } else if (isEqual) {
            ahead += other.onTime.work * fractionBefore(other.onTime, key);
            const auto period = remaining - other.targetLatency - deferral(lane, i, now);
            if (i != classIndex && period > 0)
                overtaking[i] = { .rate = other.arrivals.perSecond(now), .period = period };
        }
        if (isLate && isMoreUrgent)
            ahead += other.late.work;
        if (isLate && isEqual)
            ahead += other.late.work * fractionBefore(other.late, key);
    }
    if (ahead <= 0)
        return Duration::zero();
    const auto interval = lane.speed.time / lane.speed.grants;
    const auto& own = lane.classes[classIndex];
    const bool isWithinShare = !isLate && own.keepsShare && own.onTime.work + workOf(statement) <= own.credit;
    if (isWithinShare)
        return fromSeconds(interval);
    const auto share = isLate ? minimumLateShare : minimumClassShare;
    const auto available = std::max(*speed * share, *speed - urgentRate);
    double wait = ahead / available;
    constexpr int iterations = 3;
    for (int i = 0; i < iterations; ++i) {
        double overtakingWork = 0;
        for (const auto& other : overtaking)
            overtakingWork += other.rate * std::min(wait, other.period);
        wait = (ahead + overtakingWork) / available;
    }
    return fromSeconds(wait + interval);
}

std::optional<WaitQueue::Next> WaitQueue::next(Time now)
{
    if (this->entries.empty())
        return std::nullopt;
    const auto any = this->headOf(Lane::Any, now);
    const auto leader = this->headOf(Lane::Leader, now);
    if (!any || !leader)
        return this->toNext(any ? any : leader, now);
    return this->toNext(leader->rank() < any->rank() ? leader : any, now);
}

std::optional<WaitQueue::Next> WaitQueue::next(Time now, Lane lane)
{
    return this->entries.empty() ? std::nullopt : this->toNext(this->headOf(lane, now), now);
}

/// A statement that has less than half of its expected service time left is not worth serving.
std::optional<WaitQueue::Next> WaitQueue::toNext(const std::optional<Head>& head, Time now) const
{
    if (!head)
        return std::nullopt;
    const auto& entry = this->entries.at(head->key.id);
    const bool hasWaited = this->laneOf(entry.lane).servedAt.has_value();
    return Next { .id = head->key.id, .willTimeOut = hasWaited && now + fromSeconds(entry.work / 2) > entry.deadline };
}

std::optional<WaitQueue::Key> WaitQueue::headOf(Lane lane, const Group& group) const noexcept
{
    const auto found = std::find_if(group.heads.begin(), group.heads.end(), [&](const auto& head) { return head.second->blockedIn[static_cast<std::size_t>(lane)] != this->pass; });
    return found == group.heads.end() ? std::nullopt : std::optional(found->first);
}

std::optional<WaitQueue::Head> WaitQueue::headOf(Lane laneId, Time now)
{
    auto& lane = this->laneOf(laneId);
    if (lane.count == 0 || lane.blockedIn == this->pass)
        return std::nullopt;
    std::optional<Head> best;
    std::optional<Key> firstLate;
    const auto consider = [&best](const Head& head) {
        if (!best || head.rank() < best->rank())
            best = head;
    };
    for (auto& state : lane.classes) {
        if (state.onTime.all.empty() && state.late.all.empty())
            continue;
        const auto onTime = this->takeLate(laneId, state, now);
        const auto late = this->headOf(laneId, state.late);
        if (late && (!firstLate || *late < *firstLate))
            firstLate = late;
        if (!onTime && !late)
            continue;
        const auto& key = onTime ? *onTime : *late;
        const bool hasShare = state.keepsShare && state.credit >= std::min(maximumCredit, this->entries.at(key.id).work);
        consider({ .key = key, .isLate = !onTime, .hasShare = hasShare });
    }
    if (firstLate)
        consider({ .key = *firstLate, .isLate = true, .hasShare = lane.lateCredit >= std::min(maximumCredit, this->entries.at(firstLate->id).work) });
    return best;
}

/// Moves heads that can no longer be on time to the late ones; returns the first that can.
std::optional<WaitQueue::Key> WaitQueue::takeLate(Lane lane, const ClassState& state, Time now)
{
    while (const auto key = this->headOf(lane, state.onTime)) {
        auto& entry = this->entries.at(key->id);
        if (now <= entry.latestStart)
            return key;
        this->extract(entry);
        entry.isLate = true;
        this->insert(entry);
    }
    return std::nullopt;
}

void WaitQueue::block(std::uint64_t id) noexcept
{
    const auto& entry = this->entries.find(id)->second;
    entry.flow->second.blockedIn[static_cast<std::size_t>(entry.lane)] = this->pass;
}

void WaitQueue::block(Lane lane) noexcept
{
    if (!this->lanes.empty())
        this->laneOf(lane).blockedIn = this->pass;
}

void WaitQueue::noteSaturated(Lane lane, Time now) noexcept
{
    if (this->lanes.empty())
        return;
    auto& state = this->laneOf(lane);
    if (!state.servedAt && state.count > 0)
        state.servedAt = now;
}

void WaitQueue::grant(std::uint64_t id, Time now)
{
    const auto found = this->entries.find(id);
    this->noteGrant(found->second, now);
    this->erase(found);
}

void WaitQueue::remove(std::uint64_t id) noexcept
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end())
        this->erase(found);
}

/// Takes the grant of an earlier attempt out of the speed and the shares, as an upstream refused it without running it.
void WaitQueue::takeBackGrant(LaneState& lane, ClassState& state, double work) noexcept
{
    lane.speed.work = std::max(0.5 * lane.speed.work, lane.speed.work - work);
    state.credit = std::min(maximumCredit, state.credit + work);
    this->addCredit(-work, lane.servedAt.value_or(Time()));
}

/// Gives each class that asks its share of what was granted.
void WaitQueue::addCredit(double work, Time now) noexcept
{
    // Statements of both lanes use the same slots, so what is granted in one gives credit in both. A class gets it as long as it asks: what it
    // has waiting is kept short by refusals.
    for (auto& lane : this->lanes) {
        lane.lateCredit = std::min(maximumCredit, lane.lateCredit + minimumLateShare * work);
        for (auto& state : lane.classes) {
            const bool isWaiting = !state.onTime.all.empty() || !state.late.all.empty();
            if (isWaiting || now - state.lastPushedAt < demandValidity)
                state.credit = std::min(maximumCredit, state.credit + minimumClassShare * work);
        }
    }
}

void WaitQueue::noteGrant(const Entry& entry, Time now) noexcept
{
    auto& lane = this->laneOf(entry.lane);
    if (!lane.servedAt)
        return;
    auto& speed = lane.speed;
    if (now - speed.lastSampleAt > speedValidity)
        speed = {};
    auto sample = std::min(longestSample, seconds(now - *lane.servedAt));
    if (speed.samples >= minimumSamples)
        sample = std::min(sample, maximumSampleGrowth * speed.time / speed.grants);
    speed.work = speed.work * speedDecay + entry.work;
    speed.time = speed.time * speedDecay + sample;
    speed.grants = speed.grants * speedDecay + 1;
    ++speed.samples;
    speed.lastSampleAt = now;
    lane.servedAt = now;
    this->addCredit(entry.work, now);
    auto& own = lane.classes[entry.classIndex];
    own.credit = std::max(-maximumCredit, own.credit - entry.work); // what it is granted in its turn counts as well
    if (entry.isLate)
        lane.lateCredit = std::max(0.0, lane.lateCredit - entry.work);
}

void WaitQueue::insert(const Entry& entry)
{
    auto& state = this->laneOf(entry.lane).classes[entry.classIndex];
    auto& group = entry.isLate ? state.late : state.onTime;
    this->lateCount += entry.isLate ? 1 : 0;
    const auto* flow = &entry.flow->second;
    auto& ofFlow = group.byFlow[flow];
    const bool isHead = ofFlow.empty() || entry.key < *ofFlow.begin();
    if (isHead && !ofFlow.empty())
        group.heads.erase(*ofFlow.begin());
    if (isHead)
        group.heads.emplace(entry.key, flow);
    ofFlow.insert(entry.key);
    group.all.insert(entry.key);
    group.work += entry.work;
}

void WaitQueue::extract(const Entry& entry) noexcept
{
    auto& state = this->laneOf(entry.lane).classes[entry.classIndex];
    auto& group = entry.isLate ? state.late : state.onTime;
    this->lateCount -= entry.isLate ? 1 : 0;
    const auto found = group.byFlow.find(&entry.flow->second);
    auto& ofFlow = found->second;
    const bool isHead = *ofFlow.begin() == entry.key;
    if (isHead)
        group.heads.erase(entry.key);
    ofFlow.erase(entry.key);
    if (ofFlow.empty())
        group.byFlow.erase(found);
    else if (isHead)
        group.heads.emplace(*ofFlow.begin(), &entry.flow->second);
    group.all.erase(entry.key);
    group.work = group.all.empty() ? 0 : group.work - entry.work;
}

void WaitQueue::erase(std::unordered_map<std::uint64_t, Entry>::iterator found) noexcept
{
    const auto entry = found->second;
    this->extract(entry);
    this->entries.erase(found);
    if (--entry.flow->second.count == 0)
        this->flows.erase(entry.flow);
    if (--entry.organisation->second == 0)
        this->waitingByOrganisation.erase(entry.organisation);
    auto& lane = this->laneOf(entry.lane);
    if (--lane.count == 0)
        lane.servedAt.reset();
}

std::size_t WaitQueue::waitingFor(std::string_view organisation) const noexcept
{
    const auto found = this->waitingByOrganisation.find(organisation);
    return found == this->waitingByOrganisation.end() ? 0 : found->second;
}

std::size_t WaitQueue::waitingInFlowOf(std::uint64_t id) const noexcept
{
    const auto found = this->entries.find(id);
    return found == this->entries.end() ? 0 : found->second.flow->second.count;
}

std::size_t WaitQueue::waitingOf(std::size_t classIndex) const noexcept
{
    std::size_t count = 0;
    for (const auto& lane : this->lanes)
        count += lane.classes[classIndex].onTime.all.size() + lane.classes[classIndex].late.all.size();
    return count;
}

std::size_t WaitQueue::waitingIn(Lane lane) const noexcept
{
    if (this->lanes.empty())
        return 0;
    const auto& state = this->laneOf(lane);
    return state.servedAt ? state.count : 0;
}

}

#include "amaranthhall/succession/succession_service.hpp"

#include "amaranthhall/engine/boot_clock.hpp"
#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::succession {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr Duration tickInterval = 50ms;
    constexpr Duration frozenGap = 400ms; // a tick this late means that the process stood still
    constexpr Duration wakingTime = 600ms; // after which silence of others is no longer one's own
    constexpr Duration answerTime = 80ms; // for replicas to tell their positions
    constexpr Duration retryPause = 100ms;
    constexpr Duration recordPause = 200ms; // between two writes of a term into a duty's row
    constexpr Duration orderPatience = 2500ms; // for an accepted order to take effect
    constexpr Duration heirPause = 150ms; // between two questions to a candidate; a promotion takes several of them
    constexpr Duration sameOrderSpan = 500ms; // news of one order differ by the bounds of the store's clock
    constexpr Duration orderLife = 5s; // news of older orders are not told
    constexpr Duration refusalMemory = 3s;
    constexpr Duration suspicionLife = 1s; // of what a peer told
    constexpr Duration supersededPatience = 30s; // for an upstream of the last term to come back, before its commits are given up
    constexpr retry::BackoffOptions fruitlessPauses { .first = 100ms, .limit = 800ms };

}

SuccessionService::SuccessionService(Parts usedParts, Options usedOptions, std::function<void()> usedNews)
    : parts(usedParts)
    , options(std::move(usedOptions))
    , newsToTell(std::move(usedNews))
    , tickedAt(usedParts.loop.now())
    , wokenAt(usedParts.loop.now())
    , eraNews { .startedAt = usedParts.loop.now() }
    , ticker(usedParts.loop.every(tickInterval, [this] { this->tick(); }))
{
}

void SuccessionService::tick()
{
    const auto now = this->parts.loop.now();
    if (now - std::exchange(this->tickedAt, now) > frozenGap) {
        logEvent(LogLevel::Warning, "daemon.woken");
        this->wokenAt = now;
    }
    this->watchEra(now);
    const auto& served = this->parts.served();
    for (auto& [service, duty] : this->duties) {
        if (!std::binary_search(served.begin(), served.end(), service))
            duty.suspicion.reset();
    }
    for (const auto& service : served) {
        auto& duty = this->duties[service];
        this->noteHolder(service, duty);
        this->holdAgain(service, duty);
        this->watch(service, duty);
        this->askOrderedHeir(service, duty);
        this->recordTerm(service, duty);
    }
}

/// Takes in that the store came back from a copy.
void SuccessionService::watchEra(Time now)
{
    const auto era = std::max(this->parts.store.era(), this->parts.fleet.newestRow().era);
    if (era == this->knownEra)
        return;
    this->knownEra = era;
    this->eraNews.since = now;
    logEvent(LogLevel::Warning, "succession.new_era", { { "era", era } });
}

/// Remembers who holds a duty, unless its row does not tell.
void SuccessionService::noteHolder(const std::string& service, Duty& duty) const
{
    const auto* row = this->parts.fleet.find(dutyKey(service));
    duty.holder = holderOf(row, this->options.self, this->knownEra).value_or(duty.holder);
}

/// Writes the row of a duty again that this daemon held when the store came back from a copy.
void SuccessionService::holdAgain(const std::string& service, Duty& duty)
{
    const auto now = this->parts.loop.now();
    const bool isIdle = duty.stage == Stage::Watching && duty.recording == 0 && now >= duty.pauseUntil;
    if (this->eraNews.since && duty.holder == Holder::Own && isIdle && !this->heldFence(service))
        this->writeHolder(service, [](const auto&) {});
}

/// Gives the other daemons of a service's group that are alive.
std::vector<std::string> SuccessionService::liveOthers(const std::string& service) const
{
    const auto now = this->parts.loop.now();
    auto others = this->parts.group(service);
    std::erase_if(others, [&](const auto& vm) { return vm == this->options.self.vm || !this->parts.peers.isLive(vm, now); });
    return others;
}

void SuccessionService::watch(const std::string& service, Duty& duty)
{
    const auto now = this->parts.loop.now();
    const auto leader = this->parts.dispatcher.leader(service);
    if (!leader || duty.stage != Stage::Watching)
        return;
    const auto situation = this->situationOf(service, *leader, duty);
    const auto cause = now - this->wokenAt < wakingTime ? Cause::None : judge(situation);
    if (cause != duty.cause) {
        logEvent(LogLevel::Warning, "succession.judged", { { "service", service }, { "upstream", *leader }, { "cause", nameOf(cause) }, { "peers", situation.peers }, { "live_peers", situation.livePeers }, { "agreeing", situation.agreeing } });
        duty.cause = cause;
        duty.causeSince = now;
    }
    if (cause == Cause::None) {
        duty.supersededSince.reset();
        duty.fruitlessAsks = 0;
    }
    if (cause == Cause::None || !this->isTimeToAct(service, duty))
        return;
    const auto fence = this->heldFence(service);
    if (fence && !duty.needsFence)
        this->askHeirs(service, *fence);
    else
        this->takeOver(service);
}

Situation SuccessionService::situationOf(const std::string& service, const std::string& leader, Duty& duty) const
{
    const auto now = this->parts.loop.now();
    Situation situation { .now = now, .peers = this->parts.group(service).size() - 1 };
    if (const auto pool = this->parts.dispatcher.pool(leader)) {
        situation.own.failingSince = pool->health().failingSince;
        situation.own.isRefusing = pool->health().isRefusing;
        situation.own.silence = pool->silence(now);
    }
    if (const auto* known = this->parts.catalog.find(leader)) {
        situation.own.missingSince = known->missingSince;
        situation.own.drainingSince = known->drainingSince;
    }
    situation.suspicion = suspect(situation.own, now);
    const bool isNews = situation.suspicion.has_value() != duty.suspicion.has_value() || duty.suspect != leader;
    duty.suspicion = situation.suspicion;
    duty.suspect = leader;
    if (isNews && duty.suspicion) {
        logEvent(LogLevel::Warning, "succession.suspected", { { "service", service }, { "upstream", leader }, { "refusing", duty.suspicion->isRefusing } });
        this->newsToTell();
    }
    const auto& proof = this->parts.dispatcher.proof(service);
    if (proof && proof->upstream == leader)
        situation.provenAt = proof->at;
    situation.livePeers = this->liveOthers(service).size();
    for (const auto& [key, told] : this->peerSuspicions) {
        if (key.first == service && told.upstream == leader && now - told.heardAt < suspicionLife)
            ++situation.agreeing;
    }
    return situation;
}

bool SuccessionService::isTimeToAct(const std::string& service, const Duty& duty) const
{
    const auto now = this->parts.loop.now();
    if (now < duty.pauseUntil)
        return false;
    if (duty.order && now - duty.order->at < orderPatience)
        return false;
    if (this->isHeldByAnother(service, duty))
        return false;
    const auto holder = this->holderName(service);
    if (holder == this->options.self.vm)
        return true;
    const auto rank = gossip::rendezvousRank(dutyKey(service), this->options.self.vm, this->liveOthers(service));
    return now - duty.causeSince >= takeoverDelay(rank, this->parts.peers.isLive(holder, now));
}

std::string SuccessionService::holderName(const std::string& service) const
{
    const auto duty = decodeDuty(this->parts.fleet.find(dutyKey(service)));
    return duty ? duty->holder.vm : std::string();
}

std::optional<store::Version> SuccessionService::heldFence(const std::string& service) const
{
    return heldVersion(this->parts.fleet.find(dutyKey(service)), this->options.self, this->knownEra);
}

/// Tells whether another daemon took the duty or ordered so lately that it may still be at it.
bool SuccessionService::isHeldByAnother(const std::string& service, const Duty& duty) const
{
    if (this->heldFence(service))
        return false;
    const auto now = this->parts.loop.now();
    if (duty.order && now - duty.order->at < dutyLease)
        return true;
    if (mayBeHeldSinceCopy(this->eraNews, duty.holder, now))
        return true;
    const auto holder = decodeDuty(this->parts.fleet.find(dutyKey(service)));
    const auto latest = this->parts.store.clock().latest(engine::bootNow());
    if (!holder || !latest)
        return false;
    return *latest - holder->takenAt < std::chrono::duration_cast<std::chrono::microseconds>(dutyLease).count();
}

/// Asks a candidate that this daemon ordered whether it leads. Its registration tells so too, but not while the store is away.
void SuccessionService::askOrderedHeir(const std::string& service, Duty& duty)
{
    const auto now = this->parts.loop.now();
    const bool isOpen = duty.order && duty.order->isOwn && !duty.order->isLeading && now - duty.order->at < orderPatience;
    if (!isOpen || now - std::max(duty.order->at, duty.heirAskedAt) < heirPause || this->parts.dispatcher.leader(service) == duty.order->candidate)
        return;
    duty.heirAskedAt = now;
    duty.heirQuestion = this->parts.dispatcher.askStatus(service, duty.order->candidate, now + heirPause, [this, service](const auto& status) { this->onHeirStatus(service, status); });
}

void SuccessionService::onHeirStatus(const std::string& service, const std::optional<engine::UpstreamStatus>& status)
{
    auto& duty = this->duties[service];
    if (!duty.order || !status || !status->isPrimary)
        return;
    duty.order->isLeading = true;
    duty.order->term = status->term;
    this->parts.dispatcher.noteTerm(service, status->term);
    this->parts.dispatcher.noteClaim(service, duty.order->candidate, duty.order->fence);
    this->newsToTell();
}

/// Gives the newest term that is known to have begun: here, or by who held the duty, perhaps on the other side of a partition.
group::Term SuccessionService::newestTerm(const std::string& service) const
{
    const auto holder = decodeDuty(this->parts.fleet.find(dutyKey(service)));
    return std::max(this->parts.dispatcher.newestTerm(service), holder ? holder->term : 0);
}

/// Writes the newest term into the row of a duty that this daemon holds, so that whoever takes it over knows of it.
void SuccessionService::recordTerm(const std::string& service, Duty& duty)
{
    const auto now = this->parts.loop.now();
    const auto fence = this->heldFence(service);
    const bool isPossible = fence && duty.stage == Stage::Watching && duty.recording == 0 && now >= duty.recordAgainAt;
    if (!isPossible)
        return;
    const auto held = decodeDuty(this->parts.fleet.find(dutyKey(service)));
    const auto term = this->parts.dispatcher.newestTerm(service);
    if (term <= held->term)
        return;
    duty.recording = term;
    auto changed = *held;
    changed.term = term;
    const store::Row put { .key = { .table = this->options.table, .key = dutyKey(service) }, .value = encodeDuty(changed), .version = *fence };
    this->parts.store.commit({ .conditions = { { .key = put.key, .version = *fence } }, .puts = { put } }, [this, service, put, term](store::StoreResult<store::Version> result) {
        auto& duty = this->duties[service];
        duty.recording = 0;
        duty.recordAgainAt = this->parts.loop.now() + recordPause;
        logEvent(LogLevel::Info, "succession.term_recorded", { { "service", service }, { "term", term }, { "outcome", result ? "written" : store::nameOf(result.error()) } });
        if (!result || result->era != put.version.era)
            return;
        auto row = put;
        row.version = *result;
        this->parts.fleet.merge({ row });
    });
}

void SuccessionService::takeOver(const std::string& service)
{
    this->writeHolder(service, [this, service](const store::Version& fence) { this->askHeirs(service, fence); });
}

/// Names this daemon as the holder of a duty, unless its row has changed since it was known.
void SuccessionService::writeHolder(const std::string& service, std::function<void(const store::Version& fence)> written)
{
    auto& duty = this->duties[service];
    const store::RowKey key { .table = this->options.table, .key = dutyKey(service) };
    const auto* row = this->parts.fleet.find(key.key);
    if (!isConditionCertain(row, this->knownEra)) {
        duty.pauseUntil = this->parts.loop.now() + retryPause;
        return;
    }
    duty.stage = Stage::TakingOver;
    const auto expected = row ? row->version : store::Version {};
    const auto takenAt = this->parts.store.clock().earliest(engine::bootNow()).value_or(0);
    store::Row put { .key = key, .value = encodeDuty({ .holder = this->options.self, .takenAt = takenAt, .era = this->knownEra, .term = this->newestTerm(service) }) };
    logEvent(LogLevel::Info, "succession.taking_over", { { "service", service }, { "expected", store::formatVersion(expected) } });
    this->parts.store.commit({ .conditions = { { .key = key, .version = expected } }, .puts = { put } }, [this, service, put, era = this->knownEra, written = std::move(written)](store::StoreResult<store::Version> result) {
        auto& taken = this->duties[service];
        taken.stage = Stage::Watching;
        // A write that was made in a later era was made under a condition that says nothing there.
        const bool isOfOtherEra = result && result->era != era;
        if (!result || isOfOtherEra) {
            logEvent(LogLevel::Warning, "succession.not_taken", { { "service", service }, { "error", isOfOtherEra ? "made in another era" : store::nameOf(result.error()) } });
            taken.pauseUntil = this->parts.loop.now() + retryPause;
            return;
        }
        taken.needsFence = false;
        auto row = put;
        row.version = *result;
        this->parts.fleet.merge({ row });
        logEvent(LogLevel::Info, "succession.taken_over", { { "service", service }, { "fence", fenceOf(*result) } });
        written(*result);
    });
}

void SuccessionService::askHeirs(const std::string& service, store::Version fence)
{
    auto& duty = this->duties[service];
    const auto now = this->parts.loop.now();
    duty.stage = Stage::Asking;
    duty.heirs.clear();
    duty.questions.clear();
    for (const auto* known : this->parts.catalog.upstreamsOf(service)) {
        const auto& id = known->entry.id;
        const auto refused = duty.refusedHeirs.find(id);
        const bool wasRefused = refused != duty.refusedHeirs.end() && now - refused->second < refusalMemory;
        const bool isMissing = known->missingSince && *known->missingSince <= now;
        if (id == duty.suspect || known->entry.draining || isMissing || wasRefused)
            continue;
        const Heir heir { .upstream = id, .isNear = known->entry.zone == this->options.zone };
        duty.questions.push_back(this->parts.dispatcher.askStatus(service, id, now + answerTime, [this, service, heir](std::optional<engine::UpstreamStatus> status) {
            if (!status)
                return;
            logEvent(LogLevel::Info, "succession.heir_answered", { { "service", service }, { "upstream", heir.upstream }, { "primary", status->isPrimary }, { "term", status->term }, { "last_entry_term", status->received.term }, { "position", status->received.position } });
            this->parts.dispatcher.noteTerm(service, status->term);
            auto& heirs = this->duties[service].heirs;
            heirs.push_back(heir);
            heirs.back().term = status->term;
            heirs.back().point = status->received;
            heirs.back().applied = status->applied.position;
        }));
    }
    duty.timer = this->parts.loop.after(answerTime, [this, service, fence] {
        this->duties[service].questions.clear();
        this->order(service, fence);
    });
}

/// Takes replicas that did not answer in time by what they last told.
void SuccessionService::addFallbackHeirs(const std::string& service, Duty& duty) const
{
    for (const auto* known : this->parts.catalog.upstreamsOf(service)) {
        const auto& name = known->entry.id;
        const auto pool = this->parts.dispatcher.pool(name);
        const bool mayLead = name != duty.suspect && !known->entry.draining;
        if (mayLead && pool && pool->logPoint() && !pool->health().failingSince)
            duty.heirs.push_back({ .upstream = name, .term = pool->logPoint()->term, .point = *pool->logPoint() });
    }
}

/// Gives the upstreams that may be ordered: those that have followed the last term, as long as one of them may come back.
std::vector<Heir> SuccessionService::eligibleHeirs(const std::string& service, Duty& duty)
{
    const auto now = this->parts.loop.now();
    const auto term = this->newestTerm(service);
    auto followers = followersOf(term, duty.heirs);
    if (!followers.empty() || duty.heirs.empty()) {
        duty.supersededSince.reset();
        return followers;
    }
    if (!duty.supersededSince) {
        duty.supersededSince = now;
        logEvent(LogLevel::Error, "succession.only_superseded", { { "service", service }, { "upstream", duty.suspect }, { "term", term }, { "answered", duty.heirs.size() } });
    }
    if (now - *duty.supersededSince < supersededPatience)
        return {};
    logEvent(LogLevel::Error, "succession.history_given_up", { { "service", service }, { "upstream", duty.suspect }, { "term", term }, { "answered", duty.heirs.size() } });
    return duty.heirs;
}

/// Waits before the upstreams are asked again, longer each time.
void SuccessionService::onNoHeir(const std::string& service, Duty& duty) const
{
    logEvent(LogLevel::Warning, "succession.no_heir", { { "service", service }, { "upstream", duty.suspect }, { "answered", duty.heirs.size() } });
    duty.stage = Stage::Watching;
    duty.pauseUntil = this->parts.loop.now() + retry::pauseAfter(fruitlessPauses, duty.fruitlessAsks++);
}

void SuccessionService::order(const std::string& service, store::Version fence)
{
    auto& duty = this->duties[service];
    if (fence.era != this->knownEra) {
        logEvent(LogLevel::Warning, "succession.fence_outdated", { { "service", service }, { "fence", fenceOf(fence) } });
        duty.stage = Stage::Watching;
        return;
    }
    if (duty.heirs.empty())
        this->addFallbackHeirs(service, duty);
    const auto heir = chooseHeir(this->eligibleHeirs(service, duty));
    if (!heir) {
        this->onNoHeir(service, duty);
        return;
    }
    duty.fruitlessAsks = 0;
    duty.stage = Stage::Ordering;
    PromotionOrder sent { .service = service, .candidate = *heir, .holder = this->options.self.vm, .fence = fenceOf(fence) };
    logEvent(LogLevel::Warning, "succession.ordering", { { "service", service }, { "upstream", duty.suspect }, { "heir", *heir }, { "fence", sent.fence }, { "asked", duty.heirs.size() }, { "cause", nameOf(duty.cause) } });
    this->parts.promoter.promote(sent, [this, service, sent, fence](OrderOutcome outcome) { this->onOrdered(service, sent, fence, outcome); });
}

void SuccessionService::onOrdered(const std::string& service, const PromotionOrder& sent, const store::Version& fence, OrderOutcome outcome)
{
    auto& duty = this->duties[service];
    const auto now = this->parts.loop.now();
    duty.stage = Stage::Watching;
    logEvent(LogLevel::Warning, "succession.ordered", { { "service", service }, { "heir", sent.candidate }, { "fence", sent.fence }, { "outcome", nameOf(outcome) } });
    switch (outcome) {
    case OrderOutcome::Accepted:
        duty.order = KnownOrder { .candidate = sent.candidate, .fence = fence, .at = now, .isOwn = true };
        this->newsToTell();
        return;
    case OrderOutcome::Refused:
        duty.refusedHeirs[sent.candidate] = now;
        duty.needsFence = true;
        duty.pauseUntil = this->parts.loop.now() + retryPause;
        return;
    case OrderOutcome::NotDone:
    case OrderOutcome::Unknown:
        duty.pauseUntil = this->parts.loop.now() + retryPause;
        return;
    }
}

void SuccessionService::fill(gossip::Digest& digest, const freshness::StoreClock& clock) const
{
    const auto now = this->parts.loop.now();
    for (const auto& [service, duty] : this->duties) {
        if (duty.suspicion)
            digest.suspicions.push_back({ .service = service, .upstream = duty.suspect, .isRefusing = duty.suspicion->isRefusing });
        if (!duty.order || now - duty.order->at > orderLife)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - duty.order->at).count();
        if (const auto at = clock.earliest(engine::bootNow() - age))
            digest.orders.push_back({ .service = service, .candidate = duty.order->candidate, .fence = duty.order->fence, .at = *at, .isLeading = duty.order->isLeading, .term = duty.order->term });
    }
}

void SuccessionService::take(const gossip::Digest& digest, const freshness::StoreClock& clock)
{
    const auto now = this->parts.loop.now();
    std::erase_if(this->peerSuspicions, [&](const auto& item) { return item.first.second == digest.vm; });
    for (const auto& suspicion : digest.suspicions)
        this->peerSuspicions[{ suspicion.service, digest.vm }] = { .upstream = suspicion.upstream, .heardAt = now };
    for (const auto& told : digest.orders) {
        this->parts.dispatcher.noteTerm(told.service, told.term);
        if (told.isLeading)
            this->parts.dispatcher.noteClaim(told.service, told.candidate, told.fence);
        auto& duty = this->duties[told.service];
        const auto boot = engine::bootNow();
        const auto local = clock.localBefore(told.at, boot);
        const auto age = std::chrono::microseconds(local ? std::max<freshness::Micros>(0, boot - *local) : 0);
        // A holder may order again under the fence that it has.
        const bool isKnown = duty.order && (duty.order->fence > told.fence || (duty.order->fence == told.fence && now - age <= duty.order->at + sameOrderSpan));
        if (isKnown) {
            if (told.isLeading && duty.order->fence == told.fence) {
                duty.order->isLeading = true;
                duty.order->term = told.term;
            }
            continue;
        }
        duty.order = KnownOrder { .candidate = told.candidate, .fence = told.fence, .at = now - age, .isLeading = told.isLeading, .term = told.term };
        logEvent(LogLevel::Info, "succession.order_heard", { { "service", told.service }, { "heir", told.candidate }, { "fence", fenceOf(told.fence) }, { "from", digest.vm } });
    }
}

}

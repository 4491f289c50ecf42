#include "amaranthhall/succession/succession_service.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
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
    constexpr Duration stalledTickThreshold = 400ms; // a longer gap between two ticks means that the process was suspended
    constexpr Duration resumeGracePeriod = 600ms; // after a resume, until observed silence can be attributed to the primary rather than to this process
    constexpr Duration statusTimeout = 80ms; // for candidates to report their log positions
    constexpr Duration renewalTimeout = 60ms; // for the store to take the row of a renewed lease
    constexpr Duration retryDelay = 100ms; // after a failed lease write or promotion request
    constexpr Duration rowWriteInterval = 200ms; // between two updates of the lease row
    constexpr Duration promotionTimeout = 2500ms; // for an accepted request to take effect
    constexpr Duration candidateQueryInterval = 150ms; // between two queries to a candidate; a promotion takes several intervals
    constexpr Duration samePromotionTolerance = 500ms; // reported times of one request differ by the error bounds of the store clock
    constexpr Duration promotionReportLifetime = 5s; // older requests are not sent to peers
    constexpr Duration refusalLifetime = 3s; // a candidate that the platform refused is not selected within this time
    constexpr Duration peerSuspicionLifetime = 1s; // of a suspicion reported by a peer
    constexpr Duration supersededTimeout = 30s; // wait for an upstream of the last term to return before its commits are abandoned
    constexpr retry::BackoffOptions failedSelectionBackoff { .first = 100ms, .limit = 800ms };

    /// Returns the outcome of writing a lease's row for logs.
    std::string_view outcomeOf(const tl::expected<store::Version, LeaseWriteFailure>& result)
    {
        return result ? "written" : result.error().reason;
    }

}

SuccessionService::SuccessionService(Parts usedParts, Options usedOptions, std::function<void()> usedRequestGossip)
    : parts(usedParts)
    , options(std::move(usedOptions))
    , requestGossip(std::move(usedRequestGossip))
    , leases({ .loop = usedParts.loop, .store = usedParts.store, .fleet = usedParts.fleet }, { .self = this->options.self, .table = this->options.table })
    , orders({ .loop = usedParts.loop, .catalog = usedParts.catalog, .store = usedParts.store, .fleet = usedParts.fleet, .leases = this->leases, .registered = usedParts.registered }, this->options.fenceCheck)
    , lastTickAt(usedParts.loop.now())
    , resumedAt(usedParts.loop.now())
    , tickTimer(usedParts.loop.every(tickInterval, [this] { this->tick(); }))
{
}

void SuccessionService::tick()
{
    const auto now = this->parts.loop.now();
    if (now - std::exchange(this->lastTickAt, now) > stalledTickThreshold) {
        logEvent(LogLevel::Warning, "daemon.woken");
        this->resumedAt = now;
    }
    this->leases.updateEra();
    const auto& served = this->parts.served();
    for (auto& [service, state] : this->serviceStates) {
        if (!std::binary_search(served.begin(), served.end(), service))
            state.suspicion.reset();
    }
    for (const auto& service : served) {
        auto& state = this->serviceStates[service];
        this->leases.observe(service);
        if (this->hasSynchronousReplicas(service)) {
            this->orders.refresh(service);
            this->orders.settle(service);
        }
        this->rewriteLease(service, state);
        this->checkPrimary(service, state);
        this->queryRequestedCandidate(service, state);
        this->updateRow(service, state);
    }
}

/// Rewrites the row of a lease that this daemon held when the store was restored.
void SuccessionService::rewriteLease(const std::string& service, ServiceState& state)
{
    const auto now = this->parts.loop.now();
    const bool isIdle = state.stage == Stage::Monitoring && !state.isRowBeingWritten && now >= state.retryAt;
    if (isIdle && this->leases.isLostByRestore(service))
        this->acquireLease(service, [](const auto&) {});
}

/// Returns the other daemons of a service's group that are alive.
std::vector<std::string> SuccessionService::livePeersOf(const std::string& service) const
{
    const auto now = this->parts.loop.now();
    auto others = this->parts.group(service);
    std::erase_if(others, [&](const auto& vm) { return vm == this->options.self.vm || !this->parts.peers.isLive(vm, now); });
    return others;
}

/// Decides whether the primary is to be replaced, and starts the replacement when it is this daemon's turn.
void SuccessionService::checkPrimary(const std::string& service, ServiceState& state)
{
    const auto now = this->parts.loop.now();
    const auto leader = this->parts.dispatcher.leader(service);
    if (!leader || state.stage != Stage::Monitoring)
        return;
    const auto input = this->collectInput(service, *leader, state);
    const bool isResuming = now - this->resumedAt < resumeGracePeriod;
    const auto cause = isResuming ? FailoverCause::None : decideFailover(input);
    if (cause != state.cause) {
        logEvent(LogLevel::Warning, "succession.judged", { { "service", service }, { "upstream", *leader }, { "cause", nameOf(cause) }, { "peers", input.peers }, { "live_peers", input.livePeers }, { "agreeing", input.agreeingPeers } });
        state.cause = cause;
        state.causeSince = now;
    }
    if (cause == FailoverCause::None) {
        state.supersededSince.reset();
        state.unselectedSince.reset();
        state.failedSelections = state.unsettledSince ? state.failedSelections : 0;
        if (!isResuming)
            this->voidOlderOrders(service, state);
    }
    if (cause == FailoverCause::None || !this->shouldAct(service, state, state.causeSince))
        return;
    const auto leaseVersion = this->leases.heldVersion(service);
    if (!leaseVersion || state.needsNewToken) {
        this->takeOver(service);
        return;
    }
    this->queryCandidates(service, *leaseVersion);
}

/// Writes the row of an old lease anew, then goes on: a daemon that takes the lease over at the same time fails, as its condition does not hold.
/// While the store does not answer, the holder goes on under the lease that it has.
void SuccessionService::renewLease(const std::string& service, const store::Version& leaseVersion, std::function<void(const store::Version&)> onHeld)
{
    auto& state = this->serviceStates[service];
    const auto lease = this->leases.find(service);
    // After a request that failed the lease is left to expire, as another daemon may reach the platform.
    if (!lease || this->leases.needsNoRenewal(*lease) || state.failedOrders > 0) {
        onHeld(leaseVersion);
        return;
    }
    const auto renewal = ++state.lastRenewal;
    state.queryTimer = this->parts.loop.after(renewalTimeout, [this, service, leaseVersion, onHeld] {
        ++this->serviceStates[service].lastRenewal;
        onHeld(leaseVersion);
    });
    this->leases.write(service, this->leases.makeLease(lease->term, lease->orders), leaseVersion, [this, service, leaseVersion, renewal, onHeld](const auto& result) {
        auto& current = this->serviceStates[service];
        const bool isAwaited = current.lastRenewal == renewal;
        logEvent(LogLevel::Info, "succession.renewed", { { "service", service }, { "outcome", outcomeOf(result) }, { "in_time", isAwaited } });
        if (!isAwaited)
            return;
        current.queryTimer.reset();
        if (result || !result.error().isConflict) {
            onHeld(result.value_or(leaseVersion));
            return;
        }
        current.stage = Stage::Monitoring;
        current.retryAt = this->parts.loop.now() + retryDelay;
    });
}

/// Collects the input of the failover decision and reports a changed suspicion.
FailoverInput SuccessionService::collectInput(const std::string& service, const std::string& leader, ServiceState& state) const
{
    const auto now = this->parts.loop.now();
    FailoverInput input { .now = now, .peers = this->parts.group(service).size() - 1 };
    if (const auto pool = this->parts.dispatcher.pool(leader)) {
        input.own.failingSince = pool->health().failingSince;
        input.own.isRefusing = pool->health().isRefusing;
        input.own.silence = pool->silence(now);
    }
    input.own.isGone = this->parts.catalog.isGone(leader, now);
    if (const auto* known = this->parts.catalog.find(leader))
        input.own.drainingSince = known->drainingSince;
    input.suspicion = suspect(input.own, now);
    const bool isNews = input.suspicion.has_value() != state.suspicion.has_value() || state.observedPrimary != leader;
    state.suspicion = input.suspicion;
    state.observedPrimary = leader;
    if (isNews && state.suspicion) {
        logEvent(LogLevel::Warning, "succession.suspected", { { "service", service }, { "upstream", leader }, { "refusing", state.suspicion->isRefusing } });
        this->requestGossip();
    }
    const auto& proof = this->parts.dispatcher.proof(service);
    if (proof && proof->upstream == leader)
        input.provenAt = proof->at;
    input.livePeers = this->livePeersOf(service).size();
    for (const auto& [key, report] : this->peerSuspicions) {
        if (key.first == service && report.upstream == leader && now - report.heardAt < peerSuspicionLifetime)
            ++input.agreeingPeers;
    }
    return input;
}

/// Returns true if no other request is pending and it is this daemon's turn by lease or rank.
bool SuccessionService::shouldAct(const std::string& service, const ServiceState& state, Time causeSince) const
{
    const auto now = this->parts.loop.now();
    if (now < state.retryAt)
        return false;
    if (state.promotion && now - state.promotion->at < promotionTimeout)
        return false;
    if (this->isHeldByOther(service, state))
        return false;
    const auto holder = this->holderName(service);
    if (holder == this->options.self.vm)
        return true;
    const auto rank = gossip::rendezvousRank(leaseKey(service), this->options.self.vm, this->livePeersOf(service));
    return now - causeSince >= takeoverDelay(rank, this->parts.peers.isLive(holder, now));
}

std::string SuccessionService::holderName(const std::string& service) const
{
    const auto lease = this->leases.find(service);
    return lease ? lease->holder.vm : std::string();
}

/// Returns true if another daemon acquired the lease or requested a promotion so recently that it may still be acting.
bool SuccessionService::isHeldByOther(const std::string& service, const ServiceState& state) const
{
    if (this->leases.heldVersion(service))
        return false;
    const bool isRequestRecent = state.promotion && this->parts.loop.now() - state.promotion->at < leaseDuration;
    return isRequestRecent || this->leases.isFreshOfOther(service);
}

/// Queries the candidate of this daemon's promotion request whether it leads. Its registration shows this as well, but not while the store is unavailable.
void SuccessionService::queryRequestedCandidate(const std::string& service, ServiceState& state)
{
    const auto now = this->parts.loop.now();
    const bool isAwaitingLeader = state.stage != Stage::Preparing && state.promotion && state.promotion->isOwn && !state.promotion->isLeading && now - state.promotion->at < promotionTimeout;
    if (!isAwaitingLeader || now - std::max(state.promotion->at, state.candidateQueriedAt) < candidateQueryInterval || this->parts.dispatcher.leader(service) == state.promotion->candidate)
        return;
    state.candidateQueriedAt = now;
    state.candidateQuery = this->parts.dispatcher.queryStatus(service, state.promotion->candidate, now + candidateQueryInterval, [this, service](const auto& status) { this->onCandidateStatus(service, status); });
}

void SuccessionService::onCandidateStatus(const std::string& service, const std::optional<engine::UpstreamStatus>& status)
{
    auto& state = this->serviceStates[service];
    if (!state.promotion || !status || !status->isPrimary)
        return;
    state.promotion->isLeading = true;
    state.promotion->term = status->term;
    this->parts.dispatcher.noteTerm(service, status->term);
    this->parts.dispatcher.noteClaim(service, state.promotion->candidate, state.promotion->leaseVersion);
    this->requestGossip();
}

/// Returns the newest term known to this daemon or recorded in the lease row, whose holder may have been on the other side of a partition.
group::Term SuccessionService::newestTerm(const std::string& service) const
{
    const auto lease = this->leases.find(service);
    return std::max(this->parts.dispatcher.newestTerm(service), lease ? lease->term : 0);
}

/// Writes the newest term and the pending orders to the row of a lease held by this daemon, so that the next holder and daemons that start learn of them.
void SuccessionService::updateRow(const std::string& service, ServiceState& state)
{
    const auto now = this->parts.loop.now();
    const auto leaseVersion = this->leases.heldVersion(service);
    const bool mayWrite = leaseVersion && state.stage == Stage::Monitoring && !state.isRowBeingWritten && now >= state.nextRowWriteAt;
    if (!mayWrite)
        return;
    auto lease = *this->leases.find(service);
    const auto term = std::max(lease.term, this->parts.dispatcher.newestTerm(service));
    const auto orders = this->hasSynchronousReplicas(service) ? this->orders.refresh(service).orders : lease.orders;
    if (term == lease.term && orders == lease.orders)
        return;
    state.isRowBeingWritten = true;
    lease.term = term;
    lease.orders = orders;
    this->leases.write(service, lease, *leaseVersion, [this, service, term](const auto& result) {
        auto& current = this->serviceStates[service];
        current.isRowBeingWritten = false;
        current.nextRowWriteAt = this->parts.loop.now() + rowWriteInterval;
        logEvent(LogLevel::Info, "succession.row_updated", { { "service", service }, { "term", term }, { "outcome", outcomeOf(result) } });
        if (result)
            this->requestGossip();
    });
}

void SuccessionService::takeOver(const std::string& service)
{
    this->acquireLease(service, [this, service](const store::Version& leaseVersion) { this->queryCandidates(service, leaseVersion); });
}

/// Acquires a lease for this daemon, on condition that the row is unchanged since it was last read.
void SuccessionService::acquireLease(const std::string& service, std::function<void(const store::Version& leaseVersion)> onAcquired)
{
    auto& state = this->serviceStates[service];
    state.stage = Stage::AcquiringLease;
    const bool isTried = this->leases.acquire(service, this->leases.makeLease(this->newestTerm(service), this->orders.refresh(service).orders), [this, service, onAcquired = std::move(onAcquired)](const auto& result) {
        auto& current = this->serviceStates[service];
        current.stage = Stage::Monitoring;
        if (!result) {
            logEvent(LogLevel::Warning, "succession.not_taken", { { "service", service }, { "error", result.error().reason } });
            current.retryAt = this->parts.loop.now() + retryDelay;
            return;
        }
        current.needsNewToken = false;
        current.failedOrders = 0;
        logEvent(LogLevel::Info, "succession.taken_over", { { "service", service }, { "fence", fencingTokenOf(*result) } });
        onAcquired(*result);
    });
    if (isTried)
        return;
    state.stage = Stage::Monitoring;
    state.retryAt = this->parts.loop.now() + retryDelay;
}

void SuccessionService::queryCandidates(const std::string& service, store::Version leaseVersion)
{
    this->serviceStates[service].stage = Stage::QueryingCandidates;
    this->queryPositions(service, [this, service, leaseVersion] {
        if (this->hasSynchronousReplicas(service))
            this->selectSynchronousCandidate(service);
        else
            this->requestPromotion(service, leaseVersion);
    });
}

/// Asks the replicas of a service for their log positions; for one with synchronous replicas also those that are not to be promoted, and the primary.
/// One whose registration is missing is asked, too: until the catalog drops it, it may be back.
void SuccessionService::queryPositions(const std::string& service, std::function<void()> onAnswered)
{
    auto& state = this->serviceStates[service];
    const auto now = this->parts.loop.now();
    const bool asksAll = this->hasSynchronousReplicas(service);
    state.candidates.clear();
    state.queriedCandidates = 0;
    state.primaryStatus.reset();
    state.statusQueries.clear();
    for (const auto* known : this->parts.catalog.upstreamsOf(service)) {
        const auto& id = known->entry.id;
        const auto refused = state.refusedCandidates.find(id);
        const bool wasRefused = refused != state.refusedCandidates.end() && now - refused->second < refusalLifetime;
        const bool isPrimary = id == state.observedPrimary;
        if (!asksAll && (isPrimary || known->entry.draining || wasRefused))
            continue;
        const PromotionCandidate candidate { .upstream = id, .isSameZone = known->entry.zone == this->options.zone, .isDraining = known->entry.draining, .wasRefused = wasRefused };
        state.queriedCandidates += isPrimary ? 0 : 1;
        state.statusQueries.push_back(this->parts.dispatcher.queryStatus(service, id, now + statusTimeout, [this, service, candidate, isPrimary](std::optional<engine::UpstreamStatus> status) {
            if (!status)
                return;
            logEvent(LogLevel::Info, "succession.heir_answered", { { "service", service }, { "upstream", candidate.upstream }, { "primary", status->isPrimary }, { "term", status->term }, { "last_entry_term", status->received.term }, { "position", status->received.position } });
            this->parts.dispatcher.noteTerm(service, status->term);
            auto& current = this->serviceStates[service];
            if (isPrimary) {
                current.primaryStatus = status;
                return;
            }
            current.candidates.push_back(candidate);
            current.candidates.back().term = status->term;
            current.candidates.back().point = status->received;
            current.candidates.back().applied = status->applied.position;
        }));
    }
    state.queryTimer = this->parts.loop.after(statusTimeout, [this, service, onAnswered = std::move(onAnswered)] {
        this->serviceStates[service].statusQueries.clear();
        onAnswered();
    });
}

/// Adds upstreams that did not answer in time, with their last known log points.
void SuccessionService::addFallbackCandidates(const std::string& service, ServiceState& state) const
{
    for (const auto* known : this->parts.catalog.upstreamsOf(service)) {
        const auto& name = known->entry.id;
        const auto pool = this->parts.dispatcher.pool(name);
        const bool isEligible = name != state.observedPrimary && !known->entry.draining;
        if (isEligible && pool && pool->logPoint() && !pool->health().failingSince)
            state.candidates.push_back({ .upstream = name, .term = pool->logPoint()->term, .point = *pool->logPoint() });
    }
}

/// Returns the candidates that reached the last term; all candidates if none has done so within supersededTimeout.
std::vector<PromotionCandidate> SuccessionService::eligibleCandidates(const std::string& service, ServiceState& state)
{
    const auto now = this->parts.loop.now();
    const auto term = this->newestTerm(service);
    auto eligible = candidatesAtTerm(term, state.candidates);
    if (!eligible.empty() || state.candidates.empty()) {
        state.supersededSince.reset();
        return eligible;
    }
    if (!state.supersededSince) {
        state.supersededSince = now;
        logEvent(LogLevel::Error, "succession.only_superseded", { { "service", service }, { "upstream", state.observedPrimary }, { "term", term }, { "answered", state.candidates.size() } });
    }
    if (now - *state.supersededSince < supersededTimeout)
        return {};
    logEvent(LogLevel::Error, "succession.history_given_up", { { "service", service }, { "upstream", state.observedPrimary }, { "term", term }, { "answered", state.candidates.size() } });
    return state.candidates;
}

/// Delays the next query of candidates with exponential backoff.
void SuccessionService::onNoCandidate(const std::string& service, ServiceState& state) const
{
    logEvent(LogLevel::Warning, "succession.no_heir", { { "service", service }, { "upstream", state.observedPrimary }, { "answered", state.candidates.size() } });
    state.stage = Stage::Monitoring;
    state.retryAt = this->parts.loop.now() + retry::backoffDelay(failedSelectionBackoff, state.failedSelections++);
}

void SuccessionService::requestPromotion(const std::string& service, store::Version leaseVersion)
{
    auto& state = this->serviceStates[service];
    if (leaseVersion.era != this->leases.era()) {
        logEvent(LogLevel::Warning, "succession.fence_outdated", { { "service", service }, { "fence", fencingTokenOf(leaseVersion) } });
        state.stage = Stage::Monitoring;
        return;
    }
    if (state.candidates.empty())
        this->addFallbackCandidates(service, state);
    const auto chosen = chooseCandidate(this->eligibleCandidates(service, state));
    if (!chosen) {
        this->onNoCandidate(service, state);
        return;
    }
    state.failedSelections = 0;
    this->renewLease(service, leaseVersion, [this, service, candidate = *chosen](const auto& version) { this->sendOrder(service, candidate, version); });
}

void SuccessionService::sendOrder(const std::string& service, const std::string& candidate, const store::Version& leaseVersion)
{
    auto& state = this->serviceStates[service];
    state.stage = Stage::Promoting;
    PromotionRequest request { .service = service, .candidate = candidate, .holder = this->options.self.vm, .fencingToken = fencingTokenOf(leaseVersion) };
    logEvent(LogLevel::Warning, "succession.ordering", { { "service", service }, { "upstream", state.observedPrimary }, { "heir", candidate }, { "fence", request.fencingToken }, { "asked", state.candidates.size() }, { "cause", nameOf(state.cause) } });
    this->parts.promoter.promote(request, [this, service, request, leaseVersion](PromotionOutcome outcome) { this->onPromotionResult(service, request, leaseVersion, outcome); });
}

void SuccessionService::onPromotionResult(const std::string& service, const PromotionRequest& request, const store::Version& leaseVersion, PromotionOutcome outcome)
{
    auto& state = this->serviceStates[service];
    const auto now = this->parts.loop.now();
    state.stage = Stage::Monitoring;
    logEvent(LogLevel::Warning, "succession.ordered", { { "service", service }, { "heir", request.candidate }, { "fence", request.fencingToken }, { "outcome", nameOf(outcome) } });
    switch (outcome) {
    case PromotionOutcome::Accepted:
        state.failedOrders = 0;
        this->orders.accept(service, leaseVersion);
        if (request.candidate != state.observedPrimary)
            this->announce(service, { .candidate = request.candidate, .leaseVersion = leaseVersion, .at = now, .isOwn = true });
        return;
    case PromotionOutcome::Refused:
        this->withdrawAnnouncement(service);
        this->orders.withdraw(service, leaseVersion);
        state.refusedCandidates[request.candidate] = now;
        state.needsNewToken = true;
        state.retryAt = now + retryDelay;
        return;
    case PromotionOutcome::NotDone:
        this->orders.withdraw(service, leaseVersion);
        this->onOrderFailed(service);
        return;
    case PromotionOutcome::Unknown:
        this->onOrderFailed(service);
        return;
    }
}

/// Lets this daemon try again, and others take the lease over, as they may reach the platform.
void SuccessionService::onOrderFailed(const std::string& service)
{
    auto& state = this->serviceStates[service];
    this->withdrawAnnouncement(service);
    ++state.failedOrders;
    // The others have been told of the candidate of a service with synchronous replicas and wait for this daemon, which may be the only one that does not reach the platform.
    const bool stepsAside = this->hasSynchronousReplicas(service) && state.failedOrders > 1;
    state.retryAt = this->parts.loop.now() + (stepsAside ? leaseDuration + leaseDuration / 4 : retryDelay);
}

void SuccessionService::fill(gossip::Digest& digest, const freshness::StoreClock& clock)
{
    const auto now = this->parts.loop.now();
    this->orders.fill(digest);
    for (const auto& [service, state] : this->serviceStates) {
        if (state.suspicion)
            digest.suspicions.push_back({ .service = service, .upstream = state.observedPrimary, .isRefusing = state.suspicion->isRefusing });
        if (!state.promotion || now - state.promotion->at > promotionReportLifetime)
            continue;
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - state.promotion->at).count();
        if (const auto at = clock.earliestStoreTime(freshness::bootNow() - age))
            digest.orders.push_back({ .service = service, .candidate = state.promotion->candidate, .fence = state.promotion->leaseVersion, .at = *at, .isLeading = state.promotion->isLeading, .term = state.promotion->term });
    }
}

void SuccessionService::mergeDigest(const gossip::Digest& digest, const freshness::StoreClock& clock)
{
    const auto now = this->parts.loop.now();
    std::erase_if(this->peerSuspicions, [&](const auto& entry) { return entry.first.second == digest.vm; });
    for (const auto& suspicion : digest.suspicions)
        this->peerSuspicions[{ suspicion.service, digest.vm }] = { .upstream = suspicion.upstream, .heardAt = now };
    for (const auto& report : digest.orders) {
        this->parts.dispatcher.noteTerm(report.service, report.term);
        if (report.isLeading)
            this->parts.dispatcher.noteClaim(report.service, report.candidate, report.fence);
        auto& state = this->serviceStates[report.service];
        const auto boot = freshness::bootNow();
        const auto local = clock.earliestLocalTime(report.at, boot);
        const auto age = std::chrono::microseconds(local ? std::max<freshness::Micros>(0, boot - *local) : 0);
        // The holder may send another request with the same fencing token.
        const auto tolerance = state.promotion && state.promotion->candidate == report.candidate ? samePromotionTolerance : Duration::zero();
        const bool isKnown = state.promotion && (state.promotion->leaseVersion > report.fence || (state.promotion->leaseVersion == report.fence && now - age <= state.promotion->at + tolerance));
        if (isKnown) {
            if (report.isLeading && state.promotion->leaseVersion == report.fence) {
                state.promotion->isLeading = true;
                state.promotion->term = report.term;
            }
            continue;
        }
        state.promotion = KnownPromotion { .candidate = report.candidate, .leaseVersion = report.fence, .at = now - age, .isLeading = report.isLeading, .term = report.term };
        logEvent(LogLevel::Info, "succession.order_heard", { { "service", report.service }, { "heir", report.candidate }, { "fence", fencingTokenOf(report.fence) }, { "from", digest.vm } });
    }
    this->mergePendingOrders(digest);
}

}

// Promotions of services with synchronous replicas: no commit that a caller was told of may be missing in the log of the promoted upstream.

#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/succession/succession_service.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::succession {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr Duration catchUpTimeout = 1s; // for a candidate to receive what its primary had when the daemons knew of it
    constexpr Duration pollInterval = 20ms;
    constexpr Duration statusTimeout = 80ms;
    constexpr Duration recordRetryDelay = 100ms; // after the store did not take the row of a lease
    constexpr retry::BackoffOptions failedSelectionBackoff { .first = 100ms, .limit = 800ms };

}

bool SuccessionService::hasSynchronousReplicas(const std::string& service) const
{
    const auto configuration = this->parts.catalog.configuration();
    const auto* spec = configuration ? configuration->findService(service) : nullptr;
    return spec && spec->synchronousReplicas > 0;
}

/// Collects what the last queries of positions have shown.
SelectionInput SuccessionService::selectionInput(const std::string& service, const ServiceState& state, std::span<const PromotionCandidate> answered) const
{
    const auto& status = state.primaryStatus;
    const bool isLeading = status && status->isPrimary && status->term >= this->newestTerm(service);
    return {
        .answered = answered,
        .silentReplicas = state.queriedCandidates - state.candidates.size(),
        .mayLackReplicas = this->parts.catalog.mayLackUpstreams(this->parts.loop.now()),
        .primary = isLeading ? std::optional(status->received) : std::nullopt,
        .waiting = state.unselectedSince ? this->parts.loop.now() - *state.unselectedSince : Duration::zero(),
    };
}

void SuccessionService::selectSynchronousCandidate(const std::string& service)
{
    auto& state = this->serviceStates[service];
    const auto eligible = this->eligibleCandidates(service, state);
    const auto input = this->selectionInput(service, state, eligible);
    const auto selection = selectWithSynchronousReplicas(input);
    if (!selection.candidate) {
        state.unselectedSince = state.unselectedSince.value_or(this->parts.loop.now());
        logEvent(LogLevel::Warning, "succession.replicas_awaited", { { "service", service }, { "silent", input.silentReplicas }, { "may_lack", input.mayLackReplicas }, { "primary_answers", input.primary.has_value() } });
        this->onNoCandidate(service, state);
        return;
    }
    if (selection.givesUpReplicas)
        logEvent(LogLevel::Error, "succession.replicas_given_up", { { "service", service }, { "heir", *selection.candidate }, { "silent", input.silentReplicas } });
    state.failedSelections = 0;
    this->recordOrder(service, selection);
}

/// Writes into the lease's row that the candidate may be promoted, then prepares its promotion. Nothing is ordered while the store does not take the row: a daemon
/// that starts, or is cut off from the others, knows of the order by the row alone.
void SuccessionService::recordOrder(const std::string& service, const Selection& selection)
{
    auto& state = this->serviceStates[service];
    auto lease = this->leases.makeLease(this->newestTerm(service), this->orders.with(service, *selection.candidate));
    const auto known = this->leases.find(service);
    const auto leaseVersion = this->leases.heldVersion(service);
    if (!leaseVersion) {
        state.stage = Stage::Monitoring;
        return;
    }
    // After a request that failed the lease is left to expire, as another daemon may reach the platform.
    if (state.failedOrders > 0)
        lease.takenAt = known->takenAt;
    this->leases.write(service, lease, *leaseVersion, [this, service, selection](const auto& result) {
        auto& current = this->serviceStates[service];
        if (!result) {
            logEvent(LogLevel::Warning, "succession.order_not_recorded", { { "service", service }, { "heir", *selection.candidate }, { "error", result.error().reason } });
            current.stage = Stage::Monitoring;
            current.retryAt = this->parts.loop.now() + recordRetryDelay;
            return;
        }
        this->orders.refresh(service);
        this->prepare(service, { .candidate = *selection.candidate, .leaseVersion = *result, .startedAt = this->parts.loop.now(), .givesUpReplicas = selection.givesUpReplicas });
    });
}

/// Has an older order made void while the primary serves: it is ordered itself, under a newer fence, which changes nothing else. Whoever holds the lease does so, like
/// a promotion; an order without an answer would otherwise keep every commit waiting for its candidate.
void SuccessionService::voidOlderOrders(const std::string& service, ServiceState& state)
{
    const auto now = this->parts.loop.now();
    if (!this->hasSynchronousReplicas(service) || !this->orders.needsNewerOrder(service)) {
        state.unsettledSince.reset();
        return;
    }
    state.unsettledSince = state.unsettledSince.value_or(now);
    // A holder that is alive may have had the older order made void already, and waits until no takeover can be under way.
    const auto holdersTime = this->parts.peers.isLive(this->holderName(service), now) ? leaseDuration : Duration::zero();
    if (!this->shouldAct(service, state, *state.unsettledSince + holdersTime))
        return;
    if (this->leases.heldVersion(service) && !state.needsNewToken)
        this->orderPrimaryAgain(service);
    else
        this->acquireLease(service, [this, service](const auto&) { this->orderPrimaryAgain(service); });
}

void SuccessionService::orderPrimaryAgain(const std::string& service)
{
    auto& state = this->serviceStates[service];
    state.stage = Stage::QueryingCandidates;
    this->recordOrder(service, { .candidate = state.observedPrimary });
}

/// Takes over the pending orders that another daemon knows, and notes that it knows of the one that this daemon prepares.
void SuccessionService::mergePendingOrders(const gossip::Digest& digest)
{
    for (const auto& report : digest.pendingOrders) {
        auto& preparation = this->serviceStates[report.service].preparation;
        if (preparation && report.version >= preparation->leaseVersion)
            preparation->confirmedBy.insert(digest.vm);
    }
    if (this->orders.merge(digest))
        this->requestGossip(); // the holder of the lease waits for the confirmation
}

/// Announces the candidate, and has its promotion ordered once it has what was acknowledged.
void SuccessionService::prepare(const std::string& service, Preparation preparation)
{
    auto& state = this->serviceStates[service];
    logEvent(LogLevel::Info, "succession.preparing", { { "service", service }, { "heir", preparation.candidate } });
    state.stage = Stage::Preparing;
    state.preparation = std::move(preparation);
    if (state.preparation->candidate == state.observedPrimary)
        this->requestGossip();
    else
        this->announce(service, { .candidate = state.preparation->candidate, .leaseVersion = state.preparation->leaseVersion, .at = state.preparation->startedAt, .isOwn = true });
    this->awaitConfirmations(service);
}

/// Takes note of a promotion of this daemon, and tells the other daemons.
void SuccessionService::announce(const std::string& service, KnownPromotion promotion)
{
    this->serviceStates[service].promotion = std::move(promotion);
    this->requestGossip();
}

/// Lets this daemon try again: what it announced was not ordered, or not accepted.
void SuccessionService::withdrawAnnouncement(const std::string& service)
{
    auto& promotion = this->serviceStates[service].promotion;
    if (promotion && promotion->isOwn)
        promotion.reset();
}

/// Returns the other daemons that may acknowledge commits of a service: its homes, and those that are not heard and may take themselves for homes.
std::set<std::string> SuccessionService::possibleHomes(const std::string& service) const
{
    const auto now = this->parts.loop.now();
    const auto& group = this->parts.group(service);
    std::set<std::string> homes(group.begin(), group.end());
    homes.erase(this->options.self.vm);
    for (const auto& vm : this->parts.registered()) {
        if (!this->parts.peers.isLive(vm, now))
            homes.insert(vm);
    }
    return homes;
}

/// Waits until the other daemons hold back commits that the candidate lacks, or until those that do not tell so hold back what any upstream lacks.
void SuccessionService::awaitConfirmations(const std::string& service)
{
    auto& state = this->serviceStates[service];
    const auto& confirmedBy = state.preparation->confirmedBy;
    const auto peers = this->possibleHomes(service);
    const bool isConfirmed = std::all_of(peers.begin(), peers.end(), [&](const auto& vm) { return confirmedBy.contains(vm); });
    const bool isOver = this->parts.loop.now() - state.preparation->startedAt >= orderKnowledgeLifetime;
    if (!isConfirmed && !isOver) {
        state.queryTimer = this->parts.loop.after(pollInterval, [this, service] { this->awaitConfirmations(service); });
        return;
    }
    if (!isConfirmed)
        logEvent(LogLevel::Warning, "succession.not_confirmed", { { "service", service }, { "peers", peers.size() }, { "confirmed", confirmedBy.size() } });
    this->queryPositions(service, [this, service] { this->determineRequiredPoint(service); });
}

/// Determines the position that the candidate must reach: what was acknowledged before the daemons knew of it lies before that.
void SuccessionService::determineRequiredPoint(const std::string& service)
{
    auto& state = this->serviceStates[service];
    const auto eligible = this->eligibleCandidates(service, state);
    const auto input = this->selectionInput(service, state, eligible);
    if (state.preparation->candidate == state.observedPrimary) {
        if (input.primary)
            this->orderPrepared(service);
        else
            this->cancelPreparation(service, "the primary does not lead");
        return;
    }
    state.preparation->required = requiredPoint(input);
    if (!state.preparation->required) {
        this->cancelPreparation(service, "a replica is silent or not known yet");
        return;
    }
    const auto found = std::find_if(eligible.begin(), eligible.end(), [&](const auto& candidate) { return candidate.upstream == state.preparation->candidate; });
    const bool isThere = found != eligible.end() && hasReached(found->point, *state.preparation->required);
    if (isThere || state.preparation->givesUpReplicas)
        this->orderPrepared(service);
    else
        this->awaitCandidate(service);
}

void SuccessionService::awaitCandidate(const std::string& service)
{
    auto& state = this->serviceStates[service];
    const auto now = this->parts.loop.now();
    if (now - state.preparation->startedAt >= orderKnowledgeLifetime + statusTimeout + catchUpTimeout) {
        this->cancelPreparation(service, "the candidate is behind");
        return;
    }
    state.queryTimer = this->parts.loop.after(pollInterval, [this, service] { this->awaitCandidate(service); });
    state.candidateQuery = this->parts.dispatcher.queryStatus(service, state.preparation->candidate, now + statusTimeout, [this, service](const auto& status) {
        const auto& preparation = this->serviceStates[service].preparation;
        if (status && preparation && hasReached(status->received, *preparation->required))
            this->orderPrepared(service);
    });
}

/// Orders the promotion of the candidate, unless the lease was lost meanwhile.
void SuccessionService::orderPrepared(const std::string& service)
{
    auto& state = this->serviceStates[service];
    if (this->leases.heldVersion(service) != state.preparation->leaseVersion) {
        this->cancelPreparation(service, "the lease is lost");
        return;
    }
    state.queryTimer.reset();
    state.unselectedSince.reset();
    const auto preparation = *std::exchange(state.preparation, std::nullopt);
    this->sendOrder(service, preparation.candidate, preparation.leaseVersion);
}

void SuccessionService::cancelPreparation(const std::string& service, std::string_view reason)
{
    auto& state = this->serviceStates[service];
    logEvent(LogLevel::Warning, "succession.preparation_cancelled", { { "service", service }, { "heir", state.preparation->candidate }, { "reason", reason } });
    this->orders.withdraw(service, state.preparation->leaseVersion);
    state.preparation.reset();
    state.unselectedSince = state.unselectedSince.value_or(this->parts.loop.now());
    state.stage = Stage::Monitoring;
    state.retryAt = this->parts.loop.now() + retry::backoffDelay(failedSelectionBackoff, state.failedSelections++);
    this->withdrawAnnouncement(service);
}

}

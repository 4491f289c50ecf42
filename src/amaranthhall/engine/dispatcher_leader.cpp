// What the dispatcher knows of the leaders of services: who leads, whether it may be used, whether this daemon reaches it.

#include "amaranthhall/engine/boot_clock.hpp"
#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration leaderCheckLimit = 150ms;
    constexpr retry::BackoffOptions leaderCheckPauses { .first = 25ms, .limit = 100ms };
    constexpr Duration recentProof = 900ms; // news of a leader that serves others come twice in this
    constexpr Duration longestChange = 4s; // a change of primary that takes longer is not waited for
    constexpr Duration longestNews = 500ms; // after a primary was superseded, news of its successor come sooner, or not at all

}

/// Begins to ask a leader whether it has caught up in its term, unless that is known; tells whether statements must wait for it.
bool Dispatcher::mustCheckLeader(Service& service)
{
    const auto leader = this->leaderOf(service);
    const auto pool = leader ? this->pool(*leader) : nullptr;
    const bool isReachable = pool && pool->health().avoidUntil <= this->loop.now();
    const bool isConfirmed = pool && pool->logPoint() && service.leadership.isConfirmed(*leader, pool->logPoint()->term);
    if (isConfirmed)
        service.leaderChecks = 0;
    if (!isReachable || isConfirmed)
        return false;
    this->checkLeader(service, *leader);
    return true;
}

/// Tells whether a leader may come soon: not if others reach the present one, and not for ever.
bool Dispatcher::mayWaitForLeader(Service& service)
{
    const auto now = this->loop.now();
    if (!service.leaderlessSince)
        service.leaderlessSince = now;
    const auto longest = this->leaderOf(service) ? longestChange : longestNews;
    return now - *service.leaderlessSince <= longest && !this->isLeaderCutOff(service);
}

/// Tells whether a service's leader does not answer here, while other daemons have heard of it since.
bool Dispatcher::isLeaderCutOff(Service& service)
{
    const auto leader = this->leaderOf(service);
    const auto found = leader ? this->pool(*leader) : nullptr;
    const auto& proof = service.leadership.newestProof();
    if (!found || !found->health().failingSince || !proof || proof->upstream != *leader)
        return false;
    return proof->at > *found->health().failingSince;
}

bool Dispatcher::isLeaderOutOfReach(std::string_view service)
{
    return this->isOutOfReach(this->serviceOf(service));
}

bool Dispatcher::hasReached(std::string_view service, Time now)
{
    const auto& reachedAt = this->serviceOf(service).reachedAt;
    return reachedAt && now - *reachedAt < recentProof;
}

bool Dispatcher::isOutOfReach(Service& service)
{
    const auto leader = this->leaderOf(service);
    const auto found = leader ? this->pool(*leader) : nullptr;
    const auto& proof = service.leadership.newestProof();
    const auto now = this->loop.now();
    const bool hasNoRoom = found && found->size() == 0 && found->health().connectNotBefore > now;
    const bool servesOthers = proof && leader && proof->upstream == *leader && now - proof->at < recentProof;
    return this->isLeaderCutOff(service) || (hasNoRoom && servesOthers);
}

/// Asks a leader whether it has applied all that it has received, again until it has.
void Dispatcher::checkLeader(Service& service, const std::string& upstream)
{
    if (std::exchange(service.isChecking, true))
        return;
    const auto deadline = this->loop.now() + leaderCheckLimit;
    service.leaderCheck = this->askStatus(service.name, upstream, deadline, [this, &service, upstream](std::optional<UpstreamStatus> status) { this->onLeaderStatus(service, upstream, status); });
    service.leaderCheckTimer = this->loop.after(leaderCheckLimit, [this, &service, upstream] { this->onLeaderStatus(service, upstream, std::nullopt); });
}

void Dispatcher::onLeaderStatus(Service& service, const std::string& upstream, const std::optional<UpstreamStatus>& status)
{
    service.leaderCheck = {};
    const bool hasCaughtUp = status && status->isPrimary && status->applied.position >= status->received.position;
    // A primary that was replaced while it was cut off may still believe that it leads.
    const bool isSuperseded = status && status->term < service.leadership.newestTerm();
    if (hasCaughtUp && !isSuperseded)
        service.leadership.confirm({ .upstream = upstream, .term = status->term, .lastEntry = status->applied.term });
    if (status && (!status->isPrimary || isSuperseded))
        service.leadership.refute(upstream, this->loop.now());
    if (status)
        service.leadership.noteTerm(status->term);
    telemetry::logEvent(telemetry::LogLevel::Info, "leader.checked", { { "service", service.name }, { "upstream", upstream }, { "answered", status.has_value() }, { "caught_up", hasCaughtUp }, { "applied", status ? status->applied.position : 0 }, { "received", status ? status->received.position : 0 }, { "term", status ? status->term : 0 }, { "superseded", isSuperseded } });
    // A first question that is answered with yes lets the queue go on at once; any that follows it waits.
    const bool isSettled = hasCaughtUp && !isSuperseded && service.leaderChecks == 0;
    const auto pause = isSettled ? Duration::zero() : retry::backoffDelay(leaderCheckPauses, service.leaderChecks);
    ++service.leaderChecks;
    service.leaderCheckTimer = this->loop.after(pause, [this, &service] {
        service.isChecking = false;
        this->pump(service);
    });
}

void Dispatcher::confirmLeader(std::string_view service, const leadership::ConfirmedTerm& confirmation)
{
    this->serviceOf(service).leadership.confirm(confirmation);
}

bool Dispatcher::isConfirmed(std::string_view service, std::string_view upstream, group::Term lastEntry)
{
    return this->serviceOf(service).leadership.isConfirmed(upstream, lastEntry);
}

void Dispatcher::noteProof(std::string_view service, leadership::LeaderProof proof, freshness::Micros at)
{
    auto& state = this->serviceOf(service);
    if (!state.leadership.isConfirmed(proof.upstream, proof.point.term))
        return;
    if (state.leadership.prove(proof))
        state.samples.dropBeyond(proof.point);
    state.samples.add({ .point = proof.point, .at = at });
}

void Dispatcher::noteClaim(std::string_view name, std::string_view upstream, store::Version version)
{
    auto& service = this->serviceOf(name);
    if (service.claim && service.claim->upstream == upstream && service.claim->version >= version)
        return;
    // A registration that was known before says less than the order.
    for (const auto* known : this->catalog.upstreamsOf(name)) {
        if (known->entry.id != upstream && known->entry.role == catalog::Role::Primary)
            version = std::max(version, known->roleVersion);
    }
    service.claim = OrderedClaim { .upstream = std::string(upstream), .version = version, .seenAt = this->loop.now() };
    telemetry::logEvent(telemetry::LogLevel::Info, "leader.claims", { { "service", name }, { "upstream", upstream }, { "version", store::formatVersion(version) } });
    this->schedulePump(service);
}

void Dispatcher::noteNotLeader(std::string_view service, std::string_view upstream, Time askedAt)
{
    this->serviceOf(service).leadership.refute(upstream, askedAt);
}

std::optional<std::string> Dispatcher::leader(std::string_view service)
{
    return this->leaderOf(this->serviceOf(service));
}

std::optional<std::string> Dispatcher::leaderOf(const Service& service) const
{
    std::vector<leadership::PrimaryClaim> claims;
    if (service.claim && this->catalog.find(service.claim->upstream))
        claims.push_back({ .upstream = service.claim->upstream, .version = service.claim->version, .seenAt = service.claim->seenAt });
    for (const auto* known : this->catalog.upstreamsOf(service.name)) {
        if (known->entry.role == catalog::Role::Primary)
            claims.push_back({ .upstream = known->entry.id, .version = known->roleVersion, .seenAt = known->roleSeenAt });
    }
    const auto found = service.leadership.leader(claims);
    return found ? std::optional<std::string>(*found) : std::nullopt;
}

const std::optional<leadership::LeaderProof>& Dispatcher::proof(std::string_view service)
{
    return this->serviceOf(service).leadership.newestProof();
}

}

// Leader tracking of the dispatcher: which upstream leads a service, whether it may be used and whether this daemon reaches it.

#include "amaranthhall/engine/dispatcher.hpp"
#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration leaderCheckTimeout = 150ms;
    constexpr retry::BackoffOptions leaderCheckBackoff { .first = 25ms, .limit = 100ms };
    constexpr Duration maximumProofAge = 900ms; // reports of a leader that serves other daemons arrive twice in this time
    constexpr Duration maximumFailoverWait = 4s; // statements do not wait for a failover that takes longer
    constexpr Duration maximumSuccessorWait = 500ms; // after a primary was superseded, its successor is reported within this time or not at all

}

/// Starts a check whether the leader has caught up in its term, unless that is confirmed; returns whether statements must wait for it.
bool Dispatcher::mustCheckLeader(Service& service)
{
    const auto leader = this->leaderOf(service);
    const auto pool = leader ? this->pool(*leader) : nullptr;
    const bool isReachable = pool && pool->health().avoidUntil <= this->loop.now();
    const bool isConfirmed = pool && pool->logPoint() && service.leadership.isConfirmed(*leader, pool->logPoint()->term);
    if (isConfirmed)
        service.leaderCheckAttempts = 0;
    if (!isReachable || isConfirmed)
        return false;
    this->checkLeader(service, *leader);
    return true;
}

/// Returns whether waiting for a usable leader is worthwhile: not while other daemons reach the current one, and only for a limited time.
bool Dispatcher::mayWaitForLeader(Service& service)
{
    const auto now = this->loop.now();
    if (!service.leaderlessSince)
        service.leaderlessSince = now;
    const auto maximumWait = this->leaderOf(service) ? maximumFailoverWait : maximumSuccessorWait;
    return now - *service.leaderlessSince <= maximumWait && !this->isLeaderPartitioned(service);
}

/// Returns whether a service's leader fails to reply to this daemon but has since proven its leadership to another one.
bool Dispatcher::isLeaderPartitioned(Service& service)
{
    const auto leader = this->leaderOf(service);
    const auto found = leader ? this->pool(*leader) : nullptr;
    const auto& proof = service.leadership.newestProof();
    if (!found || !found->health().failingSince || !proof || proof->upstream != *leader)
        return false;
    return proof->at > *found->health().failingSince;
}

bool Dispatcher::isLeaderUnreachable(std::string_view service)
{
    return this->isLeaderUnreachable(this->serviceOf(service));
}

bool Dispatcher::hasRecentLeaderReply(std::string_view service, Time now)
{
    const auto& lastLeaderReplyAt = this->serviceOf(service).lastLeaderReplyAt;
    return lastLeaderReplyAt && now - *lastLeaderReplyAt < maximumProofAge;
}

bool Dispatcher::isLeaderUnreachable(Service& service)
{
    const auto leader = this->leaderOf(service);
    const auto found = leader ? this->pool(*leader) : nullptr;
    const auto& proof = service.leadership.newestProof();
    const auto now = this->loop.now();
    const bool isAtConnectionLimit = found && found->size() == 0 && found->health().connectNotBefore > now;
    const bool servesOtherDaemons = proof && leader && proof->upstream == *leader && now - proof->at < maximumProofAge;
    return this->isLeaderPartitioned(service) || (isAtConnectionLimit && servesOtherDaemons);
}

/// Queries whether the leader has applied everything it has received; repeated until it has.
void Dispatcher::checkLeader(Service& service, const std::string& upstream)
{
    if (std::exchange(service.isLeaderCheckPending, true))
        return;
    const auto deadline = this->loop.now() + leaderCheckTimeout;
    service.leaderCheck = this->queryStatus(service.name, upstream, deadline, [this, &service, upstream](std::optional<UpstreamStatus> status) { this->onLeaderStatus(service, upstream, status); });
    service.leaderCheckTimer = this->loop.after(leaderCheckTimeout, [this, &service, upstream] { this->onLeaderStatus(service, upstream, std::nullopt); });
}

void Dispatcher::onLeaderStatus(Service& service, const std::string& upstream, const std::optional<UpstreamStatus>& status)
{
    service.leaderCheck = {};
    const bool hasCaughtUp = status && status->isPrimary && status->applied.position >= status->received.position;
    // A primary that was replaced during a network partition may still consider itself the leader.
    const bool isSuperseded = status && status->term < service.leadership.newestTerm();
    if (hasCaughtUp && !isSuperseded)
        service.leadership.confirm({ .upstream = upstream, .term = status->term, .lastEntryTerm = status->applied.term });
    if (status && (!status->isPrimary || isSuperseded))
        service.leadership.recordRefusal(upstream, this->loop.now());
    if (status)
        service.leadership.noteTerm(status->term);
    telemetry::logEvent(telemetry::LogLevel::Info, "leader.checked", { { "service", service.name }, { "upstream", upstream }, { "answered", status.has_value() }, { "caught_up", hasCaughtUp }, { "applied", status ? status->applied.position : 0 }, { "received", status ? status->received.position : 0 }, { "term", status ? status->term : 0 }, { "superseded", isSuperseded } });
    // If the first query confirms the leader, the queue is processed at once; otherwise after a backoff delay.
    const bool mayContinueAtOnce = hasCaughtUp && !isSuperseded && service.leaderCheckAttempts == 0;
    const auto delay = mayContinueAtOnce ? Duration::zero() : retry::backoffDelay(leaderCheckBackoff, service.leaderCheckAttempts);
    ++service.leaderCheckAttempts;
    service.leaderCheckTimer = this->loop.after(delay, [this, &service] {
        service.isLeaderCheckPending = false;
        this->processQueue(service);
    });
}

void Dispatcher::confirmLeader(std::string_view service, const leadership::ConfirmedTerm& confirmation)
{
    this->serviceOf(service).leadership.confirm(confirmation);
}

bool Dispatcher::isConfirmed(std::string_view service, std::string_view upstream, group::Term lastEntryTerm)
{
    return this->serviceOf(service).leadership.isConfirmed(upstream, lastEntryTerm);
}

void Dispatcher::noteProof(std::string_view service, leadership::LeaderProof proof, freshness::Micros at)
{
    auto& state = this->serviceOf(service);
    if (!state.leadership.isConfirmed(proof.upstream, proof.point.term))
        return;
    if (state.leadership.recordProof(proof))
        state.samples.dropAfter(proof.point);
    state.samples.add({ .point = proof.point, .at = at });
}

void Dispatcher::noteClaim(std::string_view name, std::string_view upstream, store::Version version)
{
    auto& service = this->serviceOf(name);
    if (service.claim && service.claim->upstream == upstream && service.claim->version >= version)
        return;
    // The promotion order takes precedence over registrations that were known before it.
    for (const auto* known : this->catalog.upstreamsOf(name)) {
        if (known->entry.id != upstream && known->entry.role == catalog::Role::Primary)
            version = std::max(version, known->roleVersion);
    }
    service.claim = PromotionClaim { .upstream = std::string(upstream), .version = version, .seenAt = this->loop.now() };
    telemetry::logEvent(telemetry::LogLevel::Info, "leader.claims", { { "service", name }, { "upstream", upstream }, { "version", store::formatVersion(version) } });
    this->scheduleQueueProcessing(service);
}

void Dispatcher::noteNotLeader(std::string_view service, std::string_view upstream, Time askedAt)
{
    this->serviceOf(service).leadership.recordRefusal(upstream, askedAt);
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

#include "amaranthhall/quota/io/quota_owner.hpp"

#include "amaranthhall/kernel/random_seed.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::quota {

namespace {

    using namespace std::chrono_literals;
    using telemetry::logEvent;
    using telemetry::LogLevel;

    constexpr std::size_t predecessorsAsked = 2;
    constexpr std::size_t maximumPending = 256; // requests that wait for an adoption
    constexpr Duration adoptionRepeatDelay = 10ms;
    constexpr Duration adoptionTimeout = 45ms; // several repetitions, as a bucket that is adopted without its predecessor's state is paid from the room
    constexpr Duration unusedTimeout = 60s;
    constexpr Duration confirmationRepeatDelay = 8ms;
    constexpr Duration discoveryTime = 10s; // within it a daemon may not know all others yet, and believes the holders as to the size of the fleet
    constexpr Duration logInterval = 1s; // of changes of one organisation's support

}

QuotaOwner::QuotaOwner(kernel::Loop& usedLoop, const catalog::Catalog& usedCatalog, Transport& usedTransport, WindowBound usedBound, telemetry::Metrics& metrics)
    : loop(usedLoop)
    , catalog(usedCatalog)
    , transport(usedTransport)
    , bound(usedBound)
    , grantedTokens(metrics.counter("amaranthhall_quota_granted_total", "Operations granted by this daemon as owner of organisations' limits"))
    , startedBuckets(metrics.counter("amaranthhall_quota_buckets_started_total", "Limits taken over without the state of the previous owner"))
    , adoptedBuckets(metrics.counter("amaranthhall_quota_buckets_adopted_total", "Limits taken over with the state of the previous owner"))
    , lastRelease(kernel::randomSeed())
    , leaseRequests(metrics.counter("amaranthhall_quota_lease_requests_total", "Requests to the voters of organisations that this daemon owns"))
    , refusedLeases(metrics.counter("amaranthhall_quota_leases_refused_total", "Leases that this daemon refused because it supports another owner"))
    , unsupportedRequests(metrics.counter("amaranthhall_quota_unsupported_total", "Requests for tokens that this daemon as owner did not serve for lack of votes"))
    , yieldedBuckets(metrics.counter("amaranthhall_quota_buckets_yielded_total", "Limits given up in favour of an owner with more votes"))
    , announcedShares(metrics.counter("amaranthhall_quota_shares_announced_total", "Shares announced to holders for the time in which they reach no owner"))
    , startedAt(usedTransport.now())
{
}

Room QuotaOwner::roomOf(const Entry& entry) const
{
    return divideRoom(entry.limit, this->bound, 1);
}

/// Takes the limit from the newer of this daemon's configuration and the holder's.
void QuotaOwner::updateLimit(Entry& entry, const std::string& organisation, const GrantRequestMessage& request) const
{
    if (request.configurationVersion > entry.limitVersion) {
        entry.limit = request.limit;
        entry.limitVersion = request.configurationVersion;
    }
    const auto configuration = this->catalog.configuration();
    if (!configuration || !configuration->organisations || configuration->version <= entry.limitVersion)
        return;
    const auto* own = configuration->organisations->find(organisation);
    if (own && own->limit) {
        entry.limit = *own->limit;
        entry.limitVersion = configuration->version;
    }
}

void QuotaOwner::reply(const Message& message, GrantMessage grant)
{
    this->transport.send(message.replyTo, message.organisation, std::move(grant));
}

void QuotaOwner::redirect(const Message& message, const GrantRequestMessage& request, const std::string& successor, const kernel::Address& address)
{
    this->reply(message, { .grant = { .sequence = request.request.sequence }, .redirectVm = successor, .redirectAddress = address });
}

void QuotaOwner::onGrantRequest(const Message& message, const GrantRequestMessage& request)
{
    const auto now = this->transport.now();
    auto& entry = this->entries[message.organisation];
    this->updateLimit(entry, message.organisation, request);
    auto& ownership = entry.ownership;
    const auto isUnreachable = [&request](const std::string& vm) { return std::find(request.unreachable.begin(), request.unreachable.end(), vm) != request.unreachable.end(); };
    const bool mayRedirect = isRedirecting(ownership, now) && ownership.successor != message.sender && !isUnreachable(ownership.successor);
    const auto successorAddress = mayRedirect ? this->transport.addressOf(ownership.successor) : std::nullopt;
    if (successorAddress) {
        this->redirect(message, request, ownership.successor, *successorAddress);
        return;
    }
    if (ownership.state != OwnerState::Active && ownership.state != OwnerState::Adopting)
        this->adopt(entry, message.organisation, request.unreachable);
    entry.daemons = std::max(entry.daemons, request.daemons); // a holder that has just started may know only itself
    if (ownership.state == OwnerState::Adopting || entry.isConfirming) {
        if (entry.pending.size() < maximumPending)
            entry.pending.push_back({ .message = message, .request = request });
        return;
    }
    const auto room = this->roomOf(entry);
    const auto supported = accrue(ownership, entry.limit, room, now);
    auto grant = grantTokens(ownership.owned, request.request, supported, room, now);
    const bool isSupported = currentFraction(ownership.support, now) >= 1;
    if (const auto share = announceShare(ownership.shares, message.sender, request.request.demandPerSecond, entry.limit, room, isSupported, now)) {
        grant.share = *share;
        this->announcedShares.Increment();
    }
    if (grant.isUnsupported)
        this->unsupportedRequests.Increment();
    this->grantedTokens.Increment(grant.tokens);
    this->reply(message, { .grant = grant });
}

/// Asks the daemons that are likely to hold the bucket for it.
void QuotaOwner::adopt(Entry& entry, const std::string& organisation, const std::vector<std::string>& unreachable)
{
    std::vector<std::string> predecessors;
    const auto add = [&](const std::string& vm) {
        const bool isAsked = vm.empty() || vm == this->transport.self() || std::find(predecessors.begin(), predecessors.end(), vm) != predecessors.end();
        if (!isAsked && predecessors.size() < predecessorsAsked && this->transport.addressOf(vm))
            predecessors.push_back(vm);
    };
    // The successor is asked even if the holder does not reach it: it may own the bucket all the same, for instance because it was restarted a moment ago.
    add(entry.ownership.successor);
    for (const auto& vm : this->transport.ranking(organisation)) {
        if (std::find(unreachable.begin(), unreachable.end(), vm) == unreachable.end())
            add(vm);
    }
    beginAdoption(entry.ownership, predecessors, this->transport.now());
    if (entry.ownership.state == OwnerState::Active) {
        this->startedBuckets.Increment();
        this->startLeases(entry, organisation);
        return;
    }
    this->continueAdoption(entry, organisation);
}

/// Asks the predecessors again and again until all have replied or the time for it is over.
void QuotaOwner::continueAdoption(Entry& entry, const std::string& organisation)
{
    const auto now = this->transport.now();
    if (now - entry.ownership.changedAt >= adoptionTimeout) {
        endAdoption(entry.ownership, entry.limit, now);
        this->flushPending(organisation);
        return;
    }
    this->askPredecessors(entry, organisation);
    entry.adoptionTimer = this->loop.after(adoptionRepeatDelay, [this, &entry, organisation] { this->continueAdoption(entry, organisation); });
}

void QuotaOwner::askPredecessors(const Entry& entry, const std::string& organisation)
{
    for (const auto& vm : entry.ownership.awaited) {
        if (const auto address = this->transport.addressOf(vm))
            this->transport.send(*address, organisation, ReleaseRequestMessage {});
    }
}

bool QuotaOwner::ranksBeforeSelf(std::string_view vm, std::string_view organisation)
{
    for (const auto& ranked : this->transport.ranking(organisation)) {
        if (ranked == vm)
            return true;
        if (ranked == this->transport.self())
            return false;
    }
    return false;
}

void QuotaOwner::onReleaseRequest(const Message& message)
{
    auto& entry = this->entries[message.organisation];
    auto release = releaseBucket(entry.ownership, { .vm = message.sender, .releasedBy = this->transport.self(), .ranksFirst = this->ranksBeforeSelf(message.sender, message.organisation), .releaseNumber = ++this->lastRelease }, entry.limit, this->roomOf(entry), this->transport.now());
    if (!release.wasHeld)
        release.number = repliesWithoutBucket;
    this->transport.send(message.replyTo, message.organisation, ReleaseMessage { .release = release });
    const bool isRepeated = release.number != this->lastRelease;
    if (release.wasHeld && !isRepeated)
        logEvent(LogLevel::Info, "quota.released", { { "organisation", message.organisation }, { "to", message.sender }, { "tokens", release.tokens } });
    this->flushPending(message.organisation);
}

void QuotaOwner::onRelease(const Message& message, const ReleaseMessage& content)
{
    auto& entry = this->entries[message.organisation];
    const auto now = this->transport.now();
    if (applyUnaskedRelease(entry.ownership, message.sender, content.release, now)) {
        this->adoptedBuckets.Increment();
        this->startLeases(entry, message.organisation);
        return;
    }
    const auto& voters = this->transport.voters(message.organisation);
    const bool isOfPreviousBuild = content.release.number == 0;
    if (isOfPreviousBuild && std::find(voters.begin(), voters.end(), message.sender) != voters.end())
        applyVoteWithoutLease(entry.ownership, message.sender, content.release, this->roomOf(entry), now);
    applyRelease(entry.ownership, message.sender, content.release, entry.limit, now);
    this->flushPending(message.organisation);
}

/// Handles the requests that waited for an adoption, once it has ended.
void QuotaOwner::flushPending(const std::string& organisation)
{
    auto& entry = this->entries[organisation];
    if (entry.ownership.state == OwnerState::Adopting || !entry.adoptionTimer)
        return;
    entry.adoptionTimer.reset();
    const bool isActive = entry.ownership.state == OwnerState::Active;
    const bool isAdopted = isActive && entry.ownership.adoptedTokens.has_value();
    if (isActive)
        (isAdopted ? this->adoptedBuckets : this->startedBuckets).Increment();
    if (this->mayLogChange(entry))
        logEvent(LogLevel::Info, "quota.owner", { { "organisation", organisation }, { "active", isActive }, { "adopted", isAdopted }, { "tokens", entry.ownership.owned.bucket.tokens }, { "limit_version", entry.limitVersion } });
    if (isActive)
        this->startLeases(entry, organisation);
    else
        this->servePending(entry);
}

void QuotaOwner::servePending(Entry& entry)
{
    for (const auto& pending : std::exchange(entry.pending, {}))
        this->onGrantRequest(pending.message, pending.request);
}

/// Asks the voters for the first leases; requests wait until they have replied, as without their leases the bucket counts as empty.
void QuotaOwner::startLeases(Entry& entry, const std::string& organisation)
{
    entry.isConfirming = true;
    entry.wasSupported = true;
    this->renewLeases(entry, organisation);
}

void QuotaOwner::endConfirmation(Entry& entry)
{
    entry.isConfirming = false;
    this->servePending(entry);
}

std::size_t QuotaOwner::countVoters(const Entry& entry) const
{
    const bool isDiscovering = this->transport.now() - this->startedAt < discoveryTime;
    const auto daemons = std::max<std::size_t>(this->transport.daemons(), isDiscovering ? entry.daemons : 0);
    return std::min(maximumVoters, daemons);
}

void QuotaOwner::askVoters(Entry& entry, const std::string& organisation)
{
    auto& ownership = entry.ownership;
    const auto now = this->transport.now();
    const auto& voters = this->transport.voters(organisation);
    setVoters(ownership.support, voters, this->countVoters(entry));
    ownership.askedVotersAt = now;
    reserveShares(ownership.shares, entry.limit, this->roomOf(entry), now);
    const LeaseRequestMessage request { .request = leaseRequest(ownership, now) };
    for (const auto& vm : voters) {
        const auto address = this->transport.addressOf(vm);
        if (!address)
            continue;
        this->leaseRequests.Increment();
        this->transport.send(*address, organisation, request);
    }
}

void QuotaOwner::renewLeases(Entry& entry, const std::string& organisation)
{
    auto& ownership = entry.ownership;
    const auto now = this->transport.now();
    if (ownership.state != OwnerState::Active) {
        entry.leaseTimer.reset();
        this->endConfirmation(entry);
        return;
    }
    if (entry.isConfirming && now - ownership.changedAt >= confirmationTime)
        this->endConfirmation(entry);
    if (const auto rival = rivalToYieldTo(ownership, this->transport.self(), now)) {
        if (this->mayLogChange(entry))
            logEvent(LogLevel::Info, "quota.yielded", { { "organisation", organisation }, { "to", *rival }, { "fraction", currentFraction(ownership.support, now) } });
        this->yieldedBuckets.Increment();
        yieldBucket(ownership, *rival, now);
        entry.leaseTimer.reset();
        return;
    }
    if (!entry.isConfirming)
        this->logSupport(entry, organisation);
    this->askVoters(entry, organisation);
    entry.leaseTimer = this->loop.after(entry.isConfirming ? confirmationRepeatDelay : leaseRenewal, [this, &entry, organisation] { this->renewLeases(entry, organisation); });
}

/// Bounds the lines about changes of the owner: a holder that does not reach the one with the votes asks others to take over again and again.
bool QuotaOwner::mayLogChange(Entry& entry) const
{
    const auto now = this->transport.now();
    if (now - entry.ownerLoggedAt < logInterval)
        return false;
    entry.ownerLoggedAt = now;
    return true;
}

/// Logs when an owner may no longer grant the whole limit, and when it may again.
void QuotaOwner::logSupport(Entry& entry, const std::string& organisation)
{
    const auto now = this->transport.now();
    const auto fraction = currentFraction(entry.ownership.support, now);
    const bool isSupported = fraction >= 1;
    if (isSupported == entry.wasSupported || now - entry.supportLoggedAt < logInterval)
        return;
    entry.wasSupported = isSupported;
    entry.supportLoggedAt = now;
    logEvent(isSupported ? LogLevel::Info : LogLevel::Warning, "quota.support", { { "organisation", organisation }, { "fraction", fraction }, { "voters", entry.ownership.support.voters } });
}

void QuotaOwner::onLeaseRequest(const Message& message, const LeaseRequestMessage& content)
{
    const auto now = this->transport.now();
    auto& vote = this->votes[message.organisation];
    vote.usedAt = now;
    const auto reply = grantLease(vote.lease, message.sender, content.request, this->bound.window, now);
    if (!reply.isGranted)
        this->refusedLeases.Increment();
    this->transport.send(message.replyTo, message.organisation, LeaseMessage { .reply = reply });
}

void QuotaOwner::onLease(const Message& message, const LeaseMessage& content)
{
    const auto found = this->entries.find(message.organisation);
    if (found == this->entries.end())
        return;
    auto& entry = found->second;
    applyVote(entry.ownership, message.sender, content.reply, this->roomOf(entry), this->transport.now());
    if (entry.isConfirming && haveAllReplied(entry.ownership.support))
        this->endConfirmation(entry);
}

void QuotaOwner::handOver()
{
    const auto now = this->transport.now();
    for (auto& [organisation, entry] : this->entries) {
        const auto& ranking = this->transport.ranking(organisation);
        const auto next = std::find_if(ranking.begin(), ranking.end(), [this](const auto& vm) { return vm != this->transport.self(); });
        const auto address = next == ranking.end() ? std::nullopt : this->transport.addressOf(*next);
        if (entry.ownership.state != OwnerState::Active || !address)
            continue;
        const auto release = releaseBucket(entry.ownership, { .vm = *next, .releasedBy = this->transport.self(), .ranksFirst = true, .releaseNumber = ++this->lastRelease }, entry.limit, this->roomOf(entry), now);
        this->transport.send(*address, organisation, ReleaseMessage { .release = release });
    }
}

void QuotaOwner::dropAll()
{
    for (auto& [organisation, entry] : this->entries)
        dropBucket(entry.ownership, this->transport.now());
}

void QuotaOwner::removeUnused()
{
    const auto now = this->transport.now();
    for (auto& [organisation, entry] : this->entries)
        forgetIdleHolders(entry.ownership.owned, now);
    std::erase_if(this->entries, [now](const auto& item) {
        const auto& ownership = item.second.ownership;
        const auto usedAt = std::max(ownership.changedAt, ownership.owned.lastUsedAt);
        return ownership.state != OwnerState::Adopting && now - usedAt > unusedTimeout;
    });
    std::erase_if(this->votes, [now](const auto& item) { return now - item.second.usedAt > unusedTimeout; });
}

}

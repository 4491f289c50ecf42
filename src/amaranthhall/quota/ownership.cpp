#include "amaranthhall/quota/ownership.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::quota {

namespace {

    constexpr std::size_t rememberedReleases = 16; // more than the daemons that hand one bucket on while a copy is under way

    void enter(Ownership& ownership, OwnerState state, Time now)
    {
        ownership.state = state;
        ownership.changedAt = now;
        ownership.awaited.clear();
    }

    std::uint64_t toMicroseconds(Time at)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count());
    }

    /// @param lent By earlier owners; std::nullopt if it is not known.
    void activate(Ownership& ownership, OwnedBucket owned, const std::optional<Lent>& lent, Time now)
    {
        enter(ownership, OwnerState::Active, now);
        ownership.owned = std::move(owned);
        ownership.support = Support();
        ownership.shares = Shares();
        ownership.shares.announcedFrom = now + demandMemory;
        if (!lent)
            noteUnknownShares(ownership.shares, now);
        else {
            ownership.shares.earlier = lent->perSecond;
            ownership.shares.earlierUntil = now + lent->lifetime;
        }
        ownership.isStarting = !ownership.adoptedTokens;
    }

    void release(Ownership& ownership, const Successor& successor, double tokens, Time now)
    {
        enter(ownership, OwnerState::Released, now);
        ownership.owned = OwnedBucket();
        ownership.successor = successor.vm;
        ownership.releasedTokens = tokens;
        ownership.releaseNumber = successor.releaseNumber;
    }

    /// Returns the lineage of a bucket whose present tenure ends.
    std::vector<Tenure> extendedLineage(const Ownership& ownership, std::string_view owner)
    {
        auto lineage = ownership.lineage;
        lineage.push_back({ .owner = std::string(owner), .startedAt = toMicroseconds(ownership.changedAt) });
        if (lineage.size() > maximumLineage)
            lineage.erase(lineage.begin());
        return lineage;
    }

    /// Records a release; returns false if it was received before.
    bool noteRelease(Ownership& ownership, const Release& release)
    {
        if (!release.wasHeld || release.number == 0)
            return true;
        auto& applied = ownership.appliedReleases;
        if (std::find(applied.begin(), applied.end(), release.number) != applied.end())
            return false;
        applied.push_back(release.number);
        if (applied.size() > rememberedReleases)
            applied.pop_front();
        return true;
    }

}

void beginAdoption(Ownership& ownership, const std::vector<std::string>& predecessors, Time now)
{
    ownership.adoptedTokens.reset();
    ownership.lineage.clear();
    if (predecessors.empty()) {
        activate(ownership, startBucket(now), std::nullopt, now);
        return;
    }
    enter(ownership, OwnerState::Adopting, now);
    ownership.awaited.insert(predecessors.begin(), predecessors.end());
    ownership.asked = ownership.awaited;
}

void applyRelease(Ownership& ownership, std::string_view predecessor, const Release& reply, const catalog::OperationLimit& limit, Time now)
{
    if (ownership.state != OwnerState::Adopting || ownership.awaited.erase(std::string(predecessor)) == 0)
        return;
    if (reply.isClaimed) {
        ownership.askedAt = now;
        release(ownership, { .vm = predecessor }, 0, now);
        return;
    }
    const bool isHandedOver = reply.wasHeld && noteRelease(ownership, reply); // its tokens are spent already if it was received before
    if (isHandedOver) {
        ownership.adoptedTokens = reply.tokens;
        ownership.lineage = reply.lineage;
        ownership.releasedLent = reply.lent;
    }
    if (isHandedOver || ownership.awaited.empty())
        endAdoption(ownership, limit, now);
}

bool applyUnaskedRelease(Ownership& ownership, std::string_view sender, const Release& release, Time now)
{
    const bool isOwner = ownership.state == OwnerState::Active || ownership.state == OwnerState::Adopting;
    // Without a number, the late reply of a daemon that was asked looks like the release of one that stops.
    const bool mayBeReply = release.number == 0 && ownership.asked.contains(std::string(sender)) && now - ownership.askedAt < releaseRepeatTime;
    if (isOwner || mayBeReply || !release.wasHeld || !noteRelease(ownership, release))
        return false;
    ownership.adoptedTokens = release.tokens;
    ownership.lineage = release.lineage;
    // The limit arrives with the first request.
    activate(ownership, { .bucket = { .tokens = release.tokens, .refilledAt = now }, .lastUsedAt = now }, release.lent, now);
    return true;
}

void endAdoption(Ownership& ownership, const catalog::OperationLimit& limit, Time now)
{
    if (ownership.state != OwnerState::Adopting)
        return;
    const auto adopted = ownership.adoptedTokens;
    ownership.askedAt = now;
    if (adopted)
        activate(ownership, adoptBucket(*adopted, limit, now), ownership.releasedLent, now);
    else
        activate(ownership, startBucket(now), std::nullopt, now);
}

catalog::OperationLimit accrue(Ownership& ownership, const catalog::OperationLimit& limit, const Room& room, Time now)
{
    const auto left = limitBesideShares(ownership.shares, limit, room, now);
    refillSupported(ownership.owned.bucket, ownership.support, left, now);
    const auto fraction = currentFraction(ownership.support, now);
    // Another owner may have had the whole limit, and announced shares of it.
    if (fraction <= 0)
        noteUnknownShares(ownership.shares, now);
    return scaleLimit(left, fraction);
}

LeaseRequest leaseRequest(const Ownership& ownership, Time now)
{
    return {
        .sentAt = toMicroseconds(now),
        .tenure = toMicroseconds(ownership.changedAt),
        .lineage = ownership.lineage,
        .lentPerSecond = std::max(ownership.shares.ownLent, ownership.shares.reserved),
        .isStarting = ownership.isStarting,
    };
}

void applyVote(Ownership& ownership, std::string_view voter, const LeaseReply& reply, const Room& room, Time now)
{
    const Time sentAt { std::chrono::microseconds(reply.sentAt) };
    const bool isCurrent = ownership.state == OwnerState::Active && sentAt >= ownership.changedAt && sentAt <= now;
    if (!isCurrent)
        return;
    applyLease(ownership.support, voter, reply, ownership.changedAt, sentAt, now);
    if (const auto lent = lentByEarlierOwners(ownership.support)) {
        ownership.shares.isEarlierUnknown = false;
        ownership.shares.earlier = std::max(ownership.shares.earlier, *lent);
    }
    if (!ownership.isStarting || !mayStart(ownership.support))
        return;
    ownership.isStarting = false;
    ownership.owned.startTokens = room.initialTokens;
}

void applyVoteWithoutLease(Ownership& ownership, std::string_view voter, const Release& reply, const Room& room, Time now)
{
    if (ownership.state != OwnerState::Active || ownership.askedVotersAt < ownership.changedAt)
        return;
    // The voter was an owner too; the bucket with fewer tokens applies. A repetition of an earlier release has been applied already.
    const bool wasOwner = reply.wasHeld && !(ownership.asked.contains(std::string(voter)) && now - ownership.askedAt < releaseRepeatTime);
    if (wasOwner && noteRelease(ownership, reply))
        ownership.owned.bucket.tokens = std::min(ownership.owned.bucket.tokens, std::max(0.0, reply.tokens));
    const auto request = leaseRequest(ownership, ownership.askedVotersAt);
    applyVote(ownership, voter, { .sentAt = request.sentAt, .isGranted = true, .isContinued = true, .mayStart = true }, room, now);
}

void yieldBucket(Ownership& ownership, const std::string& rival, Time now)
{
    release(ownership, { .vm = rival }, 0, now);
}

std::optional<std::string> rivalToYieldTo(const Ownership& ownership, std::string_view self, Time now)
{
    // Voters still name an owner that was killed until its leases have ended.
    const bool isSettled = now - ownership.changedAt >= leaseTime + 2 * leaseRenewal;
    if (ownership.state != OwnerState::Active || !isSettled)
        return std::nullopt;
    return strongerRival(ownership.support, self, now);
}

Release releaseBucket(Ownership& ownership, const Successor& successor, const catalog::OperationLimit& limit, const Room& room, Time now)
{
    const bool isRepeated = ownership.state == OwnerState::Released && ownership.successor == successor.vm && now - ownership.changedAt < releaseRepeatTime;
    if (isRepeated)
        return { .wasHeld = true, .tokens = ownership.releasedTokens, .lineage = ownership.releasedLineage, .lent = ownership.releasedLent, .number = ownership.releaseNumber };
    Release reply;
    if (ownership.state == OwnerState::Active) {
        const bool isConfirming = now - ownership.changedAt < confirmationTime; // the tokens that were handed over count without votes
        if (!isConfirming)
            static_cast<void>(accrue(ownership, limit, room, now));
        reply = { .wasHeld = true, .tokens = ownership.owned.bucket.tokens, .lineage = extendedLineage(ownership, successor.releasedBy), .lent = lentNow(ownership.shares, limit, now), .number = successor.releaseNumber };
        ownership.releasedLineage = reply.lineage;
        ownership.releasedLent = reply.lent;
    } else if (ownership.state == OwnerState::Adopting && !successor.ranksFirst)
        return { .isClaimed = true };
    else if (ownership.state != OwnerState::Adopting)
        return reply;
    release(ownership, successor, reply.tokens, now);
    return reply;
}

void dropBucket(Ownership& ownership, Time now)
{
    enter(ownership, OwnerState::None, now);
    ownership.owned = OwnedBucket();
}

bool isRedirecting(const Ownership& ownership, Time now) noexcept
{
    return ownership.state == OwnerState::Released && now - ownership.changedAt < releaseMemory;
}

}

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

    void activate(Ownership& ownership, OwnedBucket owned, Time now)
    {
        enter(ownership, OwnerState::Active, now);
        ownership.owned = std::move(owned);
    }

    void release(Ownership& ownership, const Successor& successor, double tokens, Time now)
    {
        enter(ownership, OwnerState::Released, now);
        ownership.owned = OwnedBucket();
        ownership.successor = successor.vm;
        ownership.releasedTokens = tokens;
        ownership.releaseNumber = successor.releaseNumber;
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

void beginAdoption(Ownership& ownership, const std::vector<std::string>& predecessors, const Room& room, Time now)
{
    ownership.adoptedTokens.reset();
    if (predecessors.empty()) {
        activate(ownership, startBucket(room, now), now);
        return;
    }
    enter(ownership, OwnerState::Adopting, now);
    ownership.awaited.insert(predecessors.begin(), predecessors.end());
    ownership.asked = ownership.awaited;
}

void applyRelease(Ownership& ownership, std::string_view predecessor, const Release& reply, const catalog::OperationLimit& limit, const Room& room, Time now)
{
    if (ownership.state != OwnerState::Adopting || ownership.awaited.erase(std::string(predecessor)) == 0)
        return;
    if (reply.isClaimed) {
        ownership.askedAt = now;
        release(ownership, { .vm = predecessor }, 0, now);
        return;
    }
    const bool isHandedOver = reply.wasHeld && noteRelease(ownership, reply); // its tokens are spent already if it was received before
    if (isHandedOver)
        ownership.adoptedTokens = reply.tokens;
    if (isHandedOver || ownership.awaited.empty())
        endAdoption(ownership, limit, room, now);
}

bool applyUnaskedRelease(Ownership& ownership, std::string_view sender, const Release& release, Time now)
{
    const bool isOwner = ownership.state == OwnerState::Active || ownership.state == OwnerState::Adopting;
    // Without a number, the late reply of a daemon that was asked looks like the release of one that stops.
    const bool mayBeReply = release.number == 0 && ownership.asked.contains(std::string(sender)) && now - ownership.askedAt < releaseRepeatTime;
    if (isOwner || mayBeReply || !release.wasHeld || !noteRelease(ownership, release))
        return false;
    // The limit arrives with the first request.
    activate(ownership, { .bucket = { .tokens = release.tokens, .refilledAt = now }, .lastUsedAt = now }, now);
    ownership.adoptedTokens = release.tokens;
    return true;
}

void endAdoption(Ownership& ownership, const catalog::OperationLimit& limit, const Room& room, Time now)
{
    if (ownership.state != OwnerState::Adopting)
        return;
    const auto adopted = ownership.adoptedTokens;
    ownership.askedAt = now;
    activate(ownership, adopted ? adoptBucket(*adopted, limit, now) : startBucket(room, now), now);
}

Release releaseBucket(Ownership& ownership, const Successor& successor, const catalog::OperationLimit& limit, Time now)
{
    const bool isRepeated = ownership.state == OwnerState::Released && ownership.successor == successor.vm && now - ownership.changedAt < releaseRepeatTime;
    if (isRepeated)
        return { .wasHeld = true, .tokens = ownership.releasedTokens, .number = ownership.releaseNumber };
    Release reply;
    if (ownership.state == OwnerState::Active) {
        refill(ownership.owned.bucket, limit, now);
        reply = { .wasHeld = true, .tokens = ownership.owned.bucket.tokens, .number = successor.releaseNumber };
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

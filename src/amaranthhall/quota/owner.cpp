#include "amaranthhall/quota/owner.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhall::quota {

namespace {

    constexpr double scarceFraction = 0.25; // of the burst; below it tokens are granted one at a time, so that none lie unused at a daemon

    /// Adds the tokens that the holder returns from its last grant.
    void creditReturned(OwnedBucket& owned, const Grant& last, const GrantRequest& request, const catalog::OperationLimit& limit)
    {
        owned.bucket.tokens = std::min(limit.burst, owned.bucket.tokens + std::min(request.returned, last.tokens));
    }

    std::uint32_t countGranted(const OwnedBucket& owned, const GrantRequest& request, const catalog::OperationLimit& limit)
    {
        const auto available = std::floor(owned.bucket.tokens + owned.startTokens);
        if (available < 1)
            return 0;
        const bool isScarce = owned.bucket.tokens < limit.burst * scarceFraction;
        const auto most = isScarce ? 1.0 : available;
        return static_cast<std::uint32_t>(std::min<double>(std::max(1U, request.wanted), most));
    }

}

Grant grantTokens(OwnedBucket& owned, const GrantRequest& request, const catalog::OperationLimit& limit, const Room& room, Time now)
{
    owned.lastUsedAt = now;
    refill(owned.bucket, limit, now);
    auto& [last, at] = owned.lastGrants[request.holder];
    at = now;
    if (request.sequence == last.sequence)
        return last;
    if (request.sequence < last.sequence)
        return { .sequence = request.sequence };
    creditReturned(owned, last, request, limit);
    last = { .sequence = request.sequence, .tokens = countGranted(owned, request, limit), .lifetime = room.grantLifetime };
    const auto fromStart = std::min<double>(owned.startTokens, last.tokens);
    owned.startTokens -= fromStart;
    owned.bucket.tokens -= last.tokens - fromStart;
    if (last.tokens == 0)
        last.retryAfter = timeUntil(owned.bucket, limit, 1);
    last.isUnsupported = last.tokens == 0 && limit.perSecond <= 0;
    return last;
}

void forgetIdleHolders(OwnedBucket& owned, Time now)
{
    std::erase_if(owned.lastGrants, [now](const auto& item) { return now - item.second.at > holderMemory; });
}

OwnedBucket startBucket(Time now)
{
    return { .bucket = { .refilledAt = now }, .lastUsedAt = now };
}

OwnedBucket adoptBucket(double tokens, const catalog::OperationLimit& limit, Time now)
{
    return { .bucket = { .tokens = std::clamp(tokens, 0.0, limit.burst), .refilledAt = now }, .lastUsedAt = now };
}

}

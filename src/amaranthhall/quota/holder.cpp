#include "amaranthhall/quota/holder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthhall::quota {

namespace {

    using namespace std::chrono_literals;

    constexpr double demandTimeConstant = 1.0; // s; of the moving average
    constexpr double grantedAhead = 0.15; // s of demand per request
    constexpr std::uint32_t askAheadDivisor = 3; // asks ahead when this part of the last grant is left
    constexpr std::uint32_t minimumGrantToAskAhead = 3; // a smaller grant would be returned unused more often than not
    constexpr Duration maximumRefusal = 50ms; // tokens return to the bucket when other daemons hand unused ones back

    void noteDemand(HeldTokens& held, Time now) noexcept
    {
        const auto elapsed = std::chrono::duration<double>(std::max(Duration::zero(), now - held.demandAt)).count();
        held.demandPerSecond = held.demandPerSecond * std::exp(-elapsed / demandTimeConstant) + 1 / demandTimeConstant;
        held.demandAt = now;
    }

    bool hasUsableToken(const HeldTokens& held, Time now) noexcept
    {
        return held.tokens > 0 && now < held.expiresAt;
    }

}

bool takeGranted(HeldTokens& held, Time now) noexcept
{
    if (!hasUsableToken(held, now))
        return false;
    --held.tokens;
    return true;
}

Step takeToken(HeldTokens& held, Time now) noexcept
{
    noteDemand(held, now);
    if (takeGranted(held, now))
        return Step::Admit;
    return now < held.refusedUntil ? Step::Refuse : Step::Wait;
}

bool shouldAskAhead(const HeldTokens& held, Time now) noexcept
{
    if (held.isAsking || held.granted < minimumGrantToAskAhead || now < held.refusedUntil)
        return false;
    return held.tokens <= held.granted / askAheadDivisor;
}

GrantRequest nextRequest(HeldTokens& held, std::uint32_t waiting, Time now)
{
    const auto ahead = static_cast<std::uint32_t>(std::floor(held.demandPerSecond * grantedAhead));
    GrantRequest request { .sequence = ++held.sequence, .wanted = std::max({ 1U, waiting, ahead }) };
    if (!hasUsableToken(held, now))
        held.unused += std::exchange(held.tokens, 0);
    request.returned = std::exchange(held.unused, 0);
    request.demandPerSecond = held.demandPerSecond;
    held.isAsking = true;
    held.askedAt = now;
    return request;
}

void applyGrant(HeldTokens& held, const Grant& grant) noexcept
{
    if (!held.isAsking || grant.sequence != held.sequence)
        return;
    held.isAsking = false;
    if (grant.share.lifetime > Duration::zero()) {
        held.share = grant.share;
        held.shareUntil = held.askedAt + grant.share.lifetime;
    }
    if (grant.tokens == 0) {
        held.refusedUntil = held.askedAt + std::min(grant.retryAfter, maximumRefusal);
        return;
    }
    held.unused += std::exchange(held.tokens, grant.tokens); // those of the previous grant expire sooner
    held.granted = grant.tokens;
    held.expiresAt = held.askedAt + grant.lifetime;
    held.refusedUntil = {};
}

bool takeIsolated(HeldTokens& held, const Room& room, const WindowBound& bound, double phase, Time now) noexcept
{
    const auto window = std::chrono::duration<double>(bound.window).count();
    const auto share = now < held.shareUntil ? held.share : Share {};
    // Half of the even part is there at once, the other half accrues within a window.
    const auto atOnce = room.isolatedTokens / 2;
    const auto perSecond = atOnce / window + share.perSecond;
    if (now - held.isolated.refilledAt >= bound.window)
        held.isolated = { .tokens = atOnce + phase, .refilledAt = now };
    refill(held.isolated, { .perSecond = perSecond, .burst = std::max(1.0, atOnce + share.burst) }, now);
    if (held.isolated.tokens < 1)
        return false;
    held.isolated.tokens -= 1;
    return true;
}

}

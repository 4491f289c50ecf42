#include "amaranthhall/quota/shares.hpp"

#include <algorithm>

namespace amaranthhall::quota {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration updateInterval = 50ms; // of the sum of the shares, which may then be counted too long, never too short
    constexpr double shareMargin = 2; // a share is at most this multiple of the demand, so that a rise of it is covered
    constexpr double demandMargin = 1.25; // of the limit, this multiple of the demand is not lent

    /// Returns the burst that belongs to a part of the rate of a limit, in seconds of the rate.
    double burstSeconds(const catalog::OperationLimit& limit) noexcept
    {
        return limit.perSecond > 0 ? std::min(1.0, limit.burst / limit.perSecond) : 0;
    }

    double announcedTo(const HolderShare& holder, Time now) noexcept
    {
        return std::max(now < holder.until ? holder.perSecond : 0, now < holder.laterUntil ? holder.laterPerSecond : 0);
    }

    double announcedToOthers(const Shares& shares, std::string_view vm, Time now) noexcept
    {
        double sum = 0;
        for (const auto& [other, holder] : shares.holders)
            sum += other == vm ? 0 : announcedTo(holder, now);
        return sum;
    }

    double earlierLent(const Shares& shares, const catalog::OperationLimit& limit, Time now) noexcept
    {
        if (now >= shares.earlierUntil)
            return 0;
        return shares.isEarlierUnknown ? limit.perSecond * maximumLent : shares.earlier;
    }

    void update(Shares& shares, const catalog::OperationLimit& limit, const Room& room, Time now) noexcept
    {
        shares.ownLent = std::max(0.0, announcedToOthers(shares, {}, now) - room.announcedPerSecond);
        shares.lent = earlierLent(shares, limit, now) + shares.ownLent;
        shares.updatedAt = now;
    }

    double demandOf(const Shares& shares, Time now) noexcept
    {
        double demand = 0;
        for (const auto& [vm, holder] : shares.holders)
            demand += now - holder.reportedAt <= demandMemory ? holder.demandPerSecond : 0;
        return demand;
    }

    double unusedLimit(const catalog::OperationLimit& limit, double demand) noexcept
    {
        return std::clamp(limit.perSecond - demand * demandMargin, 0.0, std::min(limit.perSecond * maximumLent, demand * shareMargin));
    }

}

void reserveShares(Shares& shares, const catalog::OperationLimit& limit, const Room& room, Time now) noexcept
{
    update(shares, limit, room, now);
    const bool mayAnnounce = now >= std::max(shares.announcedFrom, shares.earlierUntil);
    shares.reserved = mayAnnounce ? unusedLimit(limit, demandOf(shares, now)) : 0;
}

void noteUnknownShares(Shares& shares, Time now) noexcept
{
    shares.isEarlierUnknown = true;
    shares.earlierUntil = now + shareLifetime;
    shares.updatedAt = {};
}

std::optional<Share> announceShare(Shares& shares, std::string_view vm, double demandPerSecond, const catalog::OperationLimit& limit, const Room& room, bool isSupported, Time now)
{
    auto found = shares.holders.find(vm);
    if (found == shares.holders.end())
        found = shares.holders.emplace(vm, HolderShare {}).first;
    auto& own = found->second;
    own.demandPerSecond = demandPerSecond;
    own.reportedAt = now;
    if (!isSupported || now < std::max(shares.announcedFrom, shares.earlierUntil) || now - own.announcedAt < shareRenewal)
        return std::nullopt;
    std::erase_if(shares.holders, [now](const auto& item) { return now - item.second.reportedAt > demandMemory && announcedTo(item.second, now) <= 0; });
    const auto demand = demandOf(shares, now);
    const auto announced = room.announcedPerSecond + std::min(shares.reserved, unusedLimit(limit, demand));
    const auto left = std::max(0.0, announced - announcedToOthers(shares, vm, now));
    const auto perSecond = demand > 0 ? std::min({ announced * demandPerSecond / demand, demandPerSecond * shareMargin, left }) : 0;
    own.announcedAt = now;
    if (perSecond >= announcedTo(own, now)) {
        own.perSecond = perSecond;
        own.until = now + shareLifetime;
    } else {
        own.laterPerSecond = now < own.laterUntil ? std::max(own.laterPerSecond, perSecond) : perSecond;
        own.laterUntil = now + shareLifetime;
    }
    update(shares, limit, room, now);
    return Share { .perSecond = perSecond, .burst = perSecond * burstSeconds(limit), .lifetime = shareLifetime };
}

catalog::OperationLimit limitBesideShares(Shares& shares, const catalog::OperationLimit& limit, const Room& room, Time now) noexcept
{
    if (now - shares.updatedAt >= updateInterval)
        update(shares, limit, room, now);
    return { .perSecond = std::max(0.0, limit.perSecond - shares.lent), .burst = std::max(0.0, limit.burst - shares.lent * burstSeconds(limit)) };
}

Lent lentNow(const Shares& shares, const catalog::OperationLimit& limit, Time now) noexcept
{
    Lent lent;
    if (now < shares.earlierUntil)
        lent = { .perSecond = earlierLent(shares, limit, now), .lifetime = shares.earlierUntil - now };
    for (const auto& [vm, holder] : shares.holders) {
        if (announcedTo(holder, now) <= 0)
            continue;
        lent.perSecond += announcedTo(holder, now);
        lent.lifetime = std::max({ lent.lifetime, holder.until - now, holder.laterUntil - now });
    }
    return lent;
}

}

#include "amaranthhall/quota/room.hpp"

#include <algorithm>

namespace amaranthhall::quota {

namespace {

    constexpr double parts = 4; // see Room
    constexpr double partsForStarts = 2;
    constexpr double minimumGrantLifetime = 0.01; // s; a shorter one ends before its grant has reached the daemon that asked
    constexpr double maximumGrantLifetime = 0.3; // s; a longer one saves no messages, as daemons ask for the demand of a shorter time

}

double roomAbove(const catalog::OperationLimit& limit, const WindowBound& bound) noexcept
{
    const auto window = std::chrono::duration<double>(bound.window).count();
    return (limit.perSecond * window + limit.burst) * bound.excess + bound.slack;
}

Room divideRoom(const catalog::OperationLimit& limit, const WindowBound& bound, std::size_t daemons) noexcept
{
    const auto part = roomAbove(limit, bound) / parts;
    const auto lifetime = limit.perSecond > 0 ? std::clamp(part / limit.perSecond, minimumGrantLifetime, maximumGrantLifetime) : maximumGrantLifetime;
    return {
        .grantLifetime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(lifetime)),
        .initialTokens = std::min(limit.burst, part * partsForStarts / startsPerWindow),
        .isolatedTokens = part / 2 / static_cast<double>(std::max<std::size_t>(1, daemons)),
        .announcedPerSecond = part / 2 / std::chrono::duration<double>(bound.window).count(),
    };
}

}

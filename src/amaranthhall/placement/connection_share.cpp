#include "amaranthhall/placement/connection_share.hpp"

#include <algorithm>

namespace amaranthhall::placement {

namespace {

    constexpr std::uint32_t maximumWarm = 2;
    constexpr std::uint32_t nonSharerLimit = 2; // for a daemon that reaches no sharer: one for work, one for an idle open transaction

}

ConnectionShare shareConnections(std::uint32_t connections, std::size_t sharers) noexcept
{
    if (sharers == 0)
        return { .limit = nonSharerLimit };
    const auto evenShare = static_cast<std::uint32_t>(connections / 2 / sharers);
    const auto share = std::max(1U, evenShare);
    // Transactions are distributed unevenly, so a daemon may temporarily open more than its even share.
    const auto burst = share / 2;
    return { .warm = std::min(maximumWarm, share - burst), .limit = share + burst };
}

ConnectionShare limitAfterStart(const ConnectionShare& share, std::uint32_t connections, std::size_t sharers) noexcept
{
    if (sharers == 0)
        return share;
    const auto whole = static_cast<std::uint32_t>(connections / sharers);
    const auto limit = std::max(1U, whole > share.limit ? whole - share.limit : 1U);
    return { .warm = std::min(1U, share.warm), .limit = std::min(share.limit, limit) };
}

std::uint32_t transactionLimit(const ConnectionShare& share) noexcept
{
    constexpr std::uint32_t reservedFraction = 4; // one in four, at least one
    if (share.limit <= 1)
        return share.limit;
    return share.limit - std::max(1U, share.limit / reservedFraction);
}

bool mayOpenAnother(const OpeningInputs& inputs) noexcept
{
    return inputs.openings == 0 || inputs.running + inputs.openings + inputs.runningOfOthers < std::max(1U, inputs.slots);
}

bool isNextToOpen(const OpeningDemand& own, std::span<const OpeningDemand> others) noexcept
{
    return own.uncovered() > 0 && std::all_of(others.begin(), others.end(), [&own](const OpeningDemand& other) { return other.uncovered() <= own.uncovered(); });
}

}

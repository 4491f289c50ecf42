#include "amaranthhall/budget/decision.hpp"

#include <algorithm>
#include <tuple>

namespace amaranthhall::budget {

namespace {

    // Parts of the capacity, in eighths.
    constexpr std::uint64_t parts = 8;
    constexpr std::uint64_t pressureParts = 4;
    constexpr std::uint64_t slotParts = 6;
    constexpr std::uint64_t closeParts = 7;
    constexpr Duration shortestQuiet = std::chrono::seconds(1); // a connection that is replaced sooner had no chance to send a request

    std::uint64_t partOf(const AccountState& account, std::uint64_t eighths)
    {
        return account.capacity / parts * eighths;
    }

    bool isStalled(const HolderState& holder)
    {
        const bool isContended = holder.hasSlot && holder.isAwaited;
        if (isContended)
            return holder.isUnfinished && holder.idle >= contendedProgressTimeout;
        return holder.isUnfinished && holder.idle >= (holder.hasUnreadReplies ? replyProgressTimeout : messageProgressTimeout);
    }

    bool isSlow(const HolderState& holder)
    {
        return holder.isUnfinished && holder.hasSlot && holder.isAwaited && holder.slotAge >= contendedMessageTime;
    }

}

std::string_view nameOf(Reason reason) noexcept
{
    switch (reason) {
    case Reason::Memory:
        return "memory";
    case Reason::NoProgress:
        return "no_progress";
    case Reason::SlowInContention:
        return "slow_in_contention";
    }
    return "";
}

bool isUnderPressure(const AccountState& account) noexcept
{
    return account.used >= partOf(account, pressureParts);
}

bool isNearlyFull(const AccountState& account) noexcept
{
    return account.used >= partOf(account, closeParts);
}

bool mayGiveSlot(const AccountState& account, std::size_t given) noexcept
{
    return given == 0 || account.used + slotBytes <= partOf(account, slotParts);
}

std::vector<Closure> decideClosures(const AccountState& account, std::span<const HolderState> holders)
{
    std::vector<Closure> closures;
    std::vector<std::size_t> candidates;
    auto used = account.used;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const auto& holder = holders[i];
        if (isStalled(holder) || isSlow(holder)) {
            closures.push_back({ .holder = i, .reason = isStalled(holder) ? Reason::NoProgress : Reason::SlowInContention });
            used -= std::min(used, holder.bytes);
        } else if (holder.kind == HolderKind::Caller || (holder.isUnfinished && holder.idle >= contendedProgressTimeout))
            candidates.push_back(i);
    }
    if (!isNearlyFull({ .used = used, .capacity = account.capacity }))
        return closures;
    std::sort(candidates.begin(), candidates.end(), [&](auto left, auto right) { return std::tie(holders[left].bytes, holders[left].idle) > std::tie(holders[right].bytes, holders[right].idle); });
    for (const auto candidate : candidates) {
        if (!isUnderPressure({ .used = used, .capacity = account.capacity }))
            break;
        closures.push_back({ .holder = candidate, .reason = Reason::Memory });
        used -= std::min(used, holders[candidate].bytes);
    }
    return closures;
}

std::vector<std::size_t> chooseReplaced(std::span<const ConnectionState> connections, std::size_t count)
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].isIdle && connections[i].quiet >= shortestQuiet)
            chosen.push_back(i);
    }
    const auto goesBefore = [&](auto left, auto right) { return std::tuple(connections[right].hasServed, connections[left].quiet) > std::tuple(connections[left].hasServed, connections[right].quiet); };
    const auto kept = std::min(chosen.size(), count);
    std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(kept), chosen.end(), goesBefore);
    chosen.resize(kept);
    return chosen;
}

}

#include "amaranthhall/group/failover_attempt.hpp"

#include <algorithm>
#include <tuple>

namespace amaranthhall::group {

namespace {

    bool isBetter(const FenceAcceptance& left, const FenceAcceptance& right) noexcept
    {
        if (left.last != right.last)
            return left.last > right.last;
        return std::tie(left.isDraining, left.upstream) < std::tie(right.isDraining, right.upstream);
    }

}

std::optional<std::string> recordFenceAcceptance(FailoverAttempt& attempt, FenceAcceptance acceptance)
{
    const auto isSame = [&](const FenceAcceptance& existing) { return existing.upstream == acceptance.upstream; };
    if (attempt.phase != FailoverPhase::Fencing || acceptance.upstream == attempt.excluded || std::ranges::any_of(attempt.acceptances, isSame))
        return std::nullopt;
    attempt.acceptances.push_back(std::move(acceptance));
    if (attempt.acceptances.size() * 2 <= attempt.groupSize)
        return std::nullopt;
    attempt.candidate = std::ranges::min_element(attempt.acceptances, isBetter)->upstream;
    attempt.phase = FailoverPhase::Promoting;
    return attempt.candidate;
}

bool recordFenceRefusal(FailoverAttempt& attempt) noexcept
{
    ++attempt.refusals;
    return (attempt.groupSize - std::min(attempt.refusals, attempt.groupSize)) * 2 <= attempt.groupSize;
}

bool isCurrent(const FailoverAttempt& attempt, Term term, FailoverPhase phase) noexcept
{
    return attempt.term == term && attempt.phase == phase;
}

}

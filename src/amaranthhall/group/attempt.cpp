#include "amaranthhall/group/attempt.hpp"

#include <algorithm>
#include <tuple>

namespace amaranthhall::group {

namespace {

    bool isBetter(const FenceVote& left, const FenceVote& right) noexcept
    {
        if (left.last != right.last)
            return left.last > right.last;
        return std::tie(left.leaving, left.upstream) < std::tie(right.leaving, right.upstream);
    }

}

std::optional<std::string> takeFence(Attempt& attempt, FenceVote vote)
{
    const auto isSame = [&](const FenceVote& known) { return known.upstream == vote.upstream; };
    if (attempt.phase != AttemptPhase::Fencing || vote.upstream == attempt.excluded || std::ranges::any_of(attempt.votes, isSame))
        return std::nullopt;
    attempt.votes.push_back(std::move(vote));
    if (attempt.votes.size() * 2 <= attempt.groupSize)
        return std::nullopt;
    attempt.candidate = std::ranges::min_element(attempt.votes, isBetter)->upstream;
    attempt.phase = AttemptPhase::Promoting;
    return attempt.candidate;
}

bool isCurrent(const Attempt& attempt, Term term, AttemptPhase phase) noexcept
{
    return attempt.term == term && attempt.phase == phase;
}

}

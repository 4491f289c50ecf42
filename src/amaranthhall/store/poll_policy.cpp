#include "amaranthhall/store/poll_policy.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhall::store {

namespace {

    constexpr double firstRankFraction = 0.5; // of the maximum age
    constexpr double otherRanksFraction = 0.62; // leaves time for the answer of the first daemon to reach the others
    constexpr double doublingsToMaximum = 8; // the ranks from 255 on ask at the maximum age

    Duration fractionOf(Duration whole, double fraction) noexcept
    {
        return std::chrono::duration_cast<Duration>(whole * fraction);
    }

    Duration retryInterval(unsigned failures) noexcept
    {
        constexpr unsigned maximumDoublings = 10;
        return std::min<Duration>(maximumRetryInterval, firstRetryInterval * (1U << std::min(failures - 1, maximumDoublings)));
    }

    /// Returns the least time between the last poll and the next one, whatever the age of the copy.
    Duration pollInterval(const PollInput& input) noexcept
    {
        const auto afterLast = input.failures > 0 ? retryInterval(input.failures) : minimumPollInterval;
        return input.pending > 0 ? std::max(hedgeDelay, afterLast) : afterLast;
    }

}

Duration pollAge(const PollPolicy& policy, std::size_t rank) noexcept
{
    if (rank == 0)
        return fractionOf(policy.maximumAge, firstRankFraction);
    const auto doublings = std::min(doublingsToMaximum, std::log2(1 + static_cast<double>(rank)));
    return fractionOf(policy.maximumAge, otherRanksFraction + (1 - otherRanksFraction) * doublings / doublingsToMaximum);
}

Duration timeUntilPoll(const PollPolicy& policy, const PollInput& input) noexcept
{
    if (input.pending >= maximumPendingPolls)
        return hedgeDelay;
    const auto untilInterval = input.sinceLastPoll ? pollInterval(input) - *input.sinceLastPoll : Duration::zero();
    const auto untilAge = input.age ? pollAge(policy, input.rank) - *input.age : Duration::zero();
    return std::max(untilInterval, untilAge);
}

}

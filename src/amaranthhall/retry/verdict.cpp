#include "amaranthhall/retry/verdict.hpp"

#include <algorithm>
#include <array>

namespace amaranthhall::retry {

namespace {

    constexpr unsigned maximumRetries = 5;

    // Shutting down, crashed, starting, too many connections, read-only, serialization failure, deadlock.
    constexpr auto transientStates = std::to_array<std::string_view>({ "57P01", "57P02", "57P03", "53300", "25006", "40001", "40P01" });

    Decision retryOr(Decision otherwise, const Outcome& outcome, Budget& budget)
    {
        const bool mayRetry = !outcome.expired && !outcome.inTransaction && outcome.bytesGiven == 0 && outcome.retries < maximumRetries;
        return mayRetry && withdraw(budget) ? Decision::Retry : otherwise;
    }

    Decision decideLost(const Outcome& outcome, Budget& budget)
    {
        if (!outcome.sent || !outcome.writes || !outcome.commits)
            return retryOr(Decision::NotRun, outcome, budget);
        return outcome.keyed ? retryOr(Decision::OutcomeUnknown, outcome, budget) : Decision::OutcomeUnknown;
    }

}

bool isTransient(std::string_view sqlstate) noexcept
{
    return std::find(transientStates.begin(), transientStates.end(), sqlstate) != transientStates.end();
}

Decision decide(const Outcome& outcome, Budget& budget)
{
    if (outcome.lost)
        return decideLost(outcome, budget);
    if (outcome.transient || isTransient(outcome.sqlstate))
        return retryOr(Decision::Answer, outcome, budget);
    return Decision::Answer;
}

}

#include "amaranthhall/retry/decision.hpp"

#include <algorithm>
#include <array>

namespace amaranthhall::retry {

namespace {

    constexpr unsigned maximumRetries = 5;

    // Shutting down, crashed, starting, too many connections, read-only, serialization failure, deadlock.
    constexpr auto transientStates = std::to_array<std::string_view>({ "57P01", "57P02", "57P03", "53300", "25006", "40001", "40P01" });

    Decision retryOr(Decision fallback, const Outcome& outcome, Budget& budget)
    {
        const bool isRetriable = !outcome.deadlineExpired && !outcome.inTransaction && outcome.bytesDelivered == 0 && outcome.retries < maximumRetries;
        return isRetriable && withdraw(budget) ? Decision::Retry : fallback;
    }

    Decision decideLost(const Outcome& outcome, Budget& budget)
    {
        if (!outcome.sent || !outcome.writes || !outcome.commits)
            return retryOr(Decision::NotRun, outcome, budget);
        return outcome.idempotent ? retryOr(Decision::OutcomeUnknown, outcome, budget) : Decision::OutcomeUnknown;
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
        return retryOr(Decision::ForwardReply, outcome, budget);
    return Decision::ForwardReply;
}

}

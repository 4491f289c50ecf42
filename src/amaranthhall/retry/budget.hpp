#pragma once

namespace amaranthhall::retry {

/// @brief Bounds of a retry budget, in retries.
struct BudgetOptions {
    double share { 0.1 }; ///< Retries that each success pays for.
    double limit { 20 }; ///< Retries that may be saved up.
};

/// @brief Token bucket that keeps retries a share of successes, so that they never amplify an outage.
struct Budget {
    BudgetOptions options;
    double tokens { options.limit };
};

/// @brief Takes in a success.
inline void deposit(Budget& budget) noexcept
{
    budget.tokens += budget.options.share;
    if (budget.tokens > budget.options.limit)
        budget.tokens = budget.options.limit;
}

/// @brief Takes out one retry; gives false if none is left.
[[nodiscard]] inline bool withdraw(Budget& budget) noexcept
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

}

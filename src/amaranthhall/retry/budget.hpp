#pragma once

namespace amaranthhall::retry {

/// @brief Bounds of a retry budget, in retries.
struct BudgetOptions {
    double share { 0.1 }; ///< Retries earned by each success.
    double limit { 20 }; ///< Maximum number of retries that can accumulate.
};

/// @brief Token bucket that limits retries to a share of successes, so that retries do not amplify an outage.
struct Budget {
    BudgetOptions options;
    double tokens { options.limit };
};

/// @brief Adds the tokens earned by a success.
inline void deposit(Budget& budget) noexcept
{
    budget.tokens += budget.options.share;
    if (budget.tokens > budget.options.limit)
        budget.tokens = budget.options.limit;
}

/// @brief Takes the token for one retry; returns false if there is none.
[[nodiscard]] inline bool withdraw(Budget& budget) noexcept
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

}

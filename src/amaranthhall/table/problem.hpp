#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace amaranthhall::table {

/// @brief What is wrong with one cell or row of an edit.
struct Problem {
    std::size_t line { 0 }; ///< 1-based line of the file; 0 if the rows came from elsewhere.
    std::string row; ///< Such as `upstream coach-ledger/1/a`; empty if the whole table is meant.
    std::string column; ///< Empty if the whole row is meant.
    std::string text;

    friend bool operator==(const Problem&, const Problem&) = default;
};

/// @brief All that is wrong with an edit; nothing of it is applied.
using Problems = std::vector<Problem>;

/// @brief Formats a problem as `line 4: upstream coach-ledger/1/a: weight: ...`.
[[nodiscard]] std::string formatProblem(const Problem& problem);

/// @brief Formats problems one to a line.
[[nodiscard]] std::string formatProblems(std::span<const Problem> problems);

}

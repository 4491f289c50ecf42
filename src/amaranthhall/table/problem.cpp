#include "amaranthhall/table/problem.hpp"

namespace amaranthhall::table {

std::string formatProblem(const Problem& problem)
{
    std::string text;
    if (problem.line > 0)
        text += "line " + std::to_string(problem.line) + ": ";
    if (!problem.row.empty())
        text += problem.row + ": ";
    if (!problem.column.empty())
        text += problem.column + ": ";
    return text + problem.text;
}

std::string formatProblems(std::span<const Problem> problems)
{
    std::string text;
    for (const auto& problem : problems)
        text += (text.empty() ? "" : "\n") + formatProblem(problem);
    return text;
}

}

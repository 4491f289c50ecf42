#include "amaranthhall/session/work.hpp"

#include <algorithm>

namespace amaranthhall::session {

bool isReadOnly(const statement::Classification& statement) noexcept
{
    switch (statement.kind) {
    case statement::StatementKind::Read:
    case statement::StatementKind::Set:
    case statement::StatementKind::Show:
    case statement::StatementKind::Deallocate:
    case statement::StatementKind::Empty:
        return true;
    default:
        return false;
    }
}

bool runs(const Step& step) noexcept
{
    return step.query.kind == upstream::QueryKind::Execute || step.query.kind == upstream::QueryKind::ExecutePrepared;
}

bool runsKind(const Work& work, statement::StatementKind kind) noexcept
{
    return std::any_of(work.steps.begin(), work.steps.end(), [kind](const Step& step) { return step.statement.kind == kind && runs(step); });
}

bool changesData(const Work& work) noexcept
{
    using statement::StatementKind;
    for (const auto kind : { StatementKind::Write, StatementKind::SessionState, StatementKind::Unparsable }) {
        if (runsKind(work, kind))
            return true;
    }
    return work.isCopy && work.steps.front().statement.isCopyIn;
}

bool isReadOnly(const Work& work) noexcept
{
    return std::all_of(work.steps.begin(), work.steps.end(), [](const Step& step) { return isReadOnly(step.statement); });
}

bool mayCommit(const Work& work) noexcept
{
    return runsKind(work, statement::StatementKind::Commit) || runsKind(work, statement::StatementKind::Unparsable);
}

}

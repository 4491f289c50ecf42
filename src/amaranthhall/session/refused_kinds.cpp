#include "amaranthhall/session/refused_kinds.hpp"

#include "amaranthhall/session/session_parameters.hpp"

namespace amaranthhall::session {

using statement::StatementKind;

std::optional<pgwire::ErrorFields> refuseKind(const statement::Classification& statement, bool inTransaction)
{
    switch (statement.kind) {
    case StatementKind::Forbidden:
        return pgwire::makeError("ERROR", "42501", "not run: the control functions of upstreams are not for callers");
    case StatementKind::Unsupported:
        return pgwire::makeError("ERROR", "0A000", "not run: AND CHAIN, and COPY of a query that may write, are not supported");
    case StatementKind::SessionState:
        if (inTransaction)
            return std::nullopt;
        return pgwire::makeError("ERROR", "0A000", "not run: the statement leaves state on the connection, which the session keeps only within a transaction");
    default:
        return std::nullopt;
    }
}

bool isOwnStatement(const statement::Classification& statement) noexcept
{
    if (statement.kind == StatementKind::Set || statement.kind == StatementKind::Show)
        return isOwnParameter(statement.assignment.name);
    return statement.kind == StatementKind::Deallocate;
}

}

#include "amaranthhall/session/session_metrics.hpp"

namespace amaranthhall::session {

namespace {

    constexpr auto verdictName = "amaranthhall_verdicts_total";
    constexpr auto verdictHelp = "Ends of statements, by what the caller was told.";
    constexpr auto statementName = "amaranthhall_statements_total";
    constexpr auto statementHelp = "Statements received, by kind.";

}

SessionMetrics::SessionMetrics(telemetry::Metrics& metrics)
    : open(metrics.gauge("amaranthhall_sessions_open", "Callers connected now."))
    , answered(metrics.counter(verdictName, verdictHelp, { { "verdict", "answered" } }))
    , notRun(metrics.counter(verdictName, verdictHelp, { { "verdict", "not_run" } }))
    , outcomeUnknown(metrics.counter(verdictName, verdictHelp, { { "verdict", "outcome_unknown" } }))
    , retried(metrics.counter("amaranthhall_retries_total", "Attempts after the first."))
    , queued(metrics.durationHistogram("amaranthhall_queue_seconds", "Time from a statement's receipt until it has a link."))
    , reads(metrics.counter(statementName, statementHelp, { { "kind", "read" } }))
    , writes(metrics.counter(statementName, statementHelp, { { "kind", "write" } }))
    , transactions(metrics.counter(statementName, statementHelp, { { "kind", "transaction" } }))
    , others(metrics.counter(statementName, statementHelp, { { "kind", "other" } }))
{
}

void SessionMetrics::countStatement(statement::StatementKind kind) const
{
    switch (kind) {
    case statement::StatementKind::Read:
        this->reads.Increment();
        break;
    case statement::StatementKind::Write:
    case statement::StatementKind::Copy:
    case statement::StatementKind::Unparsable:
        this->writes.Increment();
        break;
    case statement::StatementKind::Begin:
    case statement::StatementKind::Commit:
    case statement::StatementKind::Rollback:
    case statement::StatementKind::Savepoint:
        this->transactions.Increment();
        break;
    default:
        this->others.Increment();
        break;
    }
}

}

#include "amaranthhall/session/statement_trace.hpp"

namespace amaranthhall::session {

void StatementTrace::begin(const Work& work)
{
    if (!this->tracer || !this->tracer->isEnabled())
        return;
    const auto parent = work.steps.empty() ? std::nullopt : telemetry::findTraceparent(work.steps.back().query.text);
    this->whole = this->tracer->startSpan("caller.statement", parent);
    this->whole.tag("steps", static_cast<std::int64_t>(work.steps.size()));
}

void StatementTrace::enterHop(std::string_view name)
{
    this->hop.finish();
    if (const auto parent = this->whole.context())
        this->hop = this->tracer->startSpan(name, parent);
}

void StatementTrace::end(bool succeeded)
{
    this->hop.finish();
    this->whole.tag("succeeded", succeeded ? "true" : "false");
    this->whole.finish();
}

}

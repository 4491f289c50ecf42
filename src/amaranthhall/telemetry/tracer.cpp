#include "amaranthhall/telemetry/tracer.hpp"

#include "amaranthhall/telemetry/json_tracer.hpp"

#include <stdexcept>

namespace amaranthhall::telemetry {

void Span::tag(std::string_view name, std::string_view value)
{
    if (this->span)
        this->span->SetTag({ name.data(), name.size() }, std::string(value));
}

void Span::tag(std::string_view name, std::int64_t value)
{
    if (this->span)
        this->span->SetTag({ name.data(), name.size() }, value);
}

std::optional<TraceContext> Span::context() const
{
    if (!this->span)
        return std::nullopt;
    return static_cast<const JsonSpanContext&>(this->span->context()).context();
}

Tracer::Tracer(const std::string& file)
{
    if (file.empty())
        return;
    this->stream.open(file, std::ios::app);
    if (!this->stream)
        throw std::runtime_error(file + ": cannot open the trace file");
    std::random_device source;
    this->tracer = std::make_shared<JsonTracer>([this](std::string_view line) { this->stream << line << '\n'
                                                                                             << std::flush; },
        Random((static_cast<std::uint64_t>(source()) << 32U) | source()));
}

Span Tracer::startSpan(std::string_view operation, const std::optional<TraceContext>& parent) const
{
    if (!this->tracer)
        return Span();
    const opentracing::string_view name(operation.data(), operation.size());
    if (!parent)
        return Span(this->tracer->StartSpan(name));
    const JsonSpanContext context(*parent);
    return Span(this->tracer->StartSpan(name, { opentracing::ChildOf(&context) }));
}

}

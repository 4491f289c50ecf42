#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/telemetry/trace_context.hpp"

#include <functional>
#include <memory>
#include <opentracing/tracer.h>
#include <string>
#include <string_view>

namespace amaranthhall::telemetry {

/// @brief Adapts a TraceContext to OpenTracing's SpanContext interface.
class JsonSpanContext final : public opentracing::SpanContext {
public:
    explicit JsonSpanContext(TraceContext traceContext)
        : traceContext(std::move(traceContext))
    {
    }

    void ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const override { }
    [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override { return std::make_unique<JsonSpanContext>(this->traceContext); }
    [[nodiscard]] std::string ToTraceID() const noexcept override { return this->traceContext.traceId; }
    [[nodiscard]] std::string ToSpanID() const noexcept override { return this->traceContext.spanId; }

    [[nodiscard]] const TraceContext& context() const noexcept { return this->traceContext; }

private:
    TraceContext traceContext;
};

/// @brief OpenTracing tracer that records spans as JSON lines.
class JsonTracer final : public opentracing::Tracer, public std::enable_shared_from_this<JsonTracer> {
public:
    /// @brief Receives one finished span as a JSON line without the line terminator.
    using Recorder = std::function<void(std::string_view line)>;

    JsonTracer(Recorder recorder, Random random);

    [[nodiscard]] std::unique_ptr<opentracing::Span> StartSpanWithOptions(opentracing::string_view operation, const opentracing::StartSpanOptions& options) const noexcept override;

    opentracing::expected<void> Inject(const opentracing::SpanContext& context, std::ostream& writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream& reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(const opentracing::TextMapReader& reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(const opentracing::HTTPHeadersReader& reader) const override;

    /// @brief Passes a finished span to the recorder.
    void record(std::string_view line) const { this->recorder(line); }

private:
    Recorder recorder;
    mutable Random random;
};

}

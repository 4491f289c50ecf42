#pragma once

#include "amaranthhall/kernel/service.hpp"
#include "amaranthhall/telemetry/trace_context.hpp"

#include <cstdint>
#include <fstream>
#include <memory>
#include <opentracing/tracer.h>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::telemetry {

/// @brief One operation in the trace of a statement; ends on destruction. Does nothing if tracing is disabled.
class Span {
public:
    Span() noexcept = default;
    explicit Span(std::unique_ptr<opentracing::Span> started) noexcept
        : span(std::move(started))
    {
    }

    /// @brief Adds a tag; use values from bounded sets, never statement text.
    void tag(std::string_view name, std::string_view value);
    void tag(std::string_view name, std::int64_t value);

    /// @brief Returns the context to propagate to child spans, or nothing if tracing is disabled.
    [[nodiscard]] std::optional<TraceContext> context() const;

    /// @brief Ends the span.
    void finish() { this->span.reset(); }

private:
    std::unique_ptr<opentracing::Span> span;
};

/// @brief Starts spans and writes them as JSON lines. Registered as service `tracer`.
class Tracer final : public kernel::Service {
public:
    /// @brief Opens a trace file for appending; an empty name disables tracing. Throws std::runtime_error if the file cannot be opened.
    explicit Tracer(const std::string& file);

    [[nodiscard]] std::string_view name() const noexcept override { return "tracer"; }

    /// @brief Returns whether spans are recorded.
    [[nodiscard]] bool isEnabled() const noexcept { return this->tracer != nullptr; }

    /// @brief Starts a child span of the parent, or the root span of a new trace if there is no parent.
    [[nodiscard]] Span startSpan(std::string_view operation, const std::optional<TraceContext>& parent = std::nullopt) const;

private:
    std::ofstream stream;
    std::shared_ptr<opentracing::Tracer> tracer;
};

}

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

/// @brief One hop of a statement; it ends when it is destroyed. Does nothing where tracing is off.
class Span {
public:
    Span() noexcept = default;
    explicit Span(std::unique_ptr<opentracing::Span> started) noexcept
        : span(std::move(started))
    {
    }

    /// @brief Adds a tag; values come from bounded sets, never statement text.
    void tag(std::string_view name, std::string_view value);
    void tag(std::string_view name, std::int64_t value);

    /// @brief Gives the place in the trace, to be passed on; nothing where tracing is off.
    [[nodiscard]] std::optional<TraceContext> context() const;

    /// @brief Ends the span.
    void finish() { this->span.reset(); }

private:
    std::unique_ptr<opentracing::Span> span;
};

/// @brief Starts spans and writes them as JSON lines. Registered as service `tracer`.
class Tracer final : public kernel::Service {
public:
    /// @brief Opens a trace file for appending; an empty name turns tracing off. Throws std::runtime_error if it cannot be opened.
    explicit Tracer(const std::string& file);

    [[nodiscard]] std::string_view name() const noexcept override { return "tracer"; }

    /// @brief Tells whether spans are recorded.
    [[nodiscard]] bool isEnabled() const noexcept { return this->tracer != nullptr; }

    /// @brief Starts a span below a parent, or a trace of its own.
    [[nodiscard]] Span startSpan(std::string_view operation, const std::optional<TraceContext>& parent = std::nullopt) const;

private:
    std::ofstream stream;
    std::shared_ptr<opentracing::Tracer> tracer;
};

}

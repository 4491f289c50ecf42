#pragma once

#include "amaranthhall/session/work.hpp"
#include "amaranthhall/telemetry/tracer.hpp"

#include <cstdint>
#include <string_view>

namespace amaranthhall::session {

/// @brief The spans of one work: one for the whole, and below it one for each hop, one after the other.
class StatementTrace {
public:
    /// @brief Builds a trace; without a tracer all calls do nothing.
    explicit StatementTrace(const telemetry::Tracer* tracer) noexcept
        : tracer(tracer)
    {
    }

    /// @brief Begins the work's span, below the context that its last statement carries, if any.
    void begin(const Work& work);

    /// @brief Ends the hop before and begins the next one, such as `dispatch.queue`.
    void enterHop(std::string_view hop);

    /// @brief Tags the present hop.
    void tagHop(std::string_view name, std::string_view value) { this->hop.tag(name, value); }

    /// @brief Ends all spans.
    void end(bool succeeded);

private:
    const telemetry::Tracer* tracer;
    telemetry::Span whole;
    telemetry::Span hop;
};

}

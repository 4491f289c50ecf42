#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::telemetry {

/// @brief Identifies a span within a trace (W3C Trace Context, level 1).
struct TraceContext {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    bool isSampled { true };

    friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// @brief Parses a `traceparent` value; returns nothing if it is malformed.
[[nodiscard]] std::optional<TraceContext> parseTraceparent(std::string_view text);

/// @brief Formats a `traceparent` value.
[[nodiscard]] std::string formatTraceparent(const TraceContext& context);

/// @brief Finds the `traceparent` in a statement's sqlcommenter comment; returns nothing if there is none.
[[nodiscard]] std::optional<TraceContext> findTraceparent(std::string_view statement);

}

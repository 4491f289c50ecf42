#include "amaranthhall/telemetry/trace_context.hpp"

#include <algorithm>

namespace amaranthhall::telemetry {

namespace {

    constexpr std::string_view versionPrefix = "00-";
    constexpr std::string_view commentKey = "traceparent='";
    constexpr std::size_t traceIdLength = 32;
    constexpr std::size_t spanIdLength = 16;
    constexpr std::size_t traceparentLength = 55;
    constexpr std::size_t spanIdOffset = 36;
    constexpr std::size_t flagsOffset = 53;

    bool isLowerHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
    }

    bool isValidId(std::string_view text)
    {
        return isLowerHex(text) && text.find_first_not_of('0') != std::string_view::npos;
    }

}

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    const bool hasValidLayout = text.size() == traceparentLength && text.starts_with(versionPrefix) && text[spanIdOffset - 1] == '-' && text[flagsOffset - 1] == '-';
    if (!hasValidLayout)
        return std::nullopt;
    const auto traceId = text.substr(versionPrefix.size(), traceIdLength);
    const auto spanId = text.substr(spanIdOffset, spanIdLength);
    const auto flags = text.substr(flagsOffset);
    if (!isValidId(traceId) || !isValidId(spanId) || !isLowerHex(flags))
        return std::nullopt;
    // The lowest bit of the flags is the sampled flag.
    constexpr std::string_view oddDigits = "13579bdf";
    return TraceContext { .traceId = std::string(traceId), .spanId = std::string(spanId), .isSampled = oddDigits.find(flags.back()) != std::string_view::npos };
}

std::string formatTraceparent(const TraceContext& context)
{
    return std::string(versionPrefix) + context.traceId + "-" + context.spanId + (context.isSampled ? "-01" : "-00");
}

std::optional<TraceContext> findTraceparent(std::string_view statement)
{
    // sqlcommenter appends its comment to the statement, so the last comment is used.
    const auto comment = statement.rfind("/*");
    if (comment == std::string_view::npos)
        return std::nullopt;
    const auto key = statement.find(commentKey, comment);
    if (key == std::string_view::npos)
        return std::nullopt;
    return parseTraceparent(statement.substr(key + commentKey.size(), traceparentLength));
}

}

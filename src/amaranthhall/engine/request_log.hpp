#pragma once

#include "amaranthhall/engine/reply_code.hpp"
#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthhall::engine {

/// @brief What a log line tells of a request.
struct RequestRecord {
    std::string_view id;
    std::string_view database;
    std::string_view upstream; ///< Of the last attempt; empty if there was none.
    std::string_view mode; ///< How it was run.
    std::string_view reason; ///< Of a refusal or failure.
    ReplyCode code { ReplyCode::None };
    Duration waitTime { 0 }; ///< Until the last attempt was sent.
    Duration elapsed { 0 };
    unsigned retries { 0 };
    std::uint64_t configurationVersion { 0 };
};

/// @brief What a log line tells of an attempt that is followed by another one.
struct RetryRecord {
    std::string_view id;
    std::string_view upstream; ///< Of the attempt.
    ReplyCode code { ReplyCode::None };
    bool lost { false }; ///< No answer came.
    std::optional<group::LogPoint> wanted; ///< Position that the upstream's log had to hold.
    std::optional<group::LogPoint> held; ///< Position that it told.
};

/// @brief Counts each request, and writes a line for it, up to a rate; what it leaves out is counted.
class RequestLog {
public:
    static constexpr double linesPerSecond = 100; // keeps the log under about 30 kB/s
    static constexpr double burst = 300;

    explicit RequestLog(telemetry::Metrics& metrics);

    /// @brief Counts a request and writes its line, unless too many were written lately.
    void write(const RequestRecord& record, Time now);

    /// @brief Writes the line of an attempt that is followed by another one, unless too many were written lately.
    void writeRetry(const RetryRecord& record, Time now);

private:
    [[nodiscard]] bool admitLine(Time now);

    static constexpr std::size_t replyCodes = 16; ///< Values of ReplyCode.

    std::array<prometheus::Counter*, replyCodes> requestsByCode;
    prometheus::Histogram& elapsed;
    prometheus::Histogram& waitTime;
    prometheus::Counter& retries;
    prometheus::Counter& droppedLines;
    double tokens { burst };
    Time refilledAt;
    std::uint64_t unreportedDrops { 0 };
};

}

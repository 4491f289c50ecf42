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

/// @brief Fields of the log line of a request.
struct RequestRecord {
    std::string_view id;
    std::string_view database;
    std::string_view organisation; ///< Empty if it ran for none.
    std::string_view upstream; ///< Upstream of the last attempt; empty if there was none.
    std::string_view mode; ///< How the request was run, e.g. plain or in a transaction.
    std::string_view reason; ///< Reason for a refusal or failure.
    ReplyCode code { ReplyCode::None };
    Duration waitTime { 0 }; ///< From arrival until the last attempt was sent.
    Duration elapsed { 0 };
    unsigned retries { 0 };
    std::uint64_t configurationVersion { 0 };
};

/// @brief Fields of the log line of a failed attempt that is retried.
struct RetryRecord {
    std::string_view id;
    std::string_view upstream; ///< Upstream of the failed attempt.
    ReplyCode code { ReplyCode::None };
    bool lost { false }; ///< The connection was lost before a reply arrived.
    std::optional<group::LogPoint> requiredPoint; ///< Position that the upstream's log had to reach.
    std::optional<group::LogPoint> reportedPoint; ///< Position that the upstream reported.
};

/// @brief Fields of the log line of a session that was refused for its key, which is not logged.
struct RefusedStartRecord {
    std::string_view database;
    bool hasKey { false }; ///< The caller presented a key.
    std::uint64_t configurationVersion { 0 };
};

/// @brief Counts requests and writes a log line for each, subject to a rate limit; counts the lines dropped.
class RequestLog {
public:
    static constexpr double linesPerSecond = 100; // limits the log to about 30 kB/s
    static constexpr double burst = 300;

    explicit RequestLog(telemetry::Metrics& metrics);

    /// @brief Counts a request and writes its log line, unless the rate limit is exceeded.
    void write(const RequestRecord& record, Time now);

    /// @brief Writes the log line of an attempt that is retried, unless the rate limit is exceeded.
    void writeRetry(const RetryRecord& record, Time now);

    /// @brief Counts a session that was refused for its key and writes its log line, unless the rate limit is exceeded.
    void writeRefusedStart(const RefusedStartRecord& record, Time now);

private:
    [[nodiscard]] bool admitLine(Time now);

    static constexpr std::size_t replyCodes = 16; ///< Number of values of ReplyCode.

    std::array<prometheus::Counter*, replyCodes> requestsByCode;
    prometheus::Histogram& elapsed;
    prometheus::Histogram& waitTime;
    prometheus::Counter& retries;
    prometheus::Counter& refusedStarts;
    prometheus::Counter& droppedLines;
    double tokens { burst };
    Time refilledAt;
    std::uint64_t unreportedDrops { 0 };
};

}

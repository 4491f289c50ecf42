#pragma once

#include "amaranthhall/admission/service_times.hpp"
#include "amaranthhall/kernel/time.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace amaranthhall::engine {

/// @brief Why a statement that asked for a link was refused in the queue.
enum class QueueRefusal : std::uint8_t {
    TooSlow, ///< It would not be served before its statement timeout, or only too late.
    Full, ///< The queue has no room for statements of its priority.
    Timeout, ///< It has waited until its statement timeout leaves no time to run it.
};

/// @brief Metrics of the statements that wait for a link, and a bounded log line of those that are refused.
class WaitingReport {
public:
    explicit WaitingReport(telemetry::Metrics& metrics);

    /**
     * @brief Counts a refused statement; writes a log line with the counts since the last one, at most every two seconds for each service.
     * @param retryAfter When the queue is expected to have room; zero if unknown.
     * @param waiting Number of statements that wait for the service.
     */
    void noteRefusal(std::string_view service, std::size_t classIndex, QueueRefusal refusal, Duration retryAfter, std::size_t waiting, Time now);

    /// @brief Sets the number of statements of a class that wait for all services of this daemon.
    void setWaiting(std::size_t classIndex, std::size_t count) { this->waitingByClass[classIndex]->Set(static_cast<double>(count)); }

private:
    static constexpr std::size_t refusalCount = 3; ///< Number of values of QueueRefusal.

    struct Unreported {
        std::array<std::uint64_t, refusalCount> byRefusal {};
        std::array<std::uint64_t, admission::ServiceTimes::classCount> byClass {};
        Time reportedAt;
    };

    std::array<prometheus::Gauge*, admission::ServiceTimes::classCount> waitingByClass {};
    std::array<std::array<prometheus::Counter*, refusalCount>, admission::ServiceTimes::classCount> refusedByClass {};
    std::map<std::string, Unreported, std::less<>> unreported; ///< By service.
};

}

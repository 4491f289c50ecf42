#include "amaranthhall/engine/request_log.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace amaranthhall::engine {

RequestLog::RequestLog(telemetry::Metrics& metrics)
    : elapsed(metrics.durationHistogram("amaranthhall_request_seconds", "From a request's arrival to its answer"))
    , waitTime(metrics.durationHistogram("amaranthhall_request_wait_seconds", "From a request's arrival to the sending of its last attempt"))
    , retries(metrics.counter("amaranthhall_retries_total", "Further attempts of requests"))
    , refusedStarts(metrics.counter("amaranthhall_refused_starts_total", "Sessions that were refused because no organisation holds their key"))
    , droppedLines(metrics.counter("amaranthhall_log_lines_left_out_total", "Lines of requests that were not written, as there were too many"))
{
    for (std::size_t i = 0; i < replyCodes; ++i)
        this->requestsByCode[i] = &metrics.counter("amaranthhall_requests_total", "Requests by the code of their answer", { { "code", nameOf(static_cast<ReplyCode>(i)) } });
}

namespace {

    std::string formatLogPoint(const std::optional<group::LogPoint>& point)
    {
        return point ? std::to_string(point->term) + "." + std::to_string(point->position) : "-";
    }

}

void RequestLog::writeRetry(const RetryRecord& record, Time now)
{
    if (!this->admitLine(now))
        return;
    telemetry::logEvent(telemetry::LogLevel::Info, "request.retried",
        { { "request", record.id }, { "upstream", record.upstream }, { "code", nameOf(record.code) }, { "lost", record.lost }, { "wanted", formatLogPoint(record.requiredPoint) }, { "held", formatLogPoint(record.reportedPoint) } });
}

void RequestLog::writeRefusedStart(const RefusedStartRecord& record, Time now)
{
    this->refusedStarts.Increment();
    if (!this->admitLine(now))
        return;
    telemetry::logEvent(telemetry::LogLevel::Warning, "session.refused", { { "database", record.database }, { "has_key", record.hasKey }, { "configuration", record.configurationVersion } });
}

bool RequestLog::admitLine(Time now)
{
    const auto sinceRefill = std::chrono::duration<double>(now - this->refilledAt).count();
    this->tokens = std::min(burst, this->tokens + sinceRefill * linesPerSecond);
    this->refilledAt = now;
    if (this->tokens < 1) {
        ++this->unreportedDrops;
        this->droppedLines.Increment();
        return false;
    }
    this->tokens -= 1;
    return true;
}

void RequestLog::write(const RequestRecord& record, Time now)
{
    this->requestsByCode[static_cast<std::size_t>(record.code)]->Increment();
    this->elapsed.Observe(std::chrono::duration<double>(record.elapsed).count());
    this->waitTime.Observe(std::chrono::duration<double>(record.waitTime).count());
    this->retries.Increment(record.retries);
    if (!this->admitLine(now))
        return;
    using telemetry::LogLevel;
    if (this->unreportedDrops > 0)
        telemetry::logEvent(LogLevel::Warning, "log.lines_left_out", { { "count", std::exchange(this->unreportedDrops, 0) } });
    const auto micros = [](Duration duration) { return std::chrono::duration_cast<std::chrono::microseconds>(duration).count(); };
    telemetry::logEvent(record.code == ReplyCode::None ? LogLevel::Info : LogLevel::Warning, "request.answered",
        { { "request", record.id }, { "database", record.database }, { "organisation", record.organisation }, { "upstream", record.upstream }, { "mode", record.mode }, { "code", nameOf(record.code) },
            { "reason", record.reason }, { "waited_us", micros(record.waitTime) }, { "taken_us", micros(record.elapsed) }, { "retries", record.retries }, { "configuration", record.configurationVersion } });
}

}

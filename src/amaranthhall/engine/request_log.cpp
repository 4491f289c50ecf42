#include "amaranthhall/engine/request_log.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace amaranthhall::engine {

RequestLog::RequestLog(telemetry::Metrics& metrics)
    : taken(metrics.durationHistogram("amaranthhall_request_seconds", "From a request's arrival to its answer"))
    , waited(metrics.durationHistogram("amaranthhall_request_wait_seconds", "From a request's arrival to the sending of its last attempt"))
    , retries(metrics.counter("amaranthhall_retries_total", "Further attempts of requests"))
    , linesLeftOut(metrics.counter("amaranthhall_log_lines_left_out_total", "Lines of requests that were not written, as there were too many"))
{
    for (std::size_t i = 0; i < codes; ++i)
        this->answered[i] = &metrics.counter("amaranthhall_requests_total", "Requests by the code of their answer", { { "code", nameOf(static_cast<ReplyCode>(i)) } });
}

namespace {

    std::string describe(const std::optional<group::LogPoint>& point)
    {
        return point ? std::to_string(point->term) + "." + std::to_string(point->position) : "-";
    }

}

void RequestLog::writeRetry(const RetryRecord& record, Time now)
{
    if (!this->admit(now))
        return;
    telemetry::logEvent(telemetry::LogLevel::Info, "request.retried",
        { { "request", record.id }, { "upstream", record.upstream }, { "code", nameOf(record.code) }, { "lost", record.lost }, { "wanted", describe(record.wanted) }, { "held", describe(record.held) } });
}

bool RequestLog::admit(Time now)
{
    const auto passed = std::chrono::duration<double>(now - this->refilledAt).count();
    this->tokens = std::min(burst, this->tokens + passed * linesPerSecond);
    this->refilledAt = now;
    if (this->tokens < 1) {
        ++this->leftOut;
        this->linesLeftOut.Increment();
        return false;
    }
    this->tokens -= 1;
    return true;
}

void RequestLog::write(const RequestRecord& record, Time now)
{
    this->answered[static_cast<std::size_t>(record.code)]->Increment();
    this->taken.Observe(std::chrono::duration<double>(record.taken).count());
    this->waited.Observe(std::chrono::duration<double>(record.waited).count());
    this->retries.Increment(record.retries);
    if (!this->admit(now))
        return;
    using telemetry::LogLevel;
    if (this->leftOut > 0)
        telemetry::logEvent(LogLevel::Warning, "log.lines_left_out", { { "count", std::exchange(this->leftOut, 0) } });
    const auto micros = [](Duration duration) { return std::chrono::duration_cast<std::chrono::microseconds>(duration).count(); };
    telemetry::logEvent(record.code == ReplyCode::None ? LogLevel::Info : LogLevel::Warning, "request.answered",
        { { "request", record.id }, { "database", record.database }, { "upstream", record.upstream }, { "mode", record.mode }, { "code", nameOf(record.code) },
            { "reason", record.reason }, { "waited_us", micros(record.waited) }, { "taken_us", micros(record.taken) }, { "retries", record.retries }, { "configuration", record.configurationVersion } });
}

}

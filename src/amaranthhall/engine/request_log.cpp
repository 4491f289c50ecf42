#include "amaranthhall/engine/request_log.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::engine {

bool RequestLog::admit(Time now)
{
    const auto passed = std::chrono::duration<double>(now - this->refilledAt).count();
    this->tokens = std::min(burst, this->tokens + passed * linesPerSecond);
    this->refilledAt = now;
    if (this->tokens < 1) {
        ++this->leftOut;
        return false;
    }
    this->tokens -= 1;
    return true;
}

void RequestLog::write(const RequestRecord& record, Time now)
{
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

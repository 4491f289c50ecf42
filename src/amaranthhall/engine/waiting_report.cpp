#include "amaranthhall/engine/waiting_report.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>

namespace amaranthhall::engine {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration lineInterval = 2s;
    constexpr std::array<std::string_view, 3> refusalNames { "too_slow", "full", "timeout" };
    constexpr std::array<std::string_view, admission::StatementClass::consistencyCount> consistencyNames { "primary", "bounded_staleness", "read_your_writes" };

    /// Returns a name such as "primary_0": consistency and priority, of which the last stands for all that are less urgent.
    std::string nameOfClass(std::size_t classIndex)
    {
        constexpr auto priorities = admission::StatementClass::priorityCount;
        return std::string(consistencyNames[classIndex / priorities]).append(1, '_').append(std::to_string(classIndex % priorities));
    }

}

WaitingReport::WaitingReport(telemetry::Metrics& metrics)
{
    for (std::size_t i = 0; i < this->waitingByClass.size(); ++i) {
        const auto name = nameOfClass(i);
        this->waitingByClass[i] = &metrics.gauge("amaranthhall_waiting_statements", "Statements that wait for a connection, by class", { { "class", name } });
        for (std::size_t j = 0; j < refusalCount; ++j)
            this->refusedByClass[i][j] = &metrics.counter("amaranthhall_queue_refused_total", "Statements refused in the queue, by class and reason", { { "class", name }, { "reason", refusalNames[j] } });
    }
}

void WaitingReport::noteRefusal(std::string_view service, std::size_t classIndex, QueueRefusal refusal, Duration retryAfter, std::size_t waiting, Time now)
{
    const auto index = static_cast<std::size_t>(refusal);
    this->refusedByClass[classIndex][index]->Increment();
    auto& counts = this->unreported.try_emplace(std::string(service)).first->second;
    ++counts.byRefusal[index];
    ++counts.byClass[classIndex];
    if (now - counts.reportedAt < lineInterval)
        return;
    const auto mostRefused = static_cast<std::size_t>(std::max_element(counts.byClass.begin(), counts.byClass.end()) - counts.byClass.begin());
    telemetry::logEvent(telemetry::LogLevel::Warning, "queue.refused",
        { { "service", service }, { "too_slow", counts.byRefusal[0] }, { "full", counts.byRefusal[1] }, { "timeout", counts.byRefusal[2] }, { "most_refused", nameOfClass(mostRefused) }, { "waiting", waiting },
            { "retry_after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count() } });
    counts = { .reportedAt = now };
}

}

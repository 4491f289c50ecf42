#include "amaranthhall/budget/io/budget_guard.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace amaranthhall::budget {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration reviewInterval = 500ms;
    constexpr Duration logInterval = 1s;

    std::uint64_t readMachineMemory()
    {
        return static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::uint64_t>(sysconf(_SC_PAGE_SIZE));
    }

    std::size_t readDescriptorLimit()
    {
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return std::numeric_limits<int>::max();
        return limit.rlim_cur;
    }

}

VmLimits readLimits(const ConfiguredLimits& configured)
{
    const auto memory = readMachineMemory();
    const auto descriptors = readDescriptorLimit();
    return { .memory = std::min(configured.memory.value_or(memory), memory), .descriptors = std::min(configured.descriptors.value_or(descriptors), descriptors) };
}

BudgetGuard::BudgetGuard(kernel::Loop& usedLoop, const VmLimits& limits, telemetry::Metrics& usedMetrics)
    : loop(usedLoop)
    , metrics(usedMetrics)
    , divided(divideLimits(limits))
    , connections(this->divided.memory)
    , usedBytes(usedMetrics.gauge("amaranthhall_budget_used_bytes", "Bytes that connections of callers and other daemons hold"))
    , holderCount(usedMetrics.gauge("amaranthhall_budget_connections", "Connections of callers and other daemons"))
    , waitingCount(usedMetrics.gauge("amaranthhall_budget_waiting", "Connections that wait to send a large message"))
    , timer(usedLoop.every(reviewInterval, [this] { this->review(); }))
{
    usedMetrics.gauge("amaranthhall_budget_capacity_bytes", "Bytes that connections of callers and other daemons may hold").Set(static_cast<double>(this->divided.memory));
    const auto setLimit = [&](std::string_view port, std::size_t limit) {
        usedMetrics.gauge("amaranthhall_budget_connection_limit", "Connections that a port accepts", { { "port", port } }).Set(static_cast<double>(limit));
    };
    setLimit("callers", this->divided.callers);
    setLimit("relay", this->divided.relays);
    setLimit("peers", this->divided.peers);
    setLimit("ready", this->divided.http);
    setLimit("metrics", this->divided.http);
    this->connections.onNearlyFull([this] {
        if (!std::exchange(this->isReviewPosted, true))
            this->loop.post([this] { this->review(); });
    });
}

void BudgetGuard::review()
{
    this->isReviewPosted = false;
    this->connections.review(this->loop.now(), [this](Reason reason, std::uint64_t bytes) { this->noteClosed(reason, bytes); });
}

void BudgetGuard::noteClosed(Reason reason, std::uint64_t)
{
    this->metrics.counter("amaranthhall_budget_closed_total", "Connections closed to stay within the limits of the VM", { { "reason", nameOf(reason) } }).Increment();
    this->logAction("closed", nameOf(reason));
}

void BudgetGuard::noteRefused(std::string_view what, std::string_view reason)
{
    this->metrics.counter("amaranthhall_budget_refused_total", "Connections refused or replaced, and session state refused, to stay within the limits of the VM", { { "what", what }, { "reason", reason } }).Increment();
    this->logAction("refused", reason);
}

/// Writes at most one line a second, with the number of actions since the last one.
void BudgetGuard::logAction(std::string_view action, std::string_view reason)
{
    ++this->actionsSinceLog;
    const auto now = this->loop.now();
    if (now - this->lastLogged < logInterval)
        return;
    this->lastLogged = now;
    const auto& state = this->connections.state();
    telemetry::logEvent(telemetry::LogLevel::Warning, "budget.acted", { { "action", action }, { "reason", reason }, { "actions", std::exchange(this->actionsSinceLog, 0) }, { "used_bytes", state.used }, { "capacity_bytes", state.capacity }, { "connections", this->connections.holders() }, { "waiting", this->connections.waiting() } });
}

void BudgetGuard::updateGauges()
{
    this->usedBytes.Set(static_cast<double>(this->connections.state().used));
    this->holderCount.Set(static_cast<double>(this->connections.holders()));
    this->waitingCount.Set(static_cast<double>(this->connections.waiting()));
}

}

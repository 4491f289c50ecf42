#pragma once

#include "amaranthhall/statement/classification.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <chrono>

namespace amaranthhall::session {

/// @brief Metrics of all sessions.
class SessionMetrics {
public:
    explicit SessionMetrics(telemetry::Metrics& metrics);

    void countStatement(statement::StatementKind kind) const;

    prometheus::Gauge& open;
    prometheus::Counter& answered;
    prometheus::Counter& notRun;
    prometheus::Counter& outcomeUnknown;
    prometheus::Counter& retried;
    prometheus::Histogram& queued;

private:
    prometheus::Counter& reads;
    prometheus::Counter& writes;
    prometheus::Counter& transactions;
    prometheus::Counter& others;
};

}

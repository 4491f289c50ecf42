#pragma once

#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/routing/skip_reason.hpp"
#include "amaranthhall/telemetry/metrics.hpp"

#include <array>
#include <cstdint>

namespace amaranthhall::upstream {

/// @brief What a link was granted for.
enum class GrantKind : std::uint8_t {
    Write,
    ReadOnReplica,
    ReadOnPrimary,
};

/// @brief Counters of the dispatcher, looked up once.
class DispatchMetrics {
public:
    explicit DispatchMetrics(telemetry::Metrics& metrics);

    void countGrant(GrantKind kind) { this->grants[static_cast<std::size_t>(kind)]->Increment(); }
    void countShed(admission::ShedReason reason) { this->sheds[static_cast<std::size_t>(reason)]->Increment(); }
    void countTimeout() { this->timeouts->Increment(); }
    void countSkips(const std::array<std::uint8_t, routing::skipReasonCount>& skips);

private:
    std::array<prometheus::Counter*, 3> grants {};
    std::array<prometheus::Counter*, 3> sheds {};
    std::array<prometheus::Counter*, routing::skipReasonCount> skipped {};
    prometheus::Counter* timeouts;
};

}

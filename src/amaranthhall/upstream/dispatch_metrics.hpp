#pragma once

#include "amaranthhall/admission/admission.hpp"
#include "amaranthhall/group/identity.hpp"
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
    /// @brief Gives the gauge of the connections that are open, or being opened, to an upstream.
    [[nodiscard]] prometheus::Gauge& openGauge(const group::UpstreamId& id);

    /// @brief Gives the gauge of the connections to an upstream that are lent.
    [[nodiscard]] prometheus::Gauge& busyGauge(const group::UpstreamId& id);

    void countSkips(const std::array<std::uint8_t, routing::skipReasonCount>& skips);

private:
    telemetry::Metrics& registry;
    std::array<prometheus::Counter*, 3> grants {};
    std::array<prometheus::Counter*, 3> sheds {};
    std::array<prometheus::Counter*, routing::skipReasonCount> skipped {};
    prometheus::Counter* timeouts;
};

}

#pragma once

#include "amaranthhall/kernel/service.hpp"

#include <initializer_list>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace amaranthhall::telemetry {

/// @brief One label of a metric; use only values from bounded sets, to limit cardinality.
struct Label {
    std::string_view name;
    std::string_view value;
};

/// @brief Metrics registry of the process. Registered as service `metrics`.
class Metrics final : public kernel::Service {
public:
    Metrics();

    [[nodiscard]] std::string_view name() const noexcept override { return "metrics"; }

    /// @brief Returns the counter with this name and labels and creates it on the first call; keep the reference on hot paths.
    [[nodiscard]] prometheus::Counter& counter(std::string_view metric, std::string_view help, std::initializer_list<Label> labels = {});

    /// @brief Returns the gauge with this name and labels and creates it on the first call.
    [[nodiscard]] prometheus::Gauge& gauge(std::string_view metric, std::string_view help, std::initializer_list<Label> labels = {});

    /// @brief Returns the histogram with this name and labels, in seconds, with buckets from 100 µs to 30 s; creates it on the first call.
    [[nodiscard]] prometheus::Histogram& durationHistogram(std::string_view metric, std::string_view help, std::initializer_list<Label> labels = {});

    /// @brief Serializes all metrics in the Prometheus text format.
    [[nodiscard]] std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
};

}

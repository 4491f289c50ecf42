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

/// @brief One label of a metric; values come from bounded sets only.
struct Label {
    std::string_view name;
    std::string_view value;
};

/// @brief All metrics of the process, in Prometheus' text format. Registered as service `metrics`.
class Metrics final : public kernel::Service {
public:
    Metrics();

    [[nodiscard]] std::string_view name() const noexcept override { return "metrics"; }

    /// @brief Gives the counter of a name and labels, made at the first call; keep the reference on hot paths.
    [[nodiscard]] prometheus::Counter& counter(std::string_view metric, std::string_view help, std::initializer_list<Label> labels = {});

    /// @brief Gives the gauge of a name and labels.
    [[nodiscard]] prometheus::Gauge& gauge(std::string_view metric, std::string_view help, std::initializer_list<Label> labels = {});

    /// @brief Gives the histogram of a name and labels, with buckets for seconds from 100 µs to 30 s.
    [[nodiscard]] prometheus::Histogram& durationHistogram(std::string_view metric, std::string_view help, std::initializer_list<Label> labels = {});

    /// @brief Writes all metrics in Prometheus' text format.
    [[nodiscard]] std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> registry;
};

}

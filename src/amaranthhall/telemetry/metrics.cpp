#include "amaranthhall/telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace amaranthhall::telemetry {

namespace {

    std::map<std::string, std::string> toPrometheusLabels(std::initializer_list<Label> labels)
    {
        std::map<std::string, std::string> converted;
        for (const auto& label : labels)
            converted.emplace(label.name, label.value);
        return converted;
    }

}

Metrics::Metrics()
    : registry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter& Metrics::counter(std::string_view metric, std::string_view help, std::initializer_list<Label> labels)
{
    auto& family = prometheus::BuildCounter().Name(std::string(metric)).Help(std::string(help)).Register(*this->registry);
    return family.Add(toPrometheusLabels(labels));
}

prometheus::Gauge& Metrics::gauge(std::string_view metric, std::string_view help, std::initializer_list<Label> labels)
{
    auto& family = prometheus::BuildGauge().Name(std::string(metric)).Help(std::string(help)).Register(*this->registry);
    return family.Add(toPrometheusLabels(labels));
}

prometheus::Histogram& Metrics::durationHistogram(std::string_view metric, std::string_view help, std::initializer_list<Label> labels)
{
    const prometheus::Histogram::BucketBoundaries boundaries { 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 30 };
    auto& family = prometheus::BuildHistogram().Name(std::string(metric)).Help(std::string(help)).Register(*this->registry);
    return family.Add(toPrometheusLabels(labels), boundaries);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

}

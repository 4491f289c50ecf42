#pragma once

#include <boost/histogram.hpp>
#include <chrono>
#include <cstddef>
#include <tuple>
#include <vector>

namespace amaranthhall::bench {

/// @brief Latencies in buckets of about 2 % width, from 1 µs to 100 s.
class LatencyHistogram {
public:
    LatencyHistogram();

    /// @brief Adds one latency.
    void add(std::chrono::nanoseconds latency);

    /// @brief Gives the latency in milliseconds below which a share of all lies; 0 if there are none.
    [[nodiscard]] double quantile(double share) const;

    [[nodiscard]] std::size_t count() const noexcept { return this->added; }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> buckets;
    std::size_t added { 0 };
};

}

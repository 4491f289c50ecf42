#include "amaranthhall/bench/latency.hpp"

#include <cmath>

namespace amaranthhall::bench {

namespace {

    constexpr unsigned bucketCount = 920;
    constexpr double leastMillis = 0.001;
    constexpr double mostMillis = 100'000;

}

LatencyHistogram::LatencyHistogram()
    : buckets(std::tuple(Axis(bucketCount, leastMillis, mostMillis)))
{
}

void LatencyHistogram::add(std::chrono::nanoseconds latency)
{
    this->buckets(std::chrono::duration<double, std::milli>(latency).count());
    ++this->added;
}

double LatencyHistogram::quantile(double share) const
{
    const auto wanted = std::ceil(share * static_cast<double>(this->added));
    double seen = this->buckets.at(-1);
    for (int i = 0; i < static_cast<int>(bucketCount); ++i) {
        seen += this->buckets.at(i);
        if (this->added > 0 && seen >= wanted)
            return this->buckets.axis().bin(i).upper();
    }
    return this->added > 0 ? mostMillis : 0;
}

}

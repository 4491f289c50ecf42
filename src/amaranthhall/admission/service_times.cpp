#include "amaranthhall/admission/service_times.hpp"

#include <algorithm>

namespace amaranthhall::admission {

namespace {

    constexpr std::uint32_t averagingWindow = 64;
    constexpr std::uint32_t minimumSamples = 16;

    void addSample(ServiceTimes::Average& average, Duration serviceTime) noexcept
    {
        average.samples = std::min(average.samples + 1, averagingWindow);
        average.mean += (serviceTime - average.mean) / static_cast<int>(average.samples);
    }

}

void noteServiceTime(ServiceTimes& times, const StatementClass& statementClass, Duration serviceTime) noexcept
{
    addSample(times.byClass[indexOf(statementClass)], serviceTime);
    addSample(times.all, serviceTime);
}

double relativeCost(const ServiceTimes& times, const StatementClass& statementClass) noexcept
{
    const auto& classAverage = times.byClass[indexOf(statementClass)];
    const bool isReliable = classAverage.samples >= minimumSamples && times.all.mean > Duration::zero();
    return isReliable ? std::chrono::duration<double>(classAverage.mean) / std::chrono::duration<double>(times.all.mean) : 1;
}

ExpectedTimes expectTimes(const ServiceTimes& times, const StatementClass& statementClass, Duration latency) noexcept
{
    const auto& classAverage = times.byClass[indexOf(statementClass)];
    if (classAverage.samples < minimumSamples)
        return { .work = latency, .serviceTime = latency };
    return { .work = classAverage.mean, .serviceTime = classAverage.mean + std::max(Duration::zero(), latency - times.all.mean) };
}

}

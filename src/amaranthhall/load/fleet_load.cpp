#include "amaranthhall/load/fleet_load.hpp"

#include <algorithm>
#include <cmath>

namespace amaranthhall::load {

namespace {

    using Seconds = std::chrono::duration<double>;

    double weightOf(Duration age)
    {
        if (age <= FleetLoad::fullWeightAge)
            return 1;
        return std::max(0.0, Seconds(FleetLoad::expiry - age) / Seconds(FleetLoad::expiry - FleetLoad::fullWeightAge));
    }

    /// Returns the rate of rejections between two reports; the span is bounded, as the first report of a busy period covers an unknown one.
    double rejectionRate(std::uint32_t rejected, Duration sincePrevious)
    {
        constexpr Duration minimumSpan = std::chrono::milliseconds(100);
        return rejected / Seconds(std::clamp<Duration>(sincePrevious, minimumSpan, FleetLoad::expiry)).count();
    }

}

void FleetLoad::note(std::string_view upstream, std::string_view vm, const UpstreamLoad& load, Time at)
{
    auto& byVm = this->reports.try_emplace(std::string(upstream)).first->second;
    auto& report = byVm.try_emplace(std::string(vm)).first->second;
    if (at < report.at)
        return;
    report = { .load = load, .rejectedPerSecond = rejectionRate(load.rejected, at - report.at), .at = at };
}

std::optional<LoadEstimate> FleetLoad::estimate(std::string_view upstream, Time now) const
{
    const auto found = this->reports.find(upstream);
    if (found == this->reports.end())
        return std::nullopt;
    LoadEstimate sum;
    for (const auto& [vm, report] : found->second) {
        const auto age = now - report.at;
        const auto weight = weightOf(age);
        if (weight <= 0)
            continue;
        sum.running += weight * report.load.running;
        sum.waiting += weight * report.load.waiting;
        sum.rejectedPerSecond += weight * report.rejectedPerSecond;
        sum.age += age;
        ++sum.reporters;
    }
    if (sum.reporters == 0)
        return std::nullopt;
    sum.age /= static_cast<Duration::rep>(sum.reporters);
    return sum;
}

void FleetLoad::drop(std::string_view upstream)
{
    if (const auto found = this->reports.find(upstream); found != this->reports.end())
        this->reports.erase(found);
}

void FleetLoad::removeExpired(Time now)
{
    for (auto& [upstream, byVm] : this->reports)
        std::erase_if(byVm, [now](const auto& item) { return now - item.second.at >= expiry; });
    std::erase_if(this->reports, [](const auto& item) { return item.second.empty(); });
}

void RecentMean::note(double count, Time now) noexcept
{
    constexpr Seconds averagingTime(0.1);
    const auto weight = std::exp(-(Seconds(now - this->lastAt) / averagingTime));
    this->mean = this->mean * weight + this->last * (1 - weight);
    this->last = count;
    this->lastAt = now;
}

double sharedWindow(std::uint32_t slots) noexcept
{
    constexpr double statementsPerSlot = 1.4; // as each daemon may send one, the sum is larger; a statement for each slot may follow without a round trip
    return statementsPerSlot * std::max(1U, slots);
}

std::uint32_t windowShare(const WindowInputs& inputs) noexcept
{
    const auto window = sharedWindow(inputs.slots);
    const auto demand = inputs.ownDemand + (inputs.others ? inputs.others->demand() : 0);
    if (!inputs.others)
        return inputs.localLimit;
    const auto share = demand <= window ? inputs.ownDemand + window - demand : window * inputs.ownDemand / demand;
    return std::clamp(static_cast<std::uint32_t>(share), 1U, std::max(1U, inputs.localLimit));
}

}

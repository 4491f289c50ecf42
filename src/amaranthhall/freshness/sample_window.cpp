#include "amaranthhall/freshness/sample_window.hpp"

#include <algorithm>

namespace amaranthhall::freshness {

void SampleWindow::add(const Sample& sample)
{
    const auto insertionPoint = std::upper_bound(this->samples.begin(), this->samples.end(), sample.at, [](Micros at, const Sample& other) { return at < other.at; });
    const auto index = insertionPoint - this->samples.begin();
    this->samples.insert(insertionPoint, sample);
    // Remove a sample whose two neighbours are less than minimumSpacing apart.
    if (index >= 2) {
        const auto middle = this->samples.begin() + index - 1;
        if ((middle + 1)->at - (middle - 1)->at < minimumSpacing)
            this->samples.erase(middle);
    }
    while (this->samples.back().at - this->samples.front().at > maximumAge)
        this->samples.pop_front();
}

void SampleWindow::dropAfter(const group::LogPoint& point)
{
    std::erase_if(this->samples, [&point](const Sample& sample) { return sample.point > point; });
}

std::optional<Sample> SampleWindow::newest() const noexcept
{
    if (this->samples.empty())
        return std::nullopt;
    return this->samples.back();
}

std::optional<group::LogPoint> SampleWindow::leastPointSince(Micros since) const noexcept
{
    std::optional<group::LogPoint> leastDemanding;
    for (const auto& sample : this->samples) {
        if (sample.at < since)
            continue;
        // A point of an earlier term may have been rolled back, so that no log ever reaches it.
        const bool isNewerTerm = leastDemanding && sample.point.term > leastDemanding->term;
        if (!leastDemanding || isNewerTerm || (sample.point.term == leastDemanding->term && sample.point < *leastDemanding))
            leastDemanding = sample.point;
    }
    return leastDemanding;
}

std::optional<Sample> SampleWindow::firstAfter(const group::LogPoint& point) const noexcept
{
    const auto found = std::find_if(this->samples.begin(), this->samples.end(), [&point](const Sample& sample) { return sample.point > point; });
    return found == this->samples.end() ? std::nullopt : std::optional(*found);
}

std::optional<Micros> SampleWindow::reachedAt(const group::LogPoint& point) const noexcept
{
    const auto found = std::find_if(this->samples.begin(), this->samples.end(), [&point](const Sample& sample) { return sample.point >= point; });
    return found == this->samples.end() ? std::nullopt : std::optional(found->at);
}

}

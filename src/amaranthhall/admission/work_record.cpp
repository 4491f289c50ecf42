#include "amaranthhall/admission/work_record.hpp"

#include <algorithm>

namespace amaranthhall::admission {

namespace {

    constexpr std::uint32_t averagedSamples = 64;
    constexpr std::uint32_t leastSamples = 16;

    std::size_t indexOf(const WorkKind& kind) noexcept
    {
        return kind.consistency * WorkKind::priorities + std::min<std::size_t>(kind.priority, WorkKind::priorities - 1);
    }

    void add(WorkRecord::Average& average, Duration taken) noexcept
    {
        average.samples = std::min(average.samples + 1, averagedSamples);
        average.mean += (taken - average.mean) / static_cast<int>(average.samples);
    }

}

void noteWork(WorkRecord& record, const WorkKind& kind, Duration taken) noexcept
{
    add(record.byKind[indexOf(kind)], taken);
    add(record.all, taken);
}

double weightOf(const WorkRecord& record, const WorkKind& kind) noexcept
{
    const auto& own = record.byKind[indexOf(kind)];
    const bool isKnown = own.samples >= leastSamples && record.all.mean > Duration::zero();
    return isKnown ? std::chrono::duration<double>(own.mean) / std::chrono::duration<double>(record.all.mean) : 1;
}

}

#include "amaranthhall/load/load_report.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"
#include "amaranthhall/packing/packing.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthhall::load {

namespace {

    constexpr std::uint8_t reportMark = 0x4c; // first element of a report; a digest begins with the name of a VM
    constexpr double countScale = 8; // counts are sent in eighths, in one byte up to 15
    constexpr std::uint32_t maximumCount = 1'000'000; // no daemon has more statements; protects sums against nonsense
    constexpr std::int64_t maximumAge = 60'000; // ms

    using PackedPosition = std::tuple<std::uint64_t, std::uint64_t, std::int64_t>;
    using PackedEntry = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t, std::vector<PackedPosition>>;
    using PackedReport = std::tuple<std::uint8_t, std::uint32_t, std::uint32_t, std::vector<PackedEntry>>;

    std::uint32_t packCount(double count)
    {
        return static_cast<std::uint32_t>(std::lround(std::clamp<double>(count, 0, maximumCount) * countScale));
    }

    double unpackCount(std::uint32_t packed)
    {
        return std::min<double>(packed / countScale, maximumCount);
    }

    PackedEntry packEntry(const ReportEntry& entry)
    {
        std::vector<PackedPosition> position;
        if (entry.position)
            position.emplace_back(entry.position->point.term, entry.position->point.position, entry.position->age.count());
        return { entry.upstream, packCount(entry.load.running), packCount(entry.load.waiting), entry.load.rejected, std::move(position) };
    }

    ReportEntry unpackEntry(const PackedEntry& packed)
    {
        const auto& [upstream, running, waiting, rejected, position] = packed;
        ReportEntry entry { .upstream = upstream, .load = { .running = unpackCount(running), .waiting = unpackCount(waiting), .rejected = std::min(rejected, maximumCount) } };
        if (!position.empty()) {
            const auto& [term, index, age] = position.front();
            entry.position = ReportedPosition { .point = { .term = term, .position = index }, .age = std::chrono::milliseconds(std::clamp<std::int64_t>(age, 0, maximumAge)) };
        }
        return entry;
    }

    bool isBusy(const ReportInputs& inputs, const UpstreamLoad& load, double fraction)
    {
        const auto part = fraction * inputs.slots / static_cast<double>(std::max<std::size_t>(1, inputs.homes));
        return load.running + load.waiting >= part || load.rejected > 0;
    }

}

std::uint32_t upstreamKey(std::string_view upstream, std::uint64_t startedAt)
{
    return hashing::shortId(std::string(upstream).append("/").append(std::to_string(startedAt)));
}

std::string encodeReport(const LoadReport& report)
{
    std::vector<PackedEntry> entries;
    entries.reserve(report.entries.size());
    std::transform(report.entries.begin(), report.entries.end(), std::back_inserter(entries), packEntry);
    return packing::pack(PackedReport { reportMark, report.sender, report.sentAt, std::move(entries) });
}

bool isReport(std::string_view bytes) noexcept
{
    constexpr char arrayOfFour = '\x94'; // MessagePack
    return bytes.size() > 1 && bytes[0] == arrayOfFour && bytes[1] == static_cast<char>(reportMark);
}

std::optional<LoadReport> decodeReport(std::string_view bytes)
{
    const auto packed = packing::unpack<PackedReport>(bytes);
    if (!packed || std::get<0>(*packed) != reportMark)
        return std::nullopt;
    const auto& [mark, sender, sentAt, entries] = *packed;
    LoadReport report { .sender = sender, .sentAt = sentAt, .entries = {} };
    report.entries.reserve(entries.size());
    std::transform(entries.begin(), entries.end(), std::back_inserter(report.entries), unpackEntry);
    return report;
}

std::optional<Duration> DelayEstimator::note(std::uint32_t sentAt, Time now) noexcept
{
    constexpr int driftDivisor = 2000; // the clocks of two VMs drift apart by less than one part in this
    if (!this->lastArrival || now - *this->lastArrival > resetTime) {
        this->firstSentAt = sentAt;
        this->firstArrival = now;
        this->leastOffset = Duration::zero();
    } else if (static_cast<std::int32_t>(sentAt - this->lastSentAt) <= 0)
        return std::nullopt;
    else
        this->leastOffset += (now - *this->lastArrival) / driftDivisor;
    this->lastSentAt = sentAt;
    this->lastArrival = now;
    const Duration offset = (now - this->firstArrival) - std::chrono::milliseconds(static_cast<std::int32_t>(sentAt - this->firstSentAt));
    this->leastOffset = std::min(this->leastOffset, offset);
    return offset - this->leastOffset;
}

ReportPolicy::Due ReportPolicy::next(const ReportInputs& inputs, bool isFarRound) noexcept
{
    // Below these parts of the slots, hardly a statement waits at the upstream.
    constexpr double nearFraction = 0.75;
    constexpr double farFraction = 1;
    Due due;
    const bool wasBusy = std::exchange(this->wasNear, isBusy(inputs, inputs.own, nearFraction));
    if (this->wasNear || wasBusy || inputs.hasPosition)
        due.near = inputs.own;
    this->sum.running += inputs.own.running;
    this->sum.waiting += inputs.own.waiting;
    this->sum.rejected += inputs.own.rejected;
    ++this->rounds;
    if (!isFarRound)
        return due;
    const UpstreamLoad mean { .running = this->sum.running / this->rounds, .waiting = this->sum.waiting / this->rounds, .rejected = this->sum.rejected };
    this->sum = {};
    this->rounds = 0;
    if (isBusy(inputs, mean, farFraction) || inputs.hasPosition)
        due.far = mean;
    return due;
}

}

#pragma once

#include "amaranthhall/group/log_point.hpp"
#include "amaranthhall/load/fleet_load.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::load {

/// @brief Log position of a replica in a reply to the reporting daemon itself.
struct ReportedPosition {
    group::LogPoint point;
    std::chrono::milliseconds age { 0 };
};

/// @brief Figures of one upstream in a report.
struct ReportEntry {
    std::uint32_t upstream { 0 }; ///< See upstreamKey().
    UpstreamLoad load;
    std::optional<ReportedPosition> position; ///< Of a replica that lags.
};

/// @brief A datagram from one home of a service to another.
struct LoadReport {
    std::uint32_t sender { 0 }; ///< hashing::shortId() of its VM.
    std::uint32_t sentAt { 0 }; ///< Clock of the sender in ms, truncated to 32 bits.
    std::vector<ReportEntry> entries;
};

/// @brief Returns the key of an upstream in reports; an upstream that was restarted has another one, so that reports about the earlier process are ignored.
[[nodiscard]] std::uint32_t upstreamKey(std::string_view upstream, std::uint64_t startedAt);

/// @brief Encodes a report as MessagePack: 13 bytes and 10 for each entry, 6 more for a position.
[[nodiscard]] std::string encodeReport(const LoadReport& report);

/// @brief Returns whether a datagram begins like a report; digests, which arrive at the same address, do not.
[[nodiscard]] bool isReport(std::string_view bytes) noexcept;

/// @brief Decodes a report; returns std::nullopt if the bytes are no report.
[[nodiscard]] std::optional<LoadReport> decodeReport(std::string_view bytes);

/// @brief Estimates when reports of one daemon were sent, by the least delay among recent ones; the clocks of two daemons are not comparable otherwise.
class DelayEstimator {
public:
    /**
     * @brief Returns by how much a report is later than the fastest one; std::nullopt if a later report has already arrived.
     * @param sentAt LoadReport::sentAt.
     */
    [[nodiscard]] std::optional<Duration> note(std::uint32_t sentAt, Time now) noexcept;

private:
    static constexpr Duration resetTime = std::chrono::seconds(2); ///< After this time without a report the sender may be another process.

    std::uint32_t lastSentAt { 0 };
    std::optional<Time> lastArrival;
    Duration leastOffset { 0 }; ///< Of arrival and sending, relative to `firstSentAt` and `firstArrival`.
    std::uint32_t firstSentAt { 0 };
    Time firstArrival;
};

/// @brief What decides whether an upstream is reported.
struct ReportInputs {
    std::uint32_t slots { 1 };
    std::size_t homes { 1 };
    UpstreamLoad own; ///< `rejected` counts since the previous round.
    bool hasPosition { false }; ///< There is a position to report.
};

/// @brief Decides in each round what a home reports about an upstream to the homes of its zone, and in every fourth round to those of others.
class ReportPolicy {
public:
    static constexpr Duration roundInterval = std::chrono::milliseconds(100);
    static constexpr unsigned roundsPerFarReport = 4; ///< Bytes between zones cost money; if a report is lost, the previous one still counts.

    /// @brief What is due in a round.
    struct Due {
        std::optional<UpstreamLoad> near; ///< To homes of the own zone.
        std::optional<UpstreamLoad> far; ///< To those of other zones; a mean over their rounds.
    };

    /**
     * @brief Returns what is due.
     *
     * An upstream is reported while this daemon has more than its part of most of the slots, or while the upstream sheds. The own zone is told once more when
     * it is not busy any more; reports to other zones just expire, which saves bytes.
     */
    [[nodiscard]] Due next(const ReportInputs& inputs, bool isFarRound) noexcept;

private:
    bool wasNear { false };
    UpstreamLoad sum; ///< Since the last round for other zones.
    unsigned rounds { 0 }; ///< In `sum`.
};

}

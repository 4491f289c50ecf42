#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::load {

/// @brief Load that one daemon puts on an upstream. Counts are means over about 100 ms, as a single moment says little about a statement that arrives later.
struct UpstreamLoad {
    double running { 0 }; ///< Statements sent and not answered.
    double waiting { 0 }; ///< Statements that wait in the daemon for the upstream.
    std::uint32_t rejected { 0 }; ///< Statements that the upstream refused for overload since the last report.
};

/// @brief Load that all other daemons put on an upstream, from their reports.
struct LoadEstimate {
    double running { 0 };
    double waiting { 0 };
    double rejectedPerSecond { 0 };
    Duration age { 0 }; ///< Mean age of the reports.
    std::size_t reporters { 0 };

    [[nodiscard]] double demand() const noexcept { return this->running + this->waiting; }
};

/// @brief Reports of other daemons about upstreams. A report counts in full for 500 ms and then less, until it expires after 1 s.
class FleetLoad {
public:
    static constexpr Duration fullWeightAge = std::chrono::milliseconds(500); ///< A report from another zone may be this old if none is lost.
    static constexpr Duration expiry = std::chrono::seconds(1);

    /**
     * @brief Records a report; ignored if a later one of the same daemon is known.
     * @param at When the figures were taken.
     */
    void note(std::string_view upstream, std::string_view vm, const UpstreamLoad& load, Time at);

    /// @brief Sums the reports about an upstream; std::nullopt if none counts.
    [[nodiscard]] std::optional<LoadEstimate> estimate(std::string_view upstream, Time now) const;

    /// @brief Drops the reports about an upstream that has restarted or gone.
    void drop(std::string_view upstream);

    /// @brief Removes expired reports.
    void removeExpired(Time now);

private:
    struct Report {
        UpstreamLoad load;
        double rejectedPerSecond { 0 };
        Time at;
    };
    using ReportsByVm = std::map<std::string, Report, std::less<>>;

    std::map<std::string, ReportsByVm, std::less<>> reports; ///< By upstream.
};

/// @brief Mean of a count over about 100 ms, from the moments at which it is looked at.
class RecentMean {
public:
    /// @brief Records the count at `now`; between two records, the earlier one holds.
    void note(double count, Time now) noexcept;

    [[nodiscard]] double value() const noexcept { return this->mean; }

private:
    double mean { 0 };
    double last { 0 };
    Time lastAt;
};

/// @brief What a daemon knows about an upstream when it decides how many statements it may send there.
struct WindowInputs {
    std::uint32_t slots { 1 };
    std::uint32_t localLimit { 1 }; ///< Limit without knowledge of other daemons.
    double ownDemand { 0 }; ///< Mean of the statements of this daemon that run on the upstream or wait for it.
    const std::optional<LoadEstimate>& others;
};

/// @brief Number of statements that all daemons together keep at an upstream: its slots and a short queue.
[[nodiscard]] double sharedWindow(std::uint32_t slots) noexcept;

/**
 * @brief Returns how many statements this daemon may have at an upstream at once.
 *
 * The daemons share one window in proportion to their demand, so that statements wait in the daemons, in order of urgency, and not at the upstream.
 * While the demand of all fits into the window, a daemon may also use what is left of it. Each may always send one. Without reports, the local limit holds.
 */
[[nodiscard]] std::uint32_t windowShare(const WindowInputs& inputs) noexcept;

}

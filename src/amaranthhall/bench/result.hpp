#pragma once

#include "amaranthhall/bench/harm.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::bench {

/// @brief Quantiles in milliseconds; all 0 if nothing was measured.
struct Quantiles {
    double p50 { 0 };
    double p99 { 0 };
    double max { 0 };
    std::size_t count { 0 };
};

/// @brief Computes quantiles of values by rank.
[[nodiscard]] Quantiles computeQuantiles(std::vector<double> values);

/// @brief Most connections that were open to an upstream at once, against its limit.
struct ConnectionUse {
    std::string upstream;
    std::uint32_t most { 0 };
    std::uint32_t limit { 0 };
};

/// @brief Operations that ended within one second of a run, for plots.
struct SecondCount {
    std::uint32_t acknowledged { 0 };
    std::uint32_t reads { 0 };
    std::uint32_t refused { 0 };
    std::uint32_t unknown { 0 };
};

/// @brief A fault as it was brought about.
struct FaultNote {
    double second { 0 }; ///< Since the start of the load.
    std::string what;
    std::optional<double> gapMillis; ///< Set where the fault stops a primary.
    bool stopsWrites { false }; ///< A gap was to be measured; without gapMillis no write followed.
};

/// @brief What a run gave.
struct RunResult {
    std::string experiment;
    std::string profile;
    std::uint64_t seed { 0 };
    double seconds { 0 };
    HarmCounts harm;
    std::uint64_t acknowledged { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t readsServed { 0 };
    std::uint64_t readsRefused { 0 };
    std::optional<double> replicaReadShare;
    Quantiles failoverGap;
    Quantiles writeLatency;
    Quantiles readLatency;
    std::vector<ConnectionUse> connections;
    std::vector<FaultNote> faults;
    std::vector<SecondCount> timeline;
};

/// @brief Writes a result as JSON.
[[nodiscard]] nlohmann::json encodeResult(const RunResult& result);

/// @brief Tells whether no promise was broken and no connection limit exceeded.
[[nodiscard]] bool isHarmless(const RunResult& result);

/// @brief Counts what the callers of a run were told into a result.
void addHistory(RunResult& result, const History& history, Time begin);

}

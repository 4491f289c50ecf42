#pragma once

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace amaranthhall::bench {

/// @brief How to measure what one daemon costs.
struct OverheadOptions {
    std::string binaries;
    std::string workFolder;
    std::size_t callers { 32 }; ///< For the throughput.
    std::size_t idleCallers { 1000 }; ///< For the memory of each.
    std::chrono::milliseconds length { 3000 }; ///< Of each part.
};

/**
 * @brief Measures one daemon against a direct connection to the stand-in in the same run.
 * @return Latencies in milliseconds, direct and through the daemon; statements a second; statements
 * for each second of the daemon's processor time; bytes for each idle caller.
 */
[[nodiscard]] nlohmann::json measureOverhead(const OverheadOptions& options);

}

#pragma once

#include "amaranthhall/bench/profile.hpp"
#include "amaranthhall/bench/result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhall::bench {

/// @brief What to run.
struct ExperimentOptions {
    std::string name;
    Profile profile;
    std::uint64_t seed { 1 };
    std::chrono::milliseconds length { 30'000 }; ///< Of the load.
    std::string binaries; ///< Folder of the programs.
    std::string workFolder; ///< Folder for settings and logs.
    std::function<void(std::string_view)> progress; ///< Gets a line from time to time; may be left out.
};

/**
 * @brief Starts a cluster, puts load and faults on it, and reads the databases back.
 * @return What the run gave; throws std::runtime_error if the cluster cannot be started or read back.
 */
[[nodiscard]] RunResult runExperiment(const ExperimentOptions& options);

}

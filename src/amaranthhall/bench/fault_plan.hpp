#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/rig/cluster.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::bench {

/// @brief One fault of a plan.
struct PlannedFault {
    std::chrono::milliseconds at { 0 }; ///< Since the start of the load.
    std::string what;
    std::size_t stopsInstance { 0 }; ///< Instance whose primary it stops; 0 for none.
    std::function<void()> begin;
};

/// @brief Names of the experiments that exist.
[[nodiscard]] std::vector<std::string_view> listExperiments();

/**
 * @brief Plans the faults of an experiment.
 * @param name One of listExperiments().
 * @param length How long the load lasts.
 * @param random Chooses times and victims of `storm`.
 * @return The faults in the order of their time; throws std::invalid_argument for an unknown name.
 */
[[nodiscard]] std::vector<PlannedFault> planFaults(std::string_view name, rig::Cluster& cluster, std::chrono::milliseconds length, Random& random);

}

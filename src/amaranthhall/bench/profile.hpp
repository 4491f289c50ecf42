#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::bench {

/// @brief How often each kind of operation occurs, in parts of 100; what is left over is read-your-writes reads.
struct OperationMix {
    std::uint32_t writes { 20 };
    std::uint32_t keyedWrites { 10 };
    std::uint32_t transactions { 5 };
    std::uint32_t staleReads { 15 }; ///< Reads that accept an age.
};

/// @brief A user's cluster and load.
struct Profile {
    std::string name;
    std::string service;
    std::vector<std::string> zones;
    std::size_t instances { 3 };
    std::size_t daemons { 14 };
    std::uint32_t connectionLimit { 30 };
    std::chrono::milliseconds connectDelay { 10 };
    std::size_t callers { 60 };
    double arrivalsPerSecond { 300 }; ///< Operations, over all callers.
    double roamShare { 0.05 }; ///< Share of operations after which a caller moves to another daemon.
    OperationMix mix;
};

/// @brief Finds a profile by its name, `lautoka` or `corrib`.
[[nodiscard]] std::optional<Profile> findProfile(std::string_view name);

}

#pragma once

#include "amaranthhall/bench/latency.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace amaranthhall::bench {

/// @brief Callers that each send the next statement as soon as the last is answered.
struct ClosedLoopOptions {
    std::vector<kernel::Address> targets; ///< Callers are dealt out over them in turn.
    std::vector<std::string> databases; ///< Likewise.
    std::size_t callers { 1 };
    std::string statement;
    std::chrono::milliseconds warmUp { 500 };
    std::chrono::milliseconds length { 3000 };
};

/// @brief What a closed loop measured after its warm-up.
struct ClosedLoopResult {
    LatencyHistogram latency;
    std::uint64_t answered { 0 };
    std::uint64_t failed { 0 };
    std::chrono::duration<double> seconds { 0 };
};

/// @brief Runs a closed loop; throws std::runtime_error if no caller can connect.
/// @param atStart Called when the warm-up ends.
[[nodiscard]] ClosedLoopResult runClosedLoop(const ClosedLoopOptions& options, const std::function<void()>& atStart);

}

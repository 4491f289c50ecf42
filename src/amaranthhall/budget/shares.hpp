#pragma once

#include <cstddef>
#include <cstdint>

namespace amaranthhall::budget {

/// @brief What a process may use.
struct VmLimits {
    std::uint64_t memory { 0 }; ///< In bytes.
    std::size_t descriptors { 0 };
};

/// @brief What of it connections from outside may use; the rest is for the process itself, the store, peers and upstreams.
struct Shares {
    std::uint64_t memory { 0 }; ///< Bytes that callers and other daemons may hold.
    std::size_t callers { 0 }; ///< Connections of callers.
    std::size_t relays { 0 }; ///< Connections of other daemons to the relay port.
    std::size_t peers { 0 }; ///< Connections of other daemons to the port for rows.
    std::size_t http { 0 }; ///< Connections to each of the ports for readiness and metrics.
};

/// @brief Divides the limits of a VM.
[[nodiscard]] Shares divideLimits(const VmLimits& limits);

}

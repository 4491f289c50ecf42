#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace amaranthhall::rig {

/// @brief What a process has used so far, as the kernel accounts it.
struct ProcessUsage {
    std::chrono::duration<double> processor { 0 }; ///< User and system time.
    std::uint64_t residentBytes { 0 };
};

/// @brief Reads a process's use; all 0 if it has gone.
[[nodiscard]] ProcessUsage readUsage(pid_t process);

}

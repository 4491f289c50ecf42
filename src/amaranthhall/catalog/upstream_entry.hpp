#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace amaranthhall::catalog {

/// @brief Role that an upstream claims to have in its group.
enum class Role : std::uint8_t {
    Primary,
    Replica,
};

/// @brief Registration of an upstream.
struct UpstreamEntry {
    std::string id;
    std::string service;
    kernel::Address address;
    std::string zone;
    Role role { Role::Replica };
    bool draining { false };
    std::uint32_t slots { 1 }; ///< Number of statements that it runs concurrently.
    std::chrono::milliseconds coldRemaining { 0 }; ///< Remaining time of slow execution after its start.
    std::uint64_t startedAt { 0 }; ///< Unix time in milliseconds; distinguishes a restart under the same id.
};

}

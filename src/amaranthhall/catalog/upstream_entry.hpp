#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace amaranthhall::catalog {

/// @brief The part that an upstream believes to play in its group.
enum class Role : std::uint8_t {
    Primary,
    Replica,
};

/// @brief What an upstream registered about itself.
struct UpstreamEntry {
    std::string id;
    std::string service;
    kernel::Address address;
    std::string zone;
    Role role { Role::Replica };
    bool draining { false };
    std::uint32_t slots { 1 }; ///< Statements that it runs at once.
    std::chrono::milliseconds coldRemaining { 0 }; ///< How much longer it is slow after its start.
    std::uint64_t startedAt { 0 }; ///< Unix milliseconds; tells a restart under the same id.
};

}

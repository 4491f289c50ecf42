#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <cstdint>
#include <string>

namespace amaranthhall::membership {

/// @brief State of a daemon in the view of the failure detector.
enum class MemberState : std::uint8_t {
    Live,
    Suspected, ///< Unresponsive, but not yet declared dead; still counted wherever safety requires it.
    Leaving, ///< Shutting down; accepts no new work.
    Dead,
};

/// @brief A daemon as its peers see it.
struct Member {
    std::string id; ///< Name of the VM it runs on; a replacement VM has a new name.
    std::uint64_t incarnation { 0 }; ///< Incremented when the daemon refutes a suspicion or its addresses change; an update with a higher incarnation wins.
    MemberState state { MemberState::Live };
    std::string region;
    std::string zone;
    kernel::Address peer; ///< Listening address for calls from other daemons.
    kernel::Address admin; ///< Listening address for calls from operators.

    friend bool operator==(const Member&, const Member&) = default;
};

}

#pragma once

#include "amaranthhall/group/log_point.hpp"

#include <cstdint>

namespace amaranthhall::group {

/// @brief What an upstream is at present.
enum class Role : std::uint8_t {
    Unknown,
    Primary,
    Replica,
};

/// @brief What an upstream says of itself (`ah_status()`).
struct UpstreamStatus {
    Role role { Role::Unknown };
    Term term { 0 }; ///< Highest term that it has accepted, by a fence, a promotion or its feed.
    LogPoint last; ///< Its last log record: the term that wrote it, and its position.
    Position applied { 0 }; ///< Records of the term's primary that its reads show; a replica may hold more than it has applied.
    bool isDraining { false }; ///< The platform is about to take it away.
};

}

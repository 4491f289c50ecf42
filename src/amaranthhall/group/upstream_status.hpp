#pragma once

#include "amaranthhall/group/log_point.hpp"

#include <cstdint>

namespace amaranthhall::group {

/// @brief Current replication role of an upstream.
enum class Role : std::uint8_t {
    Unknown,
    Primary,
    Replica,
};

/// @brief Status that an upstream reports through `ah_status()`.
struct UpstreamStatus {
    Role role { Role::Unknown };
    Term term { 0 }; ///< Highest term that it has accepted through fencing, promotion or its replication feed.
    LogPoint last; ///< Term and position of its last log record.
    Position applied { 0 }; ///< Position up to which its reads show the log of the term's primary; a replica may have received more than it has applied.
    bool isDraining { false }; ///< The platform is about to remove it.
};

}

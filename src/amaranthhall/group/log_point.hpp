#pragma once

#include <compare>
#include <cstdint>

namespace amaranthhall::group {

/// @brief Number of a leadership term; every promotion starts a higher one.
using Term = std::uint64_t;

/// @brief Position in a group's log as a number of records; 0 means an empty log.
using Position = std::uint64_t;

/// @brief A term and position in a group's log, ordered by term first.
struct LogPoint {
    Term term { 0 };
    Position position { 0 };

    friend auto operator<=>(const LogPoint&, const LogPoint&) = default;
};

}

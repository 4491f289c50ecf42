#pragma once

#include <compare>
#include <string>

namespace amaranthhall::engine {

/// @brief A prepared statement of a session.
struct PreparedStatement {
    bool writes { false };
    std::string shape;

    friend auto operator<=>(const PreparedStatement&, const PreparedStatement&) = default;
};

}

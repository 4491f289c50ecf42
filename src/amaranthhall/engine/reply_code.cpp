#include "amaranthhall/engine/reply_code.hpp"

#include <array>
#include <cstddef>

namespace amaranthhall::engine {

std::string_view nameOf(ReplyCode code) noexcept
{
    constexpr std::array<std::string_view, 16> names {
        "none", "busy", "lagging", "read_only", "misrouted", "too_many_connections", "aborted", "unknown_statement",
        "failed", "timed_out", "in_doubt", "unknown_database", "malformed", "too_large", "not_authorised", "other"
    };
    return names[static_cast<std::size_t>(code)];
}

}

#pragma once

#include <cstdint>
#include <string>

namespace amaranthhall::engine {

/// @brief Kind of statement sent by a caller.
enum class RequestKind : std::uint8_t {
    Begin,
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    Set,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

/// @brief A statement sent by a caller.
struct Request {
    std::string id; ///< Chosen by the caller, forwarded to the upstream.
    RequestKind kind { RequestKind::Malformed };
    std::string text; ///< Statement text as sent by the caller.
    std::string name; ///< Name of the setting or prepared statement.
    std::string value; ///< Value of a setting, shape of a prepared statement, or arguments of an Execute.
    bool writes { false }; ///< Set for a Write, or for a Prepare of a statement that writes.
};

}

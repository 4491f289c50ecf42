#pragma once

#include <cstdint>
#include <string>

namespace amaranthhall::engine {

/// @brief What a caller asks for.
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

/// @brief One statement of a caller.
struct Request {
    std::string id; ///< Chosen by the caller, passed on to the upstream.
    RequestKind kind { RequestKind::Malformed };
    std::string text; ///< As the caller sent it.
    std::string name; ///< Of the setting or prepared statement.
    std::string value; ///< Of the setting; shape of a prepared statement; arguments of an execution.
    bool writes { false }; ///< Write, or a prepared statement that writes.
};

}

#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::statement {

/// @brief What running a statement may do.
enum class StatementKind : std::uint8_t {
    Read, ///< Surely changes nothing and takes no lock; a replica may run it.
    Write, ///< May change data, or nothing more is known.
    Begin,
    Commit,
    Rollback,
    Savepoint, ///< SAVEPOINT, RELEASE or ROLLBACK TO.
    Set, ///< SET or RESET of a session's parameter.
    Show,
    Copy,
    Deallocate,
    SessionState, ///< Leaves state on the connection: temporary tables, LISTEN, advisory locks, cursors WITH HOLD.
    Empty,
    Forbidden, ///< Calls the upstreams' control functions, which are not for callers.
    Unsupported, ///< Cannot be served through pooled links, such as COMMIT AND CHAIN, or COPY of a query that may write.
    Unparsable,
};

/// @brief A parameter that a SET gives a value, or RESET its default.
struct Assignment {
    std::string name; ///< In lower case, such as `amaranthhall.request_key`.
    std::string value;
    bool isLocal { false }; ///< SET LOCAL.
    bool isReset { false };
};

/// @brief One statement of a text.
struct Classification {
    StatementKind kind { StatementKind::Write };
    std::string text; ///< The statement alone.
    Assignment assignment; ///< For Set; for Show the name only.
    std::string preparedName; ///< For Deallocate: the statement's name; empty for ALL.
    bool isCopyIn { false }; ///< For Copy: the caller sends the data.
    std::vector<std::string> unverifiedFunctions; ///< For Read: called functions that are not known to be safe.
};

/**
 * @brief Splits a text into statements and classifies each, by the PostgreSQL parser.
 * @param text What a caller sent.
 * @param safeFunctions Further functions that change nothing, from the operators' table.
 * @return The statements; one of kind Unparsable if the text cannot be parsed.
 */
[[nodiscard]] std::vector<Classification> classify(std::string_view text, std::span<const std::string> safeFunctions);

/**
 * @brief Classifies a text as if every function were safe, and lists those that are not known to be.
 * @return The statements, whose reads have still to pass resolveFunctions().
 */
[[nodiscard]] std::vector<Classification> classifyUnresolved(std::string_view text);

/// @brief Turns each read that calls a function outside of a list into a write.
void resolveFunctions(std::span<Classification> statements, std::span<const std::string> safeFunctions);

}

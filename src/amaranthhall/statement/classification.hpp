#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::statement {

/// @brief Kind of a statement by its possible effects.
enum class StatementKind : std::uint8_t {
    Read, ///< Known to modify nothing and to take no lock; may run on a replica.
    Write, ///< May modify data, or its effects are unknown.
    Begin,
    Commit,
    Rollback,
    Savepoint, ///< SAVEPOINT, RELEASE or ROLLBACK TO.
    Set, ///< SET or RESET of a session parameter, or DISCARD.
    Show,
    Copy,
    Deallocate,
    SessionState, ///< Leaves state in the server session: temporary tables, LISTEN, advisory locks, cursors WITH HOLD.
    Empty,
    Forbidden, ///< Calls a control function of the upstreams, which clients must not use.
    Unsupported, ///< Cannot run on pooled connections, such as COMMIT AND CHAIN, or COPY of a query that may write.
    Unparsable,
};

/// @brief A session parameter and the value that SET assigns, or its default after RESET.
struct Assignment {
    std::string name; ///< Parameter name in lower case, such as `amaranthhall.request_key`.
    std::string value;
    bool isLocal { false }; ///< Limited to the transaction, as in SET LOCAL and SET TRANSACTION.
    bool isReset { false }; ///< Restores the default.
};

/// @brief One SQL statement and its classification.
struct Classification {
    StatementKind kind { StatementKind::Write };
    std::string text; ///< SQL text of this statement only.
    Assignment assignment; ///< For Set; for Show only its name.
    std::string preparedName; ///< For Deallocate: name of the prepared statement; empty for ALL.
    bool isCopyIn { false }; ///< For Copy: COPY FROM, where the client sends the data.
    std::vector<std::string> unverifiedFunctions; ///< For Read: called functions that are not on the built-in list of safe functions.
};

/**
 * @brief Splits SQL text into statements with the PostgreSQL parser and classifies each.
 * @param text SQL text as sent by the client.
 * @param safeFunctions Further functions without side effects, from the configuration table.
 * @return The statements; a single one of kind Unparsable, or Forbidden if it mentions a control function, if the text cannot be parsed.
 */
[[nodiscard]] std::vector<Classification> classify(std::string_view text, std::span<const std::string> safeFunctions);

/**
 * @brief Classifies SQL text as if every function were safe, and lists the functions that are not known to be safe.
 *
 * The result depends on the text only, so it can be cached while the configured safe functions change.
 *
 * @return The statements; resolveFunctions() must be applied before they are used.
 */
[[nodiscard]] std::vector<Classification> classifyUnresolved(std::string_view text);

/// @brief Reclassifies each read as a write if it has an unverified function that is not in `safeFunctions`.
void resolveFunctions(std::span<Classification> statements, std::span<const std::string> safeFunctions);

}

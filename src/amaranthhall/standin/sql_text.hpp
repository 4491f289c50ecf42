#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::standin {

/// @brief Gives the first word of a statement in capitals.
[[nodiscard]] std::string firstWord(std::string_view text);

/// @brief Gives the words of a statement in capitals, as far as they are letters, digits, `_` and `.`.
[[nodiscard]] std::vector<std::string> splitWords(std::string_view text);

/// @brief Cuts a text into its statements at semicolons outside of quotes and comments.
[[nodiscard]] std::vector<std::string_view> splitStatements(std::string_view text);

/// @brief What a statement does to the session's transaction.
enum class TransactionCommand : std::uint8_t {
    None,
    Begin,
    Commit,
    Rollback,
    Savepoint,
    Release,
    RollbackTo,
};

/// @brief Recognises a statement that steers the transaction.
[[nodiscard]] TransactionCommand readTransactionCommand(std::string_view text);

/// @brief A statement without its locking clause, which SQLite does not know.
struct LockingText {
    std::string text;
    bool locks { false };
};

/// @brief Takes a closing `FOR UPDATE` or `FOR SHARE` off a statement.
[[nodiscard]] LockingText stripLocking(std::string_view text);

/// @brief Tells whether a statement would give another result when a replica runs it, or would not be seen by others.
[[nodiscard]] bool isUnreplicable(std::string_view text);

/// @brief Recognises `SELECT pg_sleep(seconds)`; gives the seconds.
[[nodiscard]] std::optional<double> parseSleep(std::string_view text);

}

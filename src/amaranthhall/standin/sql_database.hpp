#pragma once

#include "amaranthhall/pgwire/error_fields.hpp"
#include "amaranthhall/pgwire/frame_writer.hpp"
#include "amaranthhall/standin/group_log.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace amaranthhall::standin {

/// @brief Why a statement did not run.
struct SqlFailure {
    pgwire::ErrorFields error;
    bool isBusy { false }; ///< Another transaction is in the way; the same call may succeed later.
};

template <typename Type>
using SqlExpected = tl::expected<Type, SqlFailure>;

class SqlDatabase;

/// @brief One prepared statement, stepped through row by row.
class SqlStatement {
public:
    SqlStatement(SqlDatabase& database, sqlite3_stmt* prepared);

    [[nodiscard]] bool isReadOnly() const noexcept;
    [[nodiscard]] std::size_t parameterCount() const noexcept;

    /// @brief Binds parameters in text format, by their numbers `$1`, `$2` and so on.
    void bind(std::span<const LoggedParameter> parameters);

    /// @brief Goes to the next row; gives false after the last one. A busy failure may be repeated.
    [[nodiscard]] SqlExpected<bool> step();

    /// @brief Describes the columns; a column without a declared type has that of the present row.
    [[nodiscard]] std::vector<pgwire::Column> columns() const;

    [[nodiscard]] bool hasColumns() const noexcept;

    /// @brief Gives a value of the present row in text format.
    [[nodiscard]] std::optional<std::string> value(std::size_t column, std::int32_t type) const;

private:
    struct Closer {
        void operator()(sqlite3_stmt* statement) const noexcept;
    };

    SqlDatabase* database;
    std::unique_ptr<sqlite3_stmt, Closer> handle;
};

/// @brief One connection to a named SQLite database in memory; connections of one name see the same data.
class SqlDatabase {
public:
    explicit SqlDatabase(const std::string& name);

    /// @brief Prepares one statement.
    [[nodiscard]] SqlExpected<SqlStatement> prepare(std::string_view text);

    /// @brief Runs one statement to its end and drops its rows.
    SqlExpected<void> run(std::string_view text, std::span<const LoggedParameter> parameters = {});

    /// @brief Tells whether a transaction is open.
    [[nodiscard]] bool inTransaction() const noexcept;

    /// @brief Gives the rows that the last INSERT, UPDATE or DELETE changed.
    [[nodiscard]] int changes() const noexcept;

    /// @brief Reads the error of the last call that failed.
    [[nodiscard]] SqlFailure readFailure() const;

private:
    struct Closer {
        void operator()(sqlite3* handle) const noexcept;
    };

    std::unique_ptr<sqlite3, Closer> handle;
};

}

#pragma once

#include "amaranthhall/standin/sql_database.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::standin {

class UpstreamServer;

/// @brief A statement that has begun to run.
struct Execution {
    std::optional<SqlStatement> statement; ///< Empty for a statement that only steers the transaction.
    std::vector<pgwire::Column> columns;
    bool hasRow { false };
    std::size_t rows { 0 }; ///< Rows read so far.
    std::string tag; ///< Set once the statement has ended.
};

/// @brief A session's transaction on the database; a commit appends to the upstream's log.
class SqlTransaction {
public:
    explicit SqlTransaction(UpstreamServer& server);

    /**
     * @brief Begins a statement; one that gives no rows has ended when this returns.
     * @return The execution, or why it failed. After a busy failure the same call may be repeated.
     */
    [[nodiscard]] SqlExpected<Execution> start(const std::string& text, const std::vector<LoggedParameter>& parameters);

    /// @brief Goes to an execution's next row, or ends it.
    [[nodiscard]] SqlExpected<void> advance(Execution& execution);

    /// @brief Commits unless a transaction block is open; may be busy.
    [[nodiscard]] SqlExpected<void> commitImplicit();

    /// @brief Opens the transaction with its write lock taken, for work that must not be interrupted; may be busy.
    [[nodiscard]] SqlExpected<void> lockForWrite(std::string_view verb);

    /// @brief Notes that a statement failed.
    void markFailed();

    /// @brief Ends whatever is open, as the upstream has to.
    void rollBack();

    /// @brief Rolls back what was written, since the upstream is no longer primary, or what stands in the way of replay.
    void interrupt();

    /// @brief Tells whether a transaction block is open.
    [[nodiscard]] bool isExplicit() const noexcept { return this->inBlock; }

    [[nodiscard]] pgwire::TransactionStatus status() const noexcept;
    [[nodiscard]] SqlDatabase& database() noexcept { return this->connection; }

    /// @brief Gives the warnings since the last call.
    [[nodiscard]] std::vector<pgwire::ErrorFields> takeNotices();

private:
    struct Savepoint {
        std::string name;
        std::size_t written;
    };

    [[nodiscard]] SqlExpected<Execution> steer(const std::string& text);
    [[nodiscard]] SqlExpected<Execution> steerSavepoint(const std::string& text);
    [[nodiscard]] SqlExpected<Execution> startSql(const std::string& text, const std::vector<LoggedParameter>& parameters);
    [[nodiscard]] SqlExpected<void> open(bool forWrite);
    [[nodiscard]] SqlExpected<void> commit();
    [[nodiscard]] bool mayWrite() const;
    void endBlock();

    UpstreamServer& server;
    SqlDatabase connection;
    std::vector<LoggedStatement> written;
    std::optional<LoggedStatement> running;
    std::vector<Savepoint> savepoints;
    std::vector<pgwire::ErrorFields> notices;
    bool inBlock { false };
    bool isFailed { false };
    bool isReadOnly { false };
};

}

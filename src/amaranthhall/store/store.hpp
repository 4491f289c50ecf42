#pragma once

#include "amaranthhall/freshness/store_clock.hpp"
#include "amaranthhall/store/version.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace amaranthhall::store {

/// @brief Identifies a row.
struct RowKey {
    std::string table;
    std::string partition; ///< Changes of rows in the same partition are ordered; may be empty.
    std::string key;

    friend bool operator==(const RowKey&, const RowKey&) = default;
};

/// @brief A row, or a tombstone of a removed row.
struct Row {
    RowKey key;
    std::string value;
    Version version;
    bool isRemoved { false };
};

/// @brief Result of a read or of a wait for changes.
struct Rows {
    std::vector<Row> rows;
    Version version; ///< All changes up to this version are included.
    bool hasMore { false }; ///< A further page follows.
    freshness::Micros readAt { 0 }; ///< Store time at which the rows were read; 0 if the answer does not tell.
};

/// @brief Precondition of a transaction: the row must still have this version; the number 0 means that it must not exist.
struct Condition {
    RowKey key;
    Version version;
};

/// @brief Changes that are committed atomically.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Row> puts;
    std::vector<RowKey> removals;
};

/// @brief Why a call failed.
enum class StoreError : std::uint8_t {
    Unreachable, ///< No effect: the request was not sent, or the store answered that it is unavailable.
    Throttled, ///< No effect: rate limited.
    Conflict, ///< No effect: a condition does not hold.
    HistoryGone, ///< The change feed no longer contains the requested version.
    Unknown, ///< No answer; a transaction may have been committed or may still be committed.
    Malformed, ///< The answer cannot be decoded.
};

/// @brief Returns the name of an error for logs.
[[nodiscard]] std::string_view nameOf(StoreError error) noexcept;

/// @brief Result of a call.
template <typename Value>
using StoreResult = tl::expected<Value, StoreError>;

/// @brief Asynchronous client of the platform's metadata store.
class Store {
public:
    using RowsCallback = std::function<void(StoreResult<Rows>)>;
    using CommitCallback = std::function<void(StoreResult<Version>)>;

    Store() = default;
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;
    virtual ~Store() = default;

    /// @brief Reads a page of rows in a partition of a table, starting at a key (inclusive).
    virtual void read(const std::string& table, const std::string& partition, const std::string& from, RowsCallback done) = 0;

    /// @brief Waits up to the given time for changes of a table after a version (long poll).
    virtual void follow(const std::string& table, Version after, std::chrono::milliseconds wait, RowsCallback done) = 0;

    /// @brief Commits a transaction; the result is the version of its changes.
    virtual void commit(const Transaction& transaction, CommitCallback done) = 0;

    /// @brief Returns the newest era in any answer so far, including errors.
    [[nodiscard]] virtual Era era() const noexcept = 0;

    /// @brief Returns the bounds of the store's clock that follow from the answers so far.
    [[nodiscard]] virtual const freshness::StoreClock& clock() const noexcept = 0;
};

}

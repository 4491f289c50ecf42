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

/// @brief Names a row.
struct RowKey {
    std::string table;
    std::string partition; ///< Rows of one part change in order of each other; may be empty.
    std::string key;

    friend bool operator==(const RowKey&, const RowKey&) = default;
};

/// @brief A row, or that it was removed.
struct Row {
    RowKey key;
    std::string value;
    Version version;
    bool isRemoved { false };
};

/// @brief Rows of a table as of a moment, or what has changed since a version.
struct Rows {
    std::vector<Row> rows;
    Version version; ///< Newest version that the rows account for.
    bool hasMore { false };
};

/// @brief A row that must still have a version; the number 0 means that it must not exist.
struct Condition {
    RowKey key;
    Version version;
};

/// @brief Changes that are all made, or none.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Row> puts;
    std::vector<RowKey> removals;
};

/// @brief Why a call failed.
enum class StoreError : std::uint8_t {
    Unreachable, ///< Nothing was done: not sent, or refused as not available.
    Throttled, ///< Nothing was done: too many calls.
    Conflict, ///< Nothing was done: a condition does not hold.
    HistoryGone, ///< The feed no longer reaches back so far.
    Unknown, ///< No answer; a transaction may have been made, or may be made yet.
    Malformed, ///< The answer can't be read.
};

/// @brief Gives the name of an error for logs.
[[nodiscard]] std::string_view nameOf(StoreError error) noexcept;

/// @brief Outcome of a call.
template <typename Value>
using StoreResult = tl::expected<Value, StoreError>;

/// @brief The platform's metadata store.
class Store {
public:
    using RowsCallback = std::function<void(StoreResult<Rows>)>;
    using CommitCallback = std::function<void(StoreResult<Version>)>;

    Store() = default;
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;
    virtual ~Store() = default;

    /// @brief Reads rows of a part of a table with keys after a given one.
    virtual void read(const std::string& table, const std::string& partition, const std::string& from, RowsCallback done) = 0;

    /// @brief Waits for changes of a table after a version, for up to the given time.
    virtual void follow(const std::string& table, Version after, std::chrono::milliseconds wait, RowsCallback done) = 0;

    /// @brief Makes changes; gives the version that they got.
    virtual void commit(const Transaction& transaction, CommitCallback done) = 0;

    /// @brief Gives the newest era that an answer told, successful or not.
    [[nodiscard]] virtual Era era() const noexcept = 0;

    /// @brief Gives the bounds of the store's clock, as the answers told it.
    [[nodiscard]] virtual const freshness::StoreClock& clock() const noexcept = 0;
};

}

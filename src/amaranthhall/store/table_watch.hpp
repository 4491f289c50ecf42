#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/store/store.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace amaranthhall::store {

/**
 * @brief Keeps a copy of a table up to date: one listing, then its feed; or rows that other daemons hand on.
 *
 * The rows of one part of the table are kept. After a lost history or a failure of the listing it lists anew. A row that a listing lacks, and an earlier one or
 * the feed had, is told as removed.
 *
 * An answer of a newer era means that the store came back from a copy: the table is listed anew, and what was known stays in use until the listing is whole.
 * Rows that the copy has unchanged are not told again.
 */
class TableWatch {
public:
    /// @brief What a watch tells.
    struct Callbacks {
        std::function<void(const Row&)> changed; ///< A row is new, changed or removed.
        std::function<void()> batchApplied; ///< All changes of one answer were told.
        std::function<void(bool isReachable)> reachabilityChanged; ///< The store was regained or lost.
    };

    /// @brief How a watch is built.
    struct Options {
        std::string table;
        std::string partition;
        std::uint64_t seed { 0 }; ///< Of the pauses between failed calls.
        Duration pauseAfterChange { 0 }; ///< Before the feed is asked again, so that changes in quick succession cost one call.
        Duration listDelay { 0 }; ///< After the start; if other daemons hand on the rows before, the store is not asked.
        bool follows { true }; ///< From the start on.
    };

    TableWatch(kernel::Loop& loop, Store& store, Options options, Callbacks callbacks);

    /// @brief Begins to list the table, at once or after the time that other daemons have to hand on its rows.
    void start();

    /// @brief Lists the table anew at once, unless a listing is under way or failed calls are made again by themselves.
    void refresh();

    /// @brief Sets whether it keeps asking the store; if not, rows come by merge() alone.
    void setFollowing(bool follows);
    [[nodiscard]] bool follows() const noexcept { return this->isFollowing; }

    /// @brief Asks anew at once if others know a newer version of the table than this watch.
    void noteNewerVersion(Version newestVersion);

    /// @brief Takes in rows that another daemon has, in any order; older ones than known are dropped.
    void merge(const std::vector<Row>& rows);

    /// @brief Gives the rows that are newer than a version, removed ones among them.
    [[nodiscard]] std::vector<Row> rowsAfter(Version version) const;

    /// @brief Gives a row; nullptr if it does not exist.
    [[nodiscard]] const Row* find(const std::string& key) const noexcept;

    /// @brief Gives all rows by key, removed ones among them.
    [[nodiscard]] const std::map<std::string, Row>& rows() const noexcept { return this->rowsByKey; }

    /// @brief Gives the newest version of a row that was seen; the lowest before the first.
    [[nodiscard]] Version newestRow() const noexcept { return this->newestVersion; }

    /// @brief Tells since when the store has answered without a failure; nothing while it does not.
    [[nodiscard]] std::optional<Time> reachableSince() const noexcept { return this->connectedAt; }

    /// @brief Tells whether rows are known, by a listing or from other daemons.
    [[nodiscard]] bool hasRows() const noexcept { return this->hasListed || this->newestVersion > Version {}; }

    /// @brief Tells whether the row that is just being told is one of a newer era than the rows known before.
    [[nodiscard]] bool isApplyingNewEra() const noexcept { return this->appliesNewEra; }

    /// @brief Lists the table anew if its rows are of an earlier era than the given one.
    void updateEra(Era era);

    /// @brief Tells whether a listing was taken in.
    [[nodiscard]] bool isListed() const noexcept { return this->hasListed; }

private:
    void list(const std::string& from);
    void onListed(const StoreResult<Rows>& result);
    void follow();
    void requestChanges(std::chrono::milliseconds wait);
    void onChanges(const StoreResult<Rows>& result);
    void applyRow(const Row& row);
    void applyRows(const std::vector<Row>& rows);
    void finishListing();
    void listNewEra(Era era);
    void handleFailure(StoreError error);
    void handleSuccess();

    kernel::Loop& loop;
    Store& store;
    Options options;
    Callbacks callbacks;
    Random random;
    std::map<std::string, Row> rowsByKey; ///< By key; removed rows stay, so that an older copy does not bring them back.
    std::map<std::string, Version> listedVersions; ///< Of the listing under way.
    Version newestVersion;
    Version followedVersion;
    std::optional<Version> listingVersion;
    bool isFollowing;
    bool hasListed { false };
    unsigned failures { 0 };
    std::optional<Time> connectedAt;
    std::uint64_t requestId { 0 }; ///< Answers of an earlier round are dropped.
    Time requestedAt;
    Era appliedEra { 0 }; ///< Of the last answer that was taken in whole.
    bool appliesNewEra { false };
    bool isCatchingUp { false }; ///< A listing, or a call for changes that exist already, is under way.
    kernel::Registration timer;
};

}

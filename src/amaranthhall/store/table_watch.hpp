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
 * @brief Keeps a local copy of one partition of a table up to date.
 *
 * The rows come from a listing followed by the change feed of the store, or from other daemons through merge(). The table is listed again if the feed no longer
 * contains the followed version or if a listing has failed. A known row that is absent from a complete listing is reported as removed.
 *
 * An answer of a newer era means that the store was restored from a copy: the table is listed again, and known rows stay in use until the listing is complete.
 * Rows whose value is the same in the new era are not reported again.
 */
class TableWatch {
public:
    struct Callbacks {
        std::function<void(const Row&)> changed; ///< A row was added, changed or removed.
        std::function<void()> batchApplied; ///< All changes of an answer or of a merge were reported.
        std::function<void(bool isReachable)> reachabilityChanged; ///< The store has become reachable or unreachable.
    };

    struct Options {
        std::string table;
        std::string partition;
        std::uint64_t seed { 0 }; ///< Seed of the random wait times of the feed and of the backoff.
        Duration pauseAfterChange { 0 }; ///< Wait before the next feed request after a change, so that changes in quick succession are fetched in one call.
        Duration listDelay { 0 }; ///< Wait before the first listing; it is omitted if other daemons provide the rows by then.
        bool follows { true }; ///< Whether the change feed is followed from the start.
    };

    TableWatch(kernel::Loop& loop, Store& store, Options options, Callbacks callbacks);

    /// @brief Lists the table, at once or after Options::listDelay if no other daemon has provided rows by then.
    void start();

    /// @brief Lists the table again at once, unless a listing or a retry of a failed call is already in progress.
    void refresh();

    /// @brief Sets whether the change feed is followed; if not, new rows come only from merge().
    void setFollowing(bool follows);
    [[nodiscard]] bool follows() const noexcept { return this->isFollowing; }

    /// @brief Requests changes at once if other daemons have a newer version of the table and the feed has not delivered it in time.
    void noteNewerVersion(Version newestVersion);

    /// @brief Applies rows of another daemon in any order; rows older than the known ones are dropped.
    void merge(const std::vector<Row>& rows);

    /// @brief Returns the rows that are newer than a version, including removed ones.
    [[nodiscard]] std::vector<Row> rowsAfter(Version version) const;

    /// @brief Returns a row, or nullptr if it does not exist.
    [[nodiscard]] const Row* find(const std::string& key) const noexcept;

    /// @brief Returns all rows by key, including removed ones.
    [[nodiscard]] const std::map<std::string, Row>& rows() const noexcept { return this->rowsByKey; }

    /// @brief Returns the newest version of any known row; the lowest version if there is none.
    [[nodiscard]] Version newestRow() const noexcept { return this->newestVersion; }

    /// @brief Returns the store time of the newest answer up to which the copy has all changes; 0 if there was none.
    [[nodiscard]] freshness::Micros verifiedAt() const noexcept { return this->lastVerifiedAt; }

    /// @brief Returns the upper bound of the time since verifiedAt(); std::nullopt if it is unknown.
    [[nodiscard]] std::optional<Duration> age() const noexcept;

    /// @brief Returns since when the store has answered without a failure; std::nullopt while it is unreachable.
    [[nodiscard]] std::optional<Time> reachableSince() const noexcept { return this->connectedAt; }

    /// @brief Returns whether any rows are known or a listing was completed.
    [[nodiscard]] bool hasRows() const noexcept { return this->hasListed || this->newestVersion > Version {}; }

    /// @brief Returns whether the row that Callbacks::changed is reporting is of a newer era than the last applied answer.
    [[nodiscard]] bool isApplyingNewEra() const noexcept { return this->appliesNewEra; }

    /// @brief Lists the table again if the followed version is of an earlier era than the given one.
    void updateEra(Era era);

    /// @brief Returns whether a listing was completed.
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
    void noteVerified(freshness::Micros at) noexcept;

    kernel::Loop& loop;
    Store& store;
    Options options;
    Callbacks callbacks;
    Random random;
    std::map<std::string, Row> rowsByKey; ///< Removed rows are kept, so that an older version of the row does not restore them.
    std::map<std::string, Version> listedVersions; ///< By key: rows of the listing in progress.
    Version newestVersion;
    Version followedVersion; ///< The feed is requested after this version.
    std::optional<Version> listingVersion; ///< Version of the first page of the listing in progress.
    freshness::Micros lastVerifiedAt { 0 };
    freshness::Micros listingReadAt { 0 }; ///< Store time of the first page of the listing in progress.
    bool isFollowing;
    bool hasListed { false };
    unsigned failures { 0 };
    std::optional<Time> connectedAt; ///< When the store became reachable; unset while it is not.
    std::uint64_t requestId { 0 }; ///< Identifies the latest listing or feed request; answers to earlier ones are dropped.
    Time requestedAt;
    Era appliedEra { 0 }; ///< Era of the last listing or merge that was applied completely.
    bool appliesNewEra { false };
    bool isCatchingUp { false }; ///< A listing or a request for changes that already exist is in progress.
    kernel::Registration timer;
};

}

#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/store/copy_state.hpp"
#include "amaranthhall/store/poll_policy.hpp"
#include "amaranthhall/store/store.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace amaranthhall::store {

/**
 * @brief Keeps a local copy of one partition of a table up to date.
 *
 * The rows come from a listing followed by the change feed of the store, from polls, or from other daemons. The table is listed again if the feed no longer
 * contains the followed version or if a listing has failed. A known row that is absent from a complete listing is reported as removed.
 *
 * The copy has an age: the time since it was last known, by an answer of the store to this daemon or to another one, that no change is missing. From its age follows
 * whether the store is polled, beside a feed that may be waiting.
 *
 * An answer of a newer era means that the store was restored from a copy: the table is listed again, and known rows stay in use until the listing is complete.
 * Rows whose value is the same in the new era are not reported again.
 */
class TableWatch {
public:
    struct Callbacks {
        std::function<void(const Row&)> changed; ///< A row was added, changed or removed; age() is still that of the copy without it.
        std::function<void()> batchApplied; ///< All changes of an answer or of a merge were reported.
        std::function<void(bool isReachable)> reachabilityChanged; ///< The store has become reachable or unreachable.
        std::function<void()> polled { [] {} }; ///< The store has answered a poll.
        std::function<void(Row&& previous)> replacedByRestore { [](Row&&) {} }; ///< A row of a newer era, with another value, replaces a row; called before `changed`.
    };

    struct Options {
        std::string table;
        std::string partition;
        std::uint64_t seed { 0 }; ///< Seed of the random wait times of the feed and of the backoff.
        Duration pauseAfterChange { 0 }; ///< Wait before the next feed request after a change, so that changes in quick succession are fetched in one call.
        Duration listDelay { 0 }; ///< Wait before the first listing; it is omitted if other daemons provide the rows by then.
        bool follows { true }; ///< Whether the change feed is followed from the start.
        PollPolicy polling; ///< When the store is asked beside the feed.
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

    /// @brief Returns whether the feed is likely to deliver a version that other daemons have, so that it need not be fetched from them.
    [[nodiscard]] bool isFeedExpectedToDeliver(Version newestVersion);

    /// @brief Asks the store for changes if the age of the copy requires it of the daemon of this rank; see PollPolicy.
    /// @return Time until the next poll, unless this daemon hears of an answer before.
    Duration pollIfDue(std::size_t rank);

    /// @brief Sets the age at which every daemon asks the store itself.
    void setMaximumAge(Duration age) noexcept { this->options.polling.maximumAge = age; }

    /// @brief Asks the store for changes at once; does nothing before the copy is complete or while too many polls are pending.
    void poll();

    /// @brief Applies single rows in any order, such as those that this daemon has written; rows older than the known ones are dropped.
    void merge(const std::vector<Row>& rows);

    /// @brief Applies all rows of another daemon's copy that are newer than newestCompleteRow().
    void mergeCopy(const std::vector<Row>& rows, const CopyState& other);

    /// @brief Takes over until when another daemon knows that the table has no further changes, if it has no row that is missing here.
    void noteVerifiedByPeer(const CopyState& other) noexcept;

    /// @brief Returns the newest version of a row up to which no change is missing.
    [[nodiscard]] Version newestCompleteRow() const noexcept { return this->completeRow; }

    /// @brief Returns how much of the table this daemon has, for other daemons.
    [[nodiscard]] CopyState copyState() const noexcept;

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

    /// @brief Returns whether the copy has had all rows of the table once, from a listing or from another daemon.
    [[nodiscard]] bool isComplete() const noexcept { return this->hasListed || this->completeRow > Version {}; }

private:
    void list(const std::string& from);
    void onListed(const StoreResult<Rows>& result);
    void follow();
    void requestChanges(std::chrono::milliseconds wait);
    void onChanges(const StoreResult<Rows>& result, Version after);
    void onPolled(const StoreResult<Rows>& result, Version after);
    void applyChanges(const Rows& changes);
    [[nodiscard]] Duration timeUntilPoll(std::size_t rank) const;
    void suspectFeed();
    void restartFeedIfSuspected();
    [[nodiscard]] Version versionToFollow() const noexcept { return std::max(this->followedVersion, this->completeRow); }
    [[nodiscard]] Duration feedGracePeriod() const noexcept;
    void applyRow(const Row& row);
    void applyRows(const std::vector<Row>& rows);
    void finishMerge(const std::vector<Row>& rows);
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
    Version completeRow; ///< See newestCompleteRow().
    Version followedVersion; ///< Version of the store up to which no change is missing; the feed is requested after it.
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
    Version awaitedVersion; ///< Newest version that others have told of.
    Time awaitedSince;
    std::optional<Time> feedSuspectedSince; ///< When rows came another way that the waiting feed has not delivered.
    std::set<std::uint64_t> pendingPolls; ///< Ids of polls without an answer so far.
    std::uint64_t pollId { 0 };
    std::optional<Time> lastPollAt;
    unsigned pollFailures { 0 }; ///< Since the last answer to a poll.
    kernel::Registration timer;
};

}

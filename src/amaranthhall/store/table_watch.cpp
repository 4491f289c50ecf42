#include "amaranthhall/store/table_watch.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::store {

namespace {

    using namespace std::chrono_literals;

    // The wait is random, so that the calls of different daemons end at different times: daemons with a newer answer then
    // report its version by gossip, and a feed whose connection has died unnoticed is detected soon.
    constexpr int minimumFeedWait = 12'000; // ms
    constexpr int maximumFeedWait = 25'000; // ms; the store allows 30 s
    constexpr retry::BackoffOptions retryBackoff { .first = 100ms, .limit = 1000ms };
    constexpr Duration feedDeliveryTime = 300ms; // in which the feed itself delivers a change that others already have
    constexpr freshness::Micros maximumClockError = 1'000'000; // µs; a time that lies further ahead is not of the store's present clock

}

TableWatch::TableWatch(kernel::Loop& usedLoop, Store& usedStore, Options usedOptions, Callbacks usedCallbacks)
    : loop(usedLoop)
    , store(usedStore)
    , options(std::move(usedOptions))
    , callbacks(std::move(usedCallbacks))
    , random(this->options.seed)
    , isFollowing(this->options.follows)
{
}

void TableWatch::start()
{
    if (this->options.listDelay == Duration::zero()) {
        this->list({});
        return;
    }
    this->timer = this->loop.after(this->options.listDelay, [this] {
        if (!this->hasRows())
            this->list({});
    });
}

void TableWatch::list(const std::string& from)
{
    if (from.empty()) {
        ++this->requestId;
        this->listedVersions.clear();
        this->listingVersion.reset();
    }
    this->requestedAt = this->loop.now();
    this->isCatchingUp = true;
    this->store.read(this->options.table, this->options.partition, from, [this, expected = this->requestId](const StoreResult<Rows>& result) {
        if (this->requestId == expected)
            this->onListed(result);
    });
}

void TableWatch::onListed(const StoreResult<Rows>& result)
{
    if (!result) {
        this->handleFailure(result.error());
        return;
    }
    if (result->version.era < this->appliedEra) {
        this->handleFailure(StoreError::HistoryGone);
        return;
    }
    this->handleSuccess();
    if (!this->listingVersion) {
        this->listingVersion = result->version;
        this->listingReadAt = result->readAt;
    }
    if (result->version.era != this->listingVersion->era) {
        this->list({});
        return;
    }
    for (const auto& row : result->rows)
        this->listedVersions[row.key.key] = row.version;
    this->applyRows(result->rows);
    if (result->hasMore && !result->rows.empty()) {
        // The start key is inclusive; the smallest key after the last one is that key with a zero byte appended.
        this->list(result->rows.back().key.key + '\0');
        return;
    }
    this->finishListing();
    this->follow();
}

void TableWatch::finishListing()
{
    std::vector<Row> missing;
    for (const auto& [key, row] : this->rowsByKey) {
        if (!row.isRemoved && !this->listedVersions.contains(key) && row.version <= *this->listingVersion)
            missing.push_back({ .key = row.key, .version = *this->listingVersion, .isRemoved = true });
    }
    this->applyRows(missing);
    this->hasListed = true;
    this->isCatchingUp = false;
    this->noteVerified(this->listingReadAt);
    for (const auto& [key, row] : this->rowsByKey) {
        if (row.version <= *this->listingVersion)
            this->completeRow = std::max(this->completeRow, row.version);
    }
    this->followedVersion = *this->listingVersion;
    this->appliedEra = this->followedVersion.era;
    this->callbacks.batchApplied();
}

void TableWatch::applyRow(const Row& row)
{
    if (row.key.partition != this->options.partition)
        return;
    auto& stored = this->rowsByKey[row.key.key];
    if (row.version <= stored.version)
        return;
    const bool isSame = stored.version.number > 0 && stored.version.era < row.version.era && stored.isRemoved == row.isRemoved && stored.value == row.value;
    const bool isRestored = !isSame && stored.version.number > 0 && stored.version.era < row.version.era;
    if (isRestored)
        this->callbacks.replacedByRestore(std::exchange(stored, row));
    else
        stored = row;
    this->newestVersion = std::max(this->newestVersion, row.version);
    if (!isSame)
        this->callbacks.changed(row);
}

void TableWatch::applyRows(const std::vector<Row>& rows)
{
    for (const auto& row : rows) {
        this->appliesNewEra = row.version.era > this->appliedEra;
        this->applyRow(row);
    }
    this->appliesNewEra = false;
}

void TableWatch::merge(const std::vector<Row>& rows)
{
    this->applyRows(rows);
    this->finishMerge(rows);
}

void TableWatch::finishMerge(const std::vector<Row>& rows)
{
    for (const auto& row : rows)
        this->appliedEra = std::max(this->appliedEra, row.version.era);
    this->callbacks.batchApplied();
}

void TableWatch::mergeCopy(const std::vector<Row>& rows, const CopyState& other)
{
    if (!rows.empty())
        this->suspectFeed();
    this->applyRows(rows);
    // A daemon that has restarted since it told of its copy may answer without these rows.
    const bool hasNewestRow = std::any_of(rows.begin(), rows.end(), [&other](const Row& row) { return row.version >= other.newestRow; });
    if (hasNewestRow)
        this->completeRow = std::max(this->completeRow, other.newestRow);
    this->noteVerifiedByPeer(other);
    this->finishMerge(rows);
}

void TableWatch::noteVerifiedByPeer(const CopyState& other) noexcept
{
    if (other.newestRow > this->completeRow || other.newestRow.era < this->completeRow.era)
        return;
    const auto now = this->store.clock().latestStoreTime(freshness::bootNow());
    if (other.verifiedAt <= this->lastVerifiedAt || (now && other.verifiedAt > *now + maximumClockError))
        return;
    this->lastVerifiedAt = other.verifiedAt;
    this->followedVersion = std::max(this->followedVersion, Version { .era = other.newestRow.era, .number = other.verifiedVersion });
}

CopyState TableWatch::copyState() const noexcept
{
    const bool isSameEra = this->followedVersion.era == this->completeRow.era;
    return { .newestRow = this->completeRow, .verifiedAt = this->lastVerifiedAt, .verifiedVersion = isSameEra ? this->followedVersion.number : 0 };
}

std::vector<Row> TableWatch::rowsAfter(Version version) const
{
    std::vector<Row> rows;
    for (const auto& [key, row] : this->rowsByKey) {
        if (row.version > version)
            rows.push_back(row);
    }
    return rows;
}

const Row* TableWatch::find(const std::string& key) const noexcept
{
    const auto found = this->rowsByKey.find(key);
    return found == this->rowsByKey.end() || found->second.isRemoved ? nullptr : &found->second;
}

void TableWatch::follow()
{
    if (!this->isFollowing)
        return;
    this->requestChanges(std::chrono::milliseconds(std::uniform_int_distribution<int>(minimumFeedWait, maximumFeedWait)(this->random)));
}

void TableWatch::requestChanges(std::chrono::milliseconds wait)
{
    this->timer.reset();
    this->requestedAt = this->loop.now();
    this->isCatchingUp = wait == std::chrono::milliseconds::zero();
    this->feedSuspectedSince.reset();
    const auto after = this->versionToFollow();
    this->store.follow(this->options.table, after, wait, [this, after, expected = ++this->requestId](const StoreResult<Rows>& result) {
        if (this->requestId == expected)
            this->onChanges(result, after);
    });
}

/// Applies an answer that has all changes between the version of its request and its own one.
void TableWatch::applyChanges(const Rows& changes)
{
    this->applyRows(changes.rows);
    for (const auto& row : changes.rows)
        this->completeRow = std::max(this->completeRow, row.version);
    this->followedVersion = std::max(this->followedVersion, changes.version);
    this->noteVerified(changes.readAt);
    if (!changes.rows.empty())
        this->callbacks.batchApplied();
}

void TableWatch::onChanges(const StoreResult<Rows>& result, Version after)
{
    if (!result) {
        this->handleFailure(result.error());
        return;
    }
    if (result->version.era < after.era) {
        this->handleFailure(StoreError::HistoryGone);
        return;
    }
    this->handleSuccess();
    if (result->version.era > after.era) {
        this->listNewEra(result->version.era);
        return;
    }
    this->feedSuspectedSince.reset();
    this->isCatchingUp = false;
    this->applyChanges(*result);
    if (result->rows.empty() || this->options.pauseAfterChange == Duration::zero())
        this->follow();
    else
        this->timer = this->loop.after(this->options.pauseAfterChange, [this] { this->follow(); });
}

void TableWatch::poll()
{
    if (!this->isComplete() || this->pendingPolls.size() >= maximumPendingPolls)
        return;
    this->lastPollAt = this->loop.now();
    const auto after = this->versionToFollow();
    const auto id = ++this->pollId;
    this->pendingPolls.insert(id);
    this->store.follow(this->options.table, after, std::chrono::milliseconds::zero(), [this, after, id](const StoreResult<Rows>& result) {
        this->pendingPolls.erase(id);
        this->onPolled(result, after);
    });
}

void TableWatch::onPolled(const StoreResult<Rows>& result, Version after)
{
    const bool isOutdated = result && result->version.era < this->versionToFollow().era;
    if (!result || isOutdated) {
        if (this->pollFailures++ == 0)
            telemetry::logEvent(telemetry::LogLevel::Info, "store.poll_failed", { { "table", this->options.table }, { "error", isOutdated ? "an earlier era" : nameOf(result.error()) } });
        if (!result && result.error() == StoreError::HistoryGone)
            this->refresh();
        return;
    }
    this->pollFailures = 0;
    if (result->version.era > after.era) {
        if (!this->isCatchingUp)
            this->listNewEra(result->version.era);
        return;
    }
    if (!result->rows.empty())
        this->suspectFeed();
    this->applyChanges(*result);
    this->callbacks.polled();
}

Duration TableWatch::pollIfDue(std::size_t rank)
{
    if (!this->isComplete())
        return Duration::max();
    this->restartFeedIfSuspected();
    const auto remaining = this->timeUntilPoll(rank);
    if (remaining > Duration::zero())
        return remaining;
    this->poll();
    return this->timeUntilPoll(rank);
}

Duration TableWatch::timeUntilPoll(std::size_t rank) const
{
    const PollInput input {
        .rank = rank,
        .age = this->age(),
        .pending = this->pendingPolls.size(),
        .sinceLastPoll = this->lastPollAt ? std::optional(this->loop.now() - *this->lastPollAt) : std::nullopt,
        .failures = this->pollFailures,
    };
    return store::timeUntilPoll(this->options.polling, input);
}

void TableWatch::restartFeedIfSuspected()
{
    if (!this->feedSuspectedSince || this->loop.now() - *this->feedSuspectedSince < this->feedGracePeriod())
        return;
    telemetry::logEvent(telemetry::LogLevel::Info, "store.feed_restarted", { { "table", this->options.table }, { "version", formatVersion(this->completeRow) } });
    this->follow();
}

/// Notes that rows came another way than by the feed; if it does not deliver them soon, its connection is dead.
void TableWatch::suspectFeed()
{
    const bool isFeedWaiting = this->isFollowing && this->connectedAt && !this->isCatchingUp && !this->timer;
    if (isFeedWaiting && !this->feedSuspectedSince)
        this->feedSuspectedSince = this->loop.now();
}

Duration TableWatch::feedGracePeriod() const noexcept
{
    return feedDeliveryTime + this->options.pauseAfterChange;
}

/// Lists the table again after a restore of the store, because its feed does not contain the changes that the restore made.
void TableWatch::listNewEra(Era era)
{
    telemetry::logEvent(telemetry::LogLevel::Warning, "store.new_era", { { "table", this->options.table }, { "era", era }, { "known", formatVersion(this->newestVersion) } });
    this->list({});
}

void TableWatch::updateEra(Era era)
{
    const bool isBehind = this->isFollowing && this->isComplete() && era > this->versionToFollow().era;
    if (isBehind && this->failures == 0 && !this->isCatchingUp)
        this->listNewEra(era);
}

void TableWatch::refresh()
{
    if (this->failures == 0 && !this->isCatchingUp)
        this->list({});
}

void TableWatch::setFollowing(bool follows)
{
    if (std::exchange(this->isFollowing, follows) || !follows)
        return;
    if (this->failures > 0 || this->isCatchingUp)
        return;
    if (this->isComplete())
        this->requestChanges(std::chrono::milliseconds::zero());
    else
        this->list({});
}

bool TableWatch::isFeedExpectedToDeliver(Version newestElsewhere)
{
    const auto now = this->loop.now();
    if (this->awaitedVersion <= this->completeRow)
        this->awaitedSince = now;
    this->awaitedVersion = std::max(this->awaitedVersion, newestElsewhere);
    return this->isFollowing && this->connectedAt && this->isComplete() && now - this->awaitedSince < this->feedGracePeriod();
}

void TableWatch::noteNewerVersion(Version newestElsewhere)
{
    const bool isBehind = this->isComplete() && this->isFollowing && newestElsewhere > this->newestVersion && newestElsewhere > this->followedVersion;
    const auto gracePeriod = this->feedGracePeriod();
    // A large answer may take longer than the time between two calls of this function; if each call repeated the request, the answer would never arrive.
    if (!isBehind || this->failures > 0 || this->isCatchingUp || this->loop.now() - this->requestedAt < gracePeriod)
        return;
    if (newestElsewhere.era > this->versionToFollow().era) {
        this->listNewEra(newestElsewhere.era);
        return;
    }
    telemetry::logEvent(telemetry::LogLevel::Info, "store.feed_behind", { { "table", this->options.table }, { "version", formatVersion(this->followedVersion) }, { "newest", formatVersion(newestElsewhere) } });
    this->requestChanges(std::chrono::milliseconds::zero());
}

void TableWatch::handleFailure(StoreError error)
{
    if (this->connectedAt || this->failures == 0) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "store.lost", { { "table", this->options.table }, { "error", nameOf(error) }, { "version", formatVersion(this->followedVersion) } });
        this->connectedAt.reset();
        this->callbacks.reachabilityChanged(false);
    }
    this->isCatchingUp = false;
    const auto pause = retryBackoff.first / 2 + retry::jitteredDelay(retryBackoff, this->failures++, this->random);
    const bool mustList = !this->isComplete() || error == StoreError::HistoryGone || error == StoreError::Malformed;
    ++this->requestId;
    this->timer = this->loop.after(pause, [this, mustList] {
        if (mustList)
            this->list({});
        else
            this->follow();
    });
}

void TableWatch::noteVerified(freshness::Micros at) noexcept
{
    if (at == 0)
        return;
    const bool wasClockReset = at + maximumClockError < this->lastVerifiedAt;
    this->lastVerifiedAt = wasClockReset ? at : std::max(this->lastVerifiedAt, at);
}

std::optional<Duration> TableWatch::age() const noexcept
{
    const auto now = this->store.clock().latestStoreTime(freshness::bootNow());
    if (!now || this->lastVerifiedAt == 0 || this->lastVerifiedAt > *now + maximumClockError)
        return std::nullopt;
    return std::chrono::microseconds(std::max<freshness::Micros>(0, *now - this->lastVerifiedAt));
}

void TableWatch::handleSuccess()
{
    this->failures = 0;
    if (this->connectedAt)
        return;
    this->connectedAt = this->loop.now();
    telemetry::logEvent(telemetry::LogLevel::Info, "store.reached", { { "table", this->options.table } });
    this->callbacks.reachabilityChanged(true);
}

}

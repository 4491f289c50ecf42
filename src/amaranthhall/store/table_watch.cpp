#include "amaranthhall/store/table_watch.hpp"

#include "amaranthhall/retry/backoff.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::store {

namespace {

    using namespace std::chrono_literals;

    // Drawn, so that the daemons' calls end at different moments: others tell of newer versions, and a feed whose
    // connection has died unnoticed costs no more than a moment.
    constexpr int leastFeedWait = 12'000; // ms
    constexpr int mostFeedWait = 25'000; // ms; the store allows 30 s
    constexpr retry::BackoffOptions pauses { .first = 100ms, .limit = 1000ms };
    constexpr Duration hintPatience = 300ms; // the feed itself may still bring it

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
    if (this->options.listAfter == Duration::zero()) {
        this->list({});
        return;
    }
    this->timer = this->loop.after(this->options.listAfter, [this] {
        if (!this->hasRows())
            this->list({});
    });
}

void TableWatch::list(const std::string& from)
{
    if (from.empty()) {
        ++this->round;
        this->listing.clear();
        this->listingVersion.reset();
    }
    this->askedAt = this->loop.now();
    this->isCatchingUp = true;
    this->store.read(this->options.table, this->options.part, from, [this, expected = this->round](const StoreResult<Rows>& result) {
        if (this->round == expected)
            this->onListed(result);
    });
}

void TableWatch::onListed(const StoreResult<Rows>& result)
{
    if (!result) {
        this->fail(result.error());
        return;
    }
    if (result->version.era < this->settledEra) {
        this->fail(StoreError::HistoryGone);
        return;
    }
    this->succeed();
    if (!this->listingVersion)
        this->listingVersion = result->version;
    if (result->version.era != this->listingVersion->era) {
        this->list({});
        return;
    }
    for (const auto& row : result->rows)
        this->listing[row.key.key] = row.version;
    this->takeAll(result->rows);
    if (result->hasMore && !result->rows.empty()) {
        // The range begins with its first key, so the next page begins just after the last one.
        this->list(result->rows.back().key.key + '\0');
        return;
    }
    this->finishListing();
    this->follow();
}

void TableWatch::finishListing()
{
    std::vector<Row> gone;
    for (const auto& [key, row] : this->known) {
        if (!row.isRemoved && !this->listing.contains(key) && row.version <= *this->listingVersion)
            gone.push_back({ .key = row.key, .version = *this->listingVersion, .isRemoved = true });
    }
    this->takeAll(gone);
    this->listed = true;
    this->isCatchingUp = false;
    this->followed = *this->listingVersion;
    this->settledEra = this->followed.era;
    this->callbacks.settled();
}

void TableWatch::take(const Row& row)
{
    if (row.key.part != this->options.part)
        return;
    auto& place = this->known[row.key.key];
    if (row.version <= place.version)
        return;
    const bool isSame = place.version.number > 0 && place.version.era < row.version.era && place.isRemoved == row.isRemoved && place.value == row.value;
    place = row;
    this->newest = std::max(this->newest, row.version);
    if (!isSame)
        this->callbacks.changed(row);
}

void TableWatch::takeAll(const std::vector<Row>& rows)
{
    for (const auto& row : rows) {
        this->takesNewEra = row.version.era > this->settledEra;
        this->take(row);
    }
    this->takesNewEra = false;
}

void TableWatch::merge(const std::vector<Row>& rows)
{
    this->takeAll(rows);
    for (const auto& row : rows)
        this->settledEra = std::max(this->settledEra, row.version.era);
    this->callbacks.settled();
}

std::vector<Row> TableWatch::rowsAfter(Version version) const
{
    std::vector<Row> rows;
    for (const auto& [key, row] : this->known) {
        if (row.version > version)
            rows.push_back(row);
    }
    return rows;
}

const Row* TableWatch::find(const std::string& key) const noexcept
{
    const auto found = this->known.find(key);
    return found == this->known.end() || found->second.isRemoved ? nullptr : &found->second;
}

void TableWatch::follow()
{
    if (!this->isFollowing)
        return;
    this->askForChanges(std::chrono::milliseconds(std::uniform_int_distribution<int>(leastFeedWait, mostFeedWait)(this->random)));
}

void TableWatch::askForChanges(std::chrono::milliseconds wait)
{
    this->timer.reset();
    this->askedAt = this->loop.now();
    this->isCatchingUp = wait == std::chrono::milliseconds::zero();
    this->store.follow(this->options.table, this->followed, wait, [this, expected = ++this->round](const StoreResult<Rows>& result) {
        if (this->round == expected)
            this->onChanges(result);
    });
}

void TableWatch::onChanges(const StoreResult<Rows>& result)
{
    if (!result) {
        this->fail(result.error());
        return;
    }
    if (result->version.era < this->followed.era) {
        this->fail(StoreError::HistoryGone);
        return;
    }
    this->succeed();
    if (result->version.era > this->followed.era) {
        this->listNewEra(result->version.era);
        return;
    }
    this->takeAll(result->rows);
    this->followed = std::max(this->followed, result->version);
    this->isCatchingUp = false;
    if (!result->rows.empty())
        this->callbacks.settled();
    if (result->rows.empty() || this->options.pauseAfterChange == Duration::zero())
        this->follow();
    else
        this->timer = this->loop.after(this->options.pauseAfterChange, [this] { this->follow(); });
}

/// Lists the table anew, as the store came back from a copy and what has changed since is not in its feed.
void TableWatch::listNewEra(Era era)
{
    telemetry::logEvent(telemetry::LogLevel::Warning, "store.new_era", { { "table", this->options.table }, { "era", era }, { "known", formatVersion(this->newest) } });
    this->list({});
}

void TableWatch::noteEra(Era era)
{
    const bool isBehind = this->isFollowing && this->listed && era > this->followed.era;
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
    if (this->failures == 0 && !this->isCatchingUp)
        this->list({});
}

void TableWatch::hint(Version newestElsewhere)
{
    const bool isBehind = this->listed && this->isFollowing && newestElsewhere > this->newest && newestElsewhere > this->followed;
    const auto patience = hintPatience + this->options.pauseAfterChange;
    // A large answer takes longer than the pause between two hints; asked for anew each time, it would never arrive.
    if (!isBehind || this->failures > 0 || this->isCatchingUp || this->loop.now() - this->askedAt < patience)
        return;
    if (newestElsewhere.era > this->followed.era) {
        this->listNewEra(newestElsewhere.era);
        return;
    }
    telemetry::logEvent(telemetry::LogLevel::Info, "store.feed_behind", { { "table", this->options.table }, { "version", formatVersion(this->followed) }, { "newest", formatVersion(newestElsewhere) } });
    this->askForChanges(std::chrono::milliseconds::zero());
}

void TableWatch::fail(StoreError error)
{
    if (this->reachedAt || this->failures == 0) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "store.lost", { { "table", this->options.table }, { "error", nameOf(error) }, { "version", formatVersion(this->followed) } });
        this->reachedAt.reset();
        this->callbacks.reached(false);
    }
    this->isCatchingUp = false;
    const auto pause = pauses.first / 2 + retry::jitteredDelay(pauses, this->failures++, this->random);
    const bool mustList = !this->listed || error == StoreError::HistoryGone || error == StoreError::Malformed;
    ++this->round;
    this->timer = this->loop.after(pause, [this, mustList] {
        if (mustList)
            this->list({});
        else
            this->follow();
    });
}

void TableWatch::succeed()
{
    this->failures = 0;
    if (this->reachedAt)
        return;
    this->reachedAt = this->loop.now();
    telemetry::logEvent(telemetry::LogLevel::Info, "store.reached", { { "table", this->options.table } });
    this->callbacks.reached(true);
}

}

// Explores all interleavings of a small model that calls the real lease functions: two daemons, one lease, a store that may be
// restored from a backup, and writes and responses that are delayed or lost. Two daemons must never use the same fencing token, and
// a daemon must never use a token of an era that it knows to have ended. The search must detect each rule that is omitted on purpose.

#include "amaranthhall/succession/failover_lease.hpp"
#include "amaranthhall/succession/promoter.hpp"
#include "succession/breadth_first_search.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <functional>
#include <map>
#include <string>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemonCount = 2;
constexpr int maximumRestores = 1;
constexpr int maximumWrites = 3;
constexpr int maximumTicks = 1;
constexpr Duration tickDuration = 2s; // two ticks exceed leaseDuration

/// Rule that is omitted on purpose to check that the search detects the violation.
enum class OmittedRule : std::uint8_t {
    None,
    TokenWithoutEra,
    TokenOfEarlierEra,
};

/// State of the store: one row, the version counter, and the backup from which it may be restored.
struct StoreState {
    store::Era era { 0 };
    std::uint64_t number { 1 };
    std::optional<store::Row> row;
    std::uint64_t backupNumber { 1 };
    std::optional<store::Row> backupRow;
};

/// A conditional write in transit.
struct Write {
    std::size_t daemon { 0 };
    std::uint64_t condition { 0 };
    store::Row row;
};

struct DaemonState {
    succession::DaemonIdentity self;
    store::Era era { 0 };
    std::optional<store::Row> row; ///< Row as last listed.
    succession::Holder previousHolder { succession::Holder::None };
    succession::EraChange eraChange;
    std::optional<Time> takenAt; ///< Time of the last acquisition that it observed.
    bool isWriting { false };
};

struct ModelState {
    StoreState store;
    std::array<DaemonState, daemonCount> daemons;
    std::vector<Write> writes;
    Time now { 100s };
    int restores { 0 };
    int startedWrites { 0 };
    int ticks { 0 };
    std::map<std::uint64_t, std::size_t> requests; ///< Daemon by fencing token.
    std::string violation;
};

class ModelChecker {
public:
    explicit ModelChecker(OmittedRule usedRule)
        : omittedRule(usedRule)
    {
    }

    /// Returns the first violation; empty if there is none.
    std::string run()
    {
        ModelState first;
        for (std::size_t i = 0; i < daemonCount; ++i)
            first.daemons[i] = { .self = { .vm = std::string(1, static_cast<char>('a' + i)), .incarnation = 1 }, .eraChange = { .startedAt = first.now - 60s } };
        this->push(first);
        return this->search.run([this](const ModelState& state) { this->expand(state); });
    }

    [[nodiscard]] std::size_t states() const noexcept { return this->search.stateCount(); }

private:
    [[nodiscard]] std::uint64_t fencingTokenOf(const store::Version& version) const
    {
        return this->omittedRule == OmittedRule::TokenWithoutEra ? version.number : succession::fencingTokenOf(version);
    }

    /// The daemon learns the store's era, as from a refused request.
    static void learnEra(const ModelState& state, DaemonState& daemon)
    {
        if (daemon.era == state.store.era)
            return;
        daemon.era = state.store.era;
        daemon.eraChange.observedAt = state.now;
    }

    /// The daemon reads the row and learns who holds the lease.
    static void list(const ModelState& state, DaemonState& daemon)
    {
        learnEra(state, daemon);
        daemon.row = state.store.row;
        if (daemon.row)
            daemon.row->version.era = state.store.era;
        const auto holder = succession::holderOf(rowPointer(daemon), daemon.self, daemon.era);
        daemon.previousHolder = holder.value_or(daemon.previousHolder);
        const auto lease = succession::decodeLease(rowPointer(daemon));
        daemon.takenAt = lease ? std::optional(Time(std::chrono::microseconds(lease->takenAt))) : std::nullopt;
    }

    [[nodiscard]] static const store::Row* rowPointer(const DaemonState& daemon) { return daemon.row ? &*daemon.row : nullptr; }

    [[nodiscard]] std::optional<store::Version> heldVersion(const DaemonState& daemon) const
    {
        const bool ignoresEra = this->omittedRule == OmittedRule::TokenOfEarlierEra && daemon.row;
        return succession::heldVersion(rowPointer(daemon), daemon.self, ignoresEra ? daemon.row->version.era : daemon.era);
    }

    [[nodiscard]] bool mayAcquire(const ModelState& state, const DaemonState& daemon) const
    {
        if (daemon.isWriting || this->heldVersion(daemon) || !succession::isVersionOfEra(rowPointer(daemon), daemon.era))
            return false;
        const bool isLeased = daemon.previousHolder == succession::Holder::Other && daemon.takenAt && state.now - *daemon.takenAt < succession::leaseDuration;
        return !isLeased && !succession::mayBeHeldAfterRestore(daemon.eraChange, daemon.previousHolder, state.now);
    }

    void startWrite(ModelState& state, std::size_t index) const
    {
        auto& daemon = state.daemons[index];
        succession::FailoverLease lease { .holder = daemon.self, .takenAt = std::chrono::duration_cast<std::chrono::microseconds>(state.now.time_since_epoch()).count(), .era = daemon.era };
        state.writes.push_back({ .daemon = index, .condition = daemon.row ? daemon.row->version.number : 0, .row = { .value = succession::encodeLease(lease) } });
        daemon.isWriting = true;
        ++state.startedWrites;
    }

    /// The store executes a write after any delay. The condition is only a number, because the store does not record the era of a row.
    static void applyWrite(ModelState& state, std::size_t index)
    {
        auto write = state.writes[index];
        state.writes.erase(state.writes.begin() + static_cast<std::ptrdiff_t>(index));
        state.daemons[write.daemon].isWriting = false;
        const auto present = state.store.row ? state.store.row->version.number : 0;
        if (present != write.condition)
            return;
        write.row.version = { .era = state.store.era, .number = ++state.store.number };
        state.store.row = write.row;
    }

    /// Each daemon that holds the lease sends a promotion request; checks the fencing tokens.
    void requestAll(ModelState& state) const
    {
        for (std::size_t index = 0; index < daemonCount; ++index) {
            const auto& daemon = state.daemons[index];
            const auto version = this->heldVersion(daemon);
            if (!version)
                continue;
            const auto token = this->fencingTokenOf(*version);
            const auto [entry, isFirst] = state.requests.try_emplace(token, index);
            if (!isFirst && entry->second != index)
                state.violation = "two daemons use fencing token " + std::to_string(token);
            if (version->era != daemon.era)
                state.violation = "a daemon uses a fencing token of an earlier era";
        }
    }

    void explore(const ModelState& from, const std::function<void(ModelState&)>& transition)
    {
        auto next = from;
        transition(next);
        this->requestAll(next);
        this->push(next);
    }

    void expand(const ModelState& state)
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            this->explore(state, [&](ModelState& next) { list(next, next.daemons[i]); });
            this->explore(state, [&](ModelState& next) { learnEra(next, next.daemons[i]); });
            if (state.startedWrites < maximumWrites && this->mayAcquire(state, state.daemons[i]))
                this->explore(state, [&](ModelState& next) { this->startWrite(next, i); });
        }
        for (std::size_t i = 0; i < state.writes.size(); ++i) {
            this->explore(state, [&](ModelState& next) { applyWrite(next, i); });
            // The request times out in the daemon; the write may still be executed.
            this->explore(state, [&](ModelState& next) { next.daemons[next.writes[i].daemon].isWriting = false; });
        }
        if (state.restores < maximumRestores) {
            this->explore(state, [](ModelState& next) {
                ++next.restores;
                ++next.store.era;
                next.store.number = next.store.backupNumber;
                next.store.row = next.store.backupRow;
            });
            this->explore(state, [](ModelState& next) {
                next.store.backupNumber = next.store.number;
                next.store.backupRow = next.store.row;
            });
        }
        if (state.ticks < maximumTicks) {
            this->explore(state, [](ModelState& next) {
                ++next.ticks;
                next.now += tickDuration;
            });
        }
    }

    static std::string describe(const std::optional<store::Row>& row)
    {
        return row ? store::formatVersion(row->version) + row->value : "-";
    }

    static std::string describe(const ModelState& state)
    {
        std::string text = std::to_string(state.store.era) + "," + std::to_string(state.store.number) + describe(state.store.row) + std::to_string(state.store.backupNumber) + describe(state.store.backupRow) + "," + std::to_string(state.restores) + "," + std::to_string(state.startedWrites) + "," + std::to_string(state.ticks);
        for (const auto& daemon : state.daemons)
            text += ";" + std::to_string(daemon.era) + describe(daemon.row) + std::to_string(static_cast<int>(daemon.previousHolder)) + std::to_string(daemon.eraChange.observedAt ? daemon.eraChange.observedAt->time_since_epoch().count() : 0) + (daemon.isWriting ? "w" : "");
        for (const auto& write : state.writes)
            text += ";" + std::to_string(write.daemon) + std::to_string(write.condition) + write.row.value;
        for (const auto& [token, daemon] : state.requests)
            text += ";" + std::to_string(token) + "=" + std::to_string(daemon);
        return text;
    }

    void push(const ModelState& state) { this->search.push(state, describe(state)); }

    OmittedRule omittedRule;
    succession::testing::BreadthFirstSearch<ModelState> search;
};

}

TEST_GROUP(FailoverLeaseModel) {};

TEST(FailoverLeaseModel, NoInterleavingViolatesAnInvariant)
{
    ModelChecker checker(OmittedRule::None);
    CHECK_EQUAL(std::string(), checker.run());
    UT_PRINT(StringFromFormat("%zu states", checker.states()).asCharString());
}

TEST(FailoverLeaseModel, DetectsTokenThatOmitsTheEra)
{
    CHECK(!ModelChecker(OmittedRule::TokenWithoutEra).run().empty());
}

TEST(FailoverLeaseModel, DetectsRequestWithTokenOfEarlierEra)
{
    CHECK(!ModelChecker(OmittedRule::TokenOfEarlierEra).run().empty());
}

// Searches all orders of events of a small world over the real functions of the duty: two daemons, one duty, a store that comes back from a
// copy, writes and answers that come late or are lost. Never do two daemons order under one fence, and never does one order under a fence of
// an era that it knows to be over. Each rule that is left out on purpose is found.

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
constexpr int mostReturns = 1;
constexpr int mostWrites = 3;
constexpr int mostTicks = 1;
constexpr Duration tickLength = 2s; // two are longer than a lease

/// A rule that the search leaves out on purpose, so that it must find what breaks then.
enum class Defect : std::uint8_t {
    None,
    FenceWithoutEra,
    FenceOfAnEarlierEra,
};

/// The store: one row, a counter, and the copy that it may come back from.
struct StoreState {
    store::Era era { 0 };
    std::uint64_t number { 1 };
    std::optional<store::Row> row;
    std::uint64_t copiedNumber { 1 };
    std::optional<store::Row> copiedRow;
};

/// A conditional write that is on its way.
struct Write {
    std::size_t daemon { 0 };
    std::uint64_t condition { 0 };
    store::Row row;
};

struct DaemonState {
    succession::DaemonIdentity self;
    store::Era era { 0 };
    std::optional<store::Row> row; ///< As listed last.
    succession::Holder before { succession::Holder::None };
    succession::EraNews news;
    std::optional<Time> takenAt; ///< Of the last taking that it saw.
    bool isWriting { false };
};

struct World {
    StoreState store;
    std::array<DaemonState, daemonCount> daemons;
    std::vector<Write> writes;
    Time now { 100s };
    int returns { 0 };
    int begun { 0 };
    int ticks { 0 };
    std::map<std::uint64_t, std::size_t> orders; ///< Daemon by fence.
    std::string problem;
};

class Search {
public:
    explicit Search(Defect usedDefect)
        : defect(usedDefect)
    {
    }

    /// Gives the first problem; empty if there is none.
    std::string run()
    {
        World first;
        for (std::size_t i = 0; i < daemonCount; ++i)
            first.daemons[i] = { .self = { .vm = std::string(1, static_cast<char>('a' + i)), .incarnation = 1 }, .news = { .startedAt = first.now - 60s } };
        this->push(first);
        return this->visits.run([this](const World& world) { this->expand(world); });
    }

    [[nodiscard]] std::size_t states() const noexcept { return this->visits.states(); }

private:
    [[nodiscard]] std::uint64_t fenceOf(const store::Version& version) const
    {
        return this->defect == Defect::FenceWithoutEra ? version.number : succession::fenceOf(version);
    }

    /// Lets a daemon learn the store's era, as from a refused call.
    static void learnEra(const World& world, DaemonState& daemon)
    {
        if (daemon.era == world.store.era)
            return;
        daemon.era = world.store.era;
        daemon.news.since = world.now;
    }

    /// Lets a daemon list the row: it learns who holds the duty.
    static void list(const World& world, DaemonState& daemon)
    {
        learnEra(world, daemon);
        daemon.row = world.store.row;
        if (daemon.row)
            daemon.row->version.era = world.store.era;
        const auto holder = succession::holderOf(pointer(daemon), daemon.self, daemon.era);
        daemon.before = holder.value_or(daemon.before);
        const auto duty = succession::decodeDuty(pointer(daemon));
        daemon.takenAt = duty ? std::optional(Time(std::chrono::microseconds(duty->takenAt))) : std::nullopt;
    }

    [[nodiscard]] static const store::Row* pointer(const DaemonState& daemon) { return daemon.row ? &*daemon.row : nullptr; }

    [[nodiscard]] std::optional<store::Version> held(const DaemonState& daemon) const
    {
        const bool ignoresEra = this->defect == Defect::FenceOfAnEarlierEra && daemon.row;
        return succession::heldVersion(pointer(daemon), daemon.self, ignoresEra ? daemon.row->version.era : daemon.era);
    }

    [[nodiscard]] bool mayTake(const World& world, const DaemonState& daemon) const
    {
        if (daemon.isWriting || this->held(daemon) || !succession::isConditionCertain(pointer(daemon), daemon.era))
            return false;
        const bool isLeased = daemon.before == succession::Holder::Other && daemon.takenAt && world.now - *daemon.takenAt < succession::dutyLease;
        return !isLeased && !succession::mayBeHeldSinceCopy(daemon.news, daemon.before, world.now);
    }

    void beginWrite(World& world, std::size_t index) const
    {
        auto& daemon = world.daemons[index];
        succession::DutyRow duty { .holder = daemon.self, .takenAt = std::chrono::duration_cast<std::chrono::microseconds>(world.now.time_since_epoch()).count(), .era = daemon.era };
        world.writes.push_back({ .daemon = index, .condition = daemon.row ? daemon.row->version.number : 0, .row = { .value = succession::encodeDuty(duty) } });
        daemon.isWriting = true;
        ++world.begun;
    }

    /// Has the store carry out a write, whenever it comes; the condition is a number, as the store knows no eras of rows.
    static void carryOut(World& world, std::size_t place)
    {
        auto write = world.writes[place];
        world.writes.erase(world.writes.begin() + static_cast<std::ptrdiff_t>(place));
        world.daemons[write.daemon].isWriting = false;
        const auto present = world.store.row ? world.store.row->version.number : 0;
        if (present != write.condition)
            return;
        write.row.version = { .era = world.store.era, .number = ++world.store.number };
        world.store.row = write.row;
    }

    /// Has each daemon that holds the duty order, and checks the fences.
    void orderAll(World& world) const
    {
        for (std::size_t index = 0; index < daemonCount; ++index) {
            const auto& daemon = world.daemons[index];
            const auto version = this->held(daemon);
            if (!version)
                continue;
            const auto fence = this->fenceOf(*version);
            const auto [place, isFirst] = world.orders.try_emplace(fence, index);
            if (!isFirst && place->second != index)
                world.problem = "two daemons order under fence " + std::to_string(fence);
            if (version->era != daemon.era)
                world.problem = "an order under a fence of an earlier era";
        }
    }

    void step(const World& from, const std::function<void(World&)>& change)
    {
        auto next = from;
        change(next);
        this->orderAll(next);
        this->push(next);
    }

    void expand(const World& world)
    {
        for (std::size_t i = 0; i < daemonCount; ++i) {
            this->step(world, [&](World& next) { list(next, next.daemons[i]); });
            this->step(world, [&](World& next) { learnEra(next, next.daemons[i]); });
            if (world.begun < mostWrites && this->mayTake(world, world.daemons[i]))
                this->step(world, [&](World& next) { this->beginWrite(next, i); });
        }
        for (std::size_t i = 0; i < world.writes.size(); ++i) {
            this->step(world, [&](World& next) { carryOut(next, i); });
            // The daemon stops to wait for an answer; the write may be made all the same.
            this->step(world, [&](World& next) { next.daemons[next.writes[i].daemon].isWriting = false; });
        }
        if (world.returns < mostReturns) {
            this->step(world, [](World& next) {
                ++next.returns;
                ++next.store.era;
                next.store.number = next.store.copiedNumber;
                next.store.row = next.store.copiedRow;
            });
            this->step(world, [](World& next) {
                next.store.copiedNumber = next.store.number;
                next.store.copiedRow = next.store.row;
            });
        }
        if (world.ticks < mostTicks) {
            this->step(world, [](World& next) {
                ++next.ticks;
                next.now += tickLength;
            });
        }
    }

    static std::string describe(const std::optional<store::Row>& row)
    {
        return row ? store::formatVersion(row->version) + row->value : "-";
    }

    static std::string describe(const World& world)
    {
        std::string text = std::to_string(world.store.era) + "," + std::to_string(world.store.number) + describe(world.store.row) + std::to_string(world.store.copiedNumber) + describe(world.store.copiedRow) + "," + std::to_string(world.returns) + "," + std::to_string(world.begun) + "," + std::to_string(world.ticks);
        for (const auto& daemon : world.daemons)
            text += ";" + std::to_string(daemon.era) + describe(daemon.row) + std::to_string(static_cast<int>(daemon.before)) + std::to_string(daemon.news.since ? daemon.news.since->time_since_epoch().count() : 0) + (daemon.isWriting ? "w" : "");
        for (const auto& write : world.writes)
            text += ";" + std::to_string(write.daemon) + std::to_string(write.condition) + write.row.value;
        for (const auto& [fence, daemon] : world.orders)
            text += ";" + std::to_string(fence) + "=" + std::to_string(daemon);
        return text;
    }

    void push(const World& world) { this->visits.push(world, describe(world)); }

    Defect defect;
    succession::testing::BreadthFirst<World> visits;
};

}

TEST_GROUP(DutySearch) {};

TEST(DutySearch, NoOrderOfEventsBreaksARule)
{
    Search search(Defect::None);
    CHECK_EQUAL(std::string(), search.run());
    UT_PRINT(StringFromFormat("%zu states", search.states()).asCharString());
}

TEST(DutySearch, AFenceWithoutItsEraIsFound)
{
    CHECK(!Search(Defect::FenceWithoutEra).run().empty());
}

TEST(DutySearch, AnOrderUnderAFenceOfAnEarlierEraIsFound)
{
    CHECK(!Search(Defect::FenceOfAnEarlierEra).run().empty());
}

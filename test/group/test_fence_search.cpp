#include "amaranthhall/group/attempt.hpp"
#include "amaranthhall/standin/group_log.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

using namespace amaranthhall;

// A breadth-first search over the attempt's decisions and the stand-in's log: every order of
// writes, feeds, confirmations, fences and promotions, with answers and orders that come late,
// twice or never.
namespace {

constexpr std::size_t upstreamCount = 3;
constexpr std::size_t watcherCount = 2;
constexpr std::size_t writeCount = 2;
constexpr group::Term lastTerm = 3;
const std::array<std::string, upstreamCount> names { "a", "b", "c" };

enum class ShortCut {
    None,
    NoConfirmation,
    FenceOne,
    LongestLog,
    ChooseAgain,
};

struct Write {
    group::LogPoint point;
    bool acknowledged { false };
};

struct FenceAnswer {
    std::size_t watcher;
    std::size_t upstream;
    group::Term term;
    group::LogPoint last;

    friend auto operator<=>(const FenceAnswer&, const FenceAnswer&) = default;
};

struct Order {
    std::size_t upstream;
    group::Term term;

    friend auto operator<=>(const Order&, const Order&) = default;
};

struct World {
    std::array<standin::GroupLog, upstreamCount> logs;
    std::array<std::optional<group::Attempt>, watcherCount> attempts;
    std::set<FenceAnswer> answers; // under way; one that is never taken is lost
    std::set<Order> orders; // to promote; each may come again at any later time
    std::vector<Write> writes;
    group::Term newest { 1 }; // highest term that has had a primary
};

void add(std::string& key, std::uint64_t value)
{
    key.push_back(static_cast<char>(value));
}

std::string keyOf(const World& world, std::size_t watcher)
{
    std::string key;
    const auto& attempt = world.attempts[watcher];
    add(key, attempt ? attempt->term : 0);
    add(key, attempt ? static_cast<std::uint64_t>(attempt->phase) : 0);
    std::set<std::string> votes;
    if (attempt && attempt->phase == group::AttemptPhase::Fencing) {
        for (const auto& vote : attempt->votes)
            votes.insert(vote.upstream + static_cast<char>(vote.last.term) + static_cast<char>(vote.last.position));
    }
    for (const auto& vote : votes)
        key += vote;
    for (const auto& answer : world.answers) {
        if (answer.watcher != watcher)
            continue;
        add(key, 100 + answer.upstream);
        add(key, answer.term);
        add(key, answer.last.term * 16 + answer.last.position);
    }
    return key;
}

std::string keyOf(const World& world)
{
    std::string key;
    for (const auto& log : world.logs) {
        const auto status = log.status();
        add(key, status.term * 4 + static_cast<std::uint64_t>(status.role));
        add(key, log.confirms(status.term, 1) ? (log.confirms(status.term, 2) ? 2 : 1) : 0);
        add(key, log.records().size());
        for (const auto& record : log.records())
            add(key, record.term * 16 + record.statements.size());
    }
    add(key, world.newest);
    for (const auto& order : world.orders)
        add(key, 200 + order.upstream * 4 + order.term);
    for (const auto& write : world.writes) {
        add(key, write.point.term * 16 + write.point.position);
        add(key, write.acknowledged ? 1 : 0);
    }
    // The watchers may change places.
    const auto one = keyOf(world, 0);
    const auto two = keyOf(world, 1);
    return key + std::min(one, two) + static_cast<char>(255) + std::max(one, two);
}

bool isPrimary(const standin::GroupLog& log)
{
    return log.status().role == group::Role::Primary;
}

bool isBroken(const World& world)
{
    for (const auto& log : world.logs) {
        for (const auto& other : world.logs) {
            if (&log != &other && isPrimary(log) && isPrimary(other) && log.status().term == other.status().term)
                return true;
        }
    }
    // A superseded primary may still believe in itself; it only must not acknowledge.
    const auto lacks = [](const standin::GroupLog& log, const Write& write) { return write.acknowledged && log.pointAt(write.point.position) != write.point; };
    return std::ranges::any_of(world.logs, [&](const standin::GroupLog& log) {
        const bool isNewest = isPrimary(log) && log.status().term == world.newest;
        return isNewest && std::ranges::any_of(world.writes, [&](const Write& write) { return lacks(log, write); });
    });
}

class Search {
public:
    explicit Search(ShortCut usedShortCut)
        : shortCut(usedShortCut)
    {
        World first;
        for (auto& log : first.logs)
            log.fence(1);
        first.logs[0].promote(1);
        this->visit(first);
    }

    bool findsBreach()
    {
        while (!this->breach && !this->frontier.empty()) {
            auto level = std::move(this->frontier);
            this->frontier.clear();
            for (const auto& world : level) {
                if (!this->breach)
                    this->expand(world);
            }
        }
        return this->breach;
    }

    std::size_t states() const { return this->seen.size(); }

private:
    /// Drops the answers and orders that can have no effect any more.
    void normalise(World& world) const
    {
        std::erase_if(world.answers, [&](const FenceAnswer& answer) {
            const auto& standing = world.attempts[answer.watcher];
            const bool mayChooseAgain = this->shortCut == ShortCut::ChooseAgain && standing && standing->term == answer.term;
            return !mayChooseAgain && !(standing && group::isCurrent(*standing, answer.term, group::AttemptPhase::Fencing));
        });
        std::erase_if(world.orders, [&](const Order& order) { return world.logs[order.upstream].status().term > order.term; });
    }

    void visit(World world)
    {
        this->normalise(world);
        if (!this->seen.insert(keyOf(world)).second)
            return;
        this->breach = this->breach || isBroken(world);
        this->frontier.push_back(std::move(world));
    }

    void expand(const World& world)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            this->write(world, i);
            for (std::size_t j = 0; j < upstreamCount; ++j)
                this->feed(world, i, j);
        }
        for (std::size_t i = 0; i < world.writes.size(); ++i)
            this->acknowledge(world, i);
        for (std::size_t i = 0; i < watcherCount; ++i)
            this->attempt(world, i);
        for (const auto& answer : world.answers)
            this->takeAnswer(world, answer);
        for (const auto& order : world.orders) {
            auto next = world;
            if (!next.logs[order.upstream].promote(order.term))
                continue;
            next.newest = std::max(next.newest, order.term);
            this->visit(std::move(next));
        }
    }

    void write(const World& world, std::size_t upstream)
    {
        if (!isPrimary(world.logs[upstream]) || world.writes.size() == writeCount)
            return;
        auto next = world;
        // The number of statements tells the writes apart.
        const auto point = next.logs[upstream].append(std::vector<standin::LoggedStatement>(world.writes.size()));
        next.writes.push_back({ .point = point });
        this->visit(std::move(next));
    }

    void feed(const World& world, std::size_t from, std::size_t to)
    {
        if (from == to || !isPrimary(world.logs[from]))
            return;
        // Any place that the feed may have come to, records one by one or all at once.
        for (group::Position after = 0; after <= world.logs[from].records().size(); ++after) {
            for (const std::size_t most : { 1U, 2U }) {
                auto next = world;
                static_cast<void>(next.logs[to].takeFeed(world.logs[from].makeFeed(after, most)));
                this->visit(std::move(next));
            }
        }
    }

    void acknowledge(const World& world, std::size_t index)
    {
        const auto& write = world.writes[index];
        const auto confirms = [&](const standin::GroupLog& log) { return !isPrimary(log) && log.confirms(write.point.term, write.point.position); };
        if (write.acknowledged || (this->shortCut != ShortCut::NoConfirmation && std::ranges::none_of(world.logs, confirms)))
            return;
        auto next = world;
        next.writes[index].acknowledged = true;
        this->visit(std::move(next));
    }

    void attempt(const World& world, std::size_t watcher)
    {
        const auto& standing = world.attempts[watcher];
        for (group::Term term = standing ? standing->term + 1 : 2; term <= lastTerm; ++term) {
            auto next = world;
            next.attempts[watcher] = group::Attempt { .term = term, .groupSize = this->shortCut == ShortCut::FenceOne ? 1 : upstreamCount };
            this->visit(std::move(next));
        }
        for (std::size_t i = 0; standing && i < upstreamCount; ++i) {
            auto next = world;
            if (!next.logs[i].fence(standing->term))
                continue;
            next.answers.insert({ .watcher = watcher, .upstream = i, .term = standing->term, .last = next.logs[i].status().last });
            this->visit(std::move(next));
        }
    }

    void takeAnswer(const World& world, const FenceAnswer& answer)
    {
        auto next = world;
        next.answers.erase(answer);
        auto& standing = next.attempts[answer.watcher];
        if (standing && this->shortCut == ShortCut::ChooseAgain && standing->term == answer.term)
            standing->phase = group::AttemptPhase::Fencing;
        if (standing && group::isCurrent(*standing, answer.term, group::AttemptPhase::Fencing)) {
            auto last = answer.last;
            if (this->shortCut == ShortCut::LongestLog)
                last.term = 0;
            if (const auto candidate = group::takeFence(*standing, { .upstream = names[answer.upstream], .last = last }))
                next.orders.insert({ .upstream = static_cast<std::size_t>(std::ranges::find(names, *candidate) - names.begin()), .term = answer.term });
        }
        this->visit(std::move(next));
    }

    ShortCut shortCut;
    bool breach { false };
    std::unordered_set<std::string> seen;
    std::vector<World> frontier;
};

}

TEST_GROUP(FenceSearch) {};

TEST(FenceSearch, TheRulesHoldInEveryOrder)
{
    Search search(ShortCut::None);
    CHECK(!search.findsBreach());
    UT_PRINT(StringFromFormat("%d states", static_cast<int>(search.states())).asCharString());
}

TEST(FenceSearch, AnAcknowledgementWithoutConfirmationLosesAWrite)
{
    CHECK(Search(ShortCut::NoConfirmation).findsBreach());
}

TEST(FenceSearch, OneFenceIsTooFew)
{
    CHECK(Search(ShortCut::FenceOne).findsBreach());
}

TEST(FenceSearch, TheLongestLogIsNotTheNewest)
{
    CHECK(Search(ShortCut::LongestLog).findsBreach());
}

TEST(FenceSearch, ASecondChoiceInATermBreaksIt)
{
    CHECK(Search(ShortCut::ChooseAgain).findsBreach());
}

// Searches all orders of events of one group over the real choice of an heir: three upstreams, commits that reach some of them, orders by daemons
// that reach any of them. Once a term is recorded, no promotion may lead back to a log that lacks what this term began with, or holds what its
// promotion rolled back. With the rule left out, the search finds such a promotion.

#include "amaranthhall/succession/failover_policy.hpp"
#include "succession/breadth_first_search.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace amaranthhall;

namespace {

constexpr std::size_t upstreamCount = 3;
constexpr unsigned allSubsets = 1U << upstreamCount;
constexpr int mostCommits = 3;
constexpr group::Term lastTerm = 3; // two promotions

struct Upstream {
    group::Term term { 1 };
    std::vector<group::LogPoint> log;
};

struct World {
    std::array<Upstream, upstreamCount> upstreams;
    std::size_t leader { 0 };
    group::Term term { 1 };
    group::Term recorded { 1 }; ///< As the duty's row has it.
    std::vector<group::LogPoint> recordedBegin; ///< Log with which the recorded term began.
    std::vector<group::LogPoint> begin; ///< Log with which the present term began.
    int commits { 0 };
    std::string problem;
};

class Search {
public:
    explicit Search(bool usedFollowersOnly)
        : followersOnly(usedFollowersOnly)
    {
    }

    std::string run()
    {
        this->push(World {});
        return this->visits.run([this](const World& world) { this->expand(world); });
    }

    [[nodiscard]] std::size_t states() const noexcept { return this->visits.states(); }

private:
    static void commit(World& world)
    {
        auto& log = world.upstreams[world.leader].log;
        const auto position = log.empty() ? 1 : log.back().position + 1;
        log.push_back({ .term = world.term, .position = position });
        ++world.commits;
    }

    /// Brings an upstream up to date with the leader; what it had beyond is rolled back.
    static void replicate(World& world, std::size_t index)
    {
        world.upstreams[index] = world.upstreams[world.leader];
    }

    [[nodiscard]] std::vector<succession::Heir> heirsOf(const World& world, unsigned reachable) const
    {
        std::vector<succession::Heir> heirs;
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            const auto& upstream = world.upstreams[i];
            if (i == world.leader || (reachable >> i & 1U) == 0)
                continue;
            const auto point = upstream.log.empty() ? group::LogPoint {} : upstream.log.back();
            heirs.push_back({ .upstream = std::to_string(i), .term = upstream.term, .point = point, .applied = point.position });
        }
        auto newest = world.recorded;
        for (const auto& heir : heirs)
            newest = std::max(newest, heir.term);
        return this->followersOnly ? succession::followersOf(newest, heirs) : heirs;
    }

    static void promote(World& world, std::size_t index)
    {
        auto& heir = world.upstreams[index];
        const bool holdsBegin = heir.log.size() >= world.recordedBegin.size() && std::equal(world.recordedBegin.begin(), world.recordedBegin.end(), heir.log.begin());
        const bool holdsRolledBack = holdsBegin && heir.term < world.recorded && heir.log.size() > world.recordedBegin.size();
        if (!holdsBegin || holdsRolledBack)
            world.problem = "upstream " + std::to_string(index) + " leads without the history of term " + std::to_string(world.recorded);
        ++world.term;
        world.leader = index;
        heir.term = world.term;
        world.begin = heir.log;
    }

    template <typename Change>
    void step(const World& from, Change change)
    {
        auto next = from;
        change(next);
        this->push(next);
    }

    void expand(const World& world)
    {
        if (world.commits < mostCommits)
            this->step(world, [](World& next) { commit(next); });
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            if (i != world.leader)
                this->step(world, [i](World& next) { replicate(next, i); });
        }
        this->step(world, [](World& next) {
            next.recorded = next.term;
            next.recordedBegin = next.begin;
        });
        if (world.term >= lastTerm)
            return;
        for (unsigned reachable = 1; reachable < allSubsets; ++reachable) {
            const auto heir = succession::chooseHeir(this->heirsOf(world, reachable));
            if (heir)
                this->step(world, [&heir](World& next) { promote(next, std::stoul(*heir)); });
        }
    }

    static std::string describe(const std::vector<group::LogPoint>& log)
    {
        std::string text;
        for (const auto& point : log)
            text += std::to_string(point.term) + "." + std::to_string(point.position) + " ";
        return text + "|";
    }

    static std::string describe(const World& world)
    {
        auto text = std::to_string(world.leader) + "," + std::to_string(world.term) + "," + std::to_string(world.recorded) + "," + std::to_string(world.commits) + ",";
        text += describe(world.recordedBegin) + describe(world.begin);
        for (const auto& upstream : world.upstreams)
            text += std::to_string(upstream.term) + ":" + describe(upstream.log);
        return text;
    }

    void push(const World& world) { this->visits.push(world, describe(world)); }

    bool followersOnly;
    succession::testing::BreadthFirst<World> visits;
};

}

TEST_GROUP(PromotionSearch) {};

TEST(PromotionSearch, NoPromotionLeadsBackBehindARecordedTerm)
{
    Search search(true);
    CHECK_EQUAL(std::string(), search.run());
    UT_PRINT(StringFromFormat("%zu states", search.states()).asCharString());
}

TEST(PromotionSearch, AnHeirThatMissedTheLastTermIsFound)
{
    CHECK(!Search(false).run().empty());
}

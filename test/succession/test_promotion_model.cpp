// Explores all interleavings of a small model that calls the real candidate selection: three upstreams of one group, commits that
// reach some of them, and promotions by daemons that reach any subset of them. Once a term is recorded, no later primary may lack
// the log with which that term started, or have entries that its promotion rolled back. Without the filter by term, the search must
// find such a promotion.

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
constexpr int maximumCommits = 3;
constexpr group::Term lastTerm = 3; // two promotions

struct Upstream {
    group::Term term { 1 };
    std::vector<group::LogPoint> log;
};

struct ModelState {
    std::array<Upstream, upstreamCount> upstreams;
    std::size_t leader { 0 };
    group::Term term { 1 };
    group::Term recordedTerm { 1 }; ///< Term in the lease row.
    std::vector<group::LogPoint> recordedStartLog; ///< Log at the start of the recorded term.
    std::vector<group::LogPoint> termStartLog; ///< Log at the start of the current term.
    int commits { 0 };
    std::string violation;
};

class ModelChecker {
public:
    explicit ModelChecker(bool usedFilter)
        : filtersByTerm(usedFilter)
    {
    }

    std::string run()
    {
        this->push(ModelState {});
        return this->search.run([this](const ModelState& state) { this->expand(state); });
    }

    [[nodiscard]] std::size_t states() const noexcept { return this->search.stateCount(); }

private:
    static void commit(ModelState& state)
    {
        auto& log = state.upstreams[state.leader].log;
        const auto position = log.empty() ? 1 : log.back().position + 1;
        log.push_back({ .term = state.term, .position = position });
        ++state.commits;
    }

    /// Copies the leader's log to an upstream and thereby rolls back its other entries.
    static void replicate(ModelState& state, std::size_t index)
    {
        state.upstreams[index] = state.upstreams[state.leader];
    }

    [[nodiscard]] std::vector<succession::PromotionCandidate> candidatesOf(const ModelState& state, unsigned reachable) const
    {
        std::vector<succession::PromotionCandidate> candidates;
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            const auto& upstream = state.upstreams[i];
            if (i == state.leader || (reachable >> i & 1U) == 0)
                continue;
            const auto point = upstream.log.empty() ? group::LogPoint {} : upstream.log.back();
            candidates.push_back({ .upstream = std::to_string(i), .term = upstream.term, .point = point, .applied = point.position });
        }
        auto newest = state.recordedTerm;
        for (const auto& candidate : candidates)
            newest = std::max(newest, candidate.term);
        return this->filtersByTerm ? succession::candidatesAtTerm(newest, candidates) : candidates;
    }

    static void promote(ModelState& state, std::size_t index)
    {
        auto& candidate = state.upstreams[index];
        const bool hasStartLog = candidate.log.size() >= state.recordedStartLog.size() && std::equal(state.recordedStartLog.begin(), state.recordedStartLog.end(), candidate.log.begin());
        const bool hasRolledBackEntries = hasStartLog && candidate.term < state.recordedTerm && candidate.log.size() > state.recordedStartLog.size();
        if (!hasStartLog || hasRolledBackEntries)
            state.violation = "upstream " + std::to_string(index) + " was promoted without the history of term " + std::to_string(state.recordedTerm);
        ++state.term;
        state.leader = index;
        candidate.term = state.term;
        state.termStartLog = candidate.log;
    }

    template <typename Transition>
    void explore(const ModelState& from, Transition transition)
    {
        auto next = from;
        transition(next);
        this->push(next);
    }

    void expand(const ModelState& state)
    {
        if (state.commits < maximumCommits)
            this->explore(state, [](ModelState& next) { commit(next); });
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            if (i != state.leader)
                this->explore(state, [i](ModelState& next) { replicate(next, i); });
        }
        this->explore(state, [](ModelState& next) {
            next.recordedTerm = next.term;
            next.recordedStartLog = next.termStartLog;
        });
        if (state.term >= lastTerm)
            return;
        for (unsigned reachable = 1; reachable < allSubsets; ++reachable) {
            const auto candidate = succession::chooseCandidate(this->candidatesOf(state, reachable));
            if (candidate)
                this->explore(state, [&candidate](ModelState& next) { promote(next, std::stoul(*candidate)); });
        }
    }

    static std::string describe(const std::vector<group::LogPoint>& log)
    {
        std::string text;
        for (const auto& point : log)
            text += std::to_string(point.term) + "." + std::to_string(point.position) + " ";
        return text + "|";
    }

    static std::string describe(const ModelState& state)
    {
        auto text = std::to_string(state.leader) + "," + std::to_string(state.term) + "," + std::to_string(state.recordedTerm) + "," + std::to_string(state.commits) + ",";
        text += describe(state.recordedStartLog) + describe(state.termStartLog);
        for (const auto& upstream : state.upstreams)
            text += std::to_string(upstream.term) + ":" + describe(upstream.log);
        return text;
    }

    void push(const ModelState& state) { this->search.push(state, describe(state)); }

    bool filtersByTerm;
    succession::testing::BreadthFirstSearch<ModelState> search;
};

}

TEST_GROUP(PromotionModel) {};

TEST(PromotionModel, PromotionKeepsTheHistoryOfTheRecordedTerm)
{
    ModelChecker checker(true);
    CHECK_EQUAL(std::string(), checker.run());
    UT_PRINT(StringFromFormat("%zu states", checker.states()).asCharString());
}

TEST(PromotionModel, DetectsPromotionOfSupersededCandidate)
{
    CHECK(!ModelChecker(false).run().empty());
}

#include "amaranthhall/group/failover_attempt.hpp"
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

// Breadth-first search over the failover decisions and the simulated upstream's log. It visits every order of writes,
// replication, confirmations, fencing and promotions, with replies and requests that are delayed, duplicated or lost.
// No order may lead to two primaries in one term or to a primary of the newest term without an acknowledged write.
namespace {

constexpr std::size_t upstreamCount = 3;
constexpr std::size_t watcherCount = 2;
constexpr std::size_t writeCount = 2;
constexpr group::Term lastTerm = 3;
const std::array<std::string, upstreamCount> names { "a", "b", "c" };

enum class BrokenRule {
    None,
    NoConfirmation,
    SingleFence,
    LongestLog,
    SecondChoice,
};

struct Write {
    group::LogPoint point;
    bool acknowledged { false };
};

struct FenceReply {
    std::size_t watcher;
    std::size_t upstream;
    group::Term term;
    group::LogPoint last;

    friend auto operator<=>(const FenceReply&, const FenceReply&) = default;
};

struct PromotionRequest {
    std::size_t upstream;
    group::Term term;

    friend auto operator<=>(const PromotionRequest&, const PromotionRequest&) = default;
};

struct SearchState {
    std::array<standin::GroupLog, upstreamCount> logs;
    std::array<std::optional<group::FailoverAttempt>, watcherCount> attempts;
    std::set<FenceReply> replies; // in flight; one that is never delivered is lost
    std::set<PromotionRequest> promotions; // each may be delivered again at any later time
    std::vector<Write> writes;
    group::Term newestTerm { 1 }; // highest term that has had a primary
};

void appendByte(std::string& key, std::uint64_t value)
{
    key.push_back(static_cast<char>(value));
}

std::string encodeState(const SearchState& state, std::size_t watcher)
{
    std::string key;
    const auto& attempt = state.attempts[watcher];
    appendByte(key, attempt ? attempt->term : 0);
    appendByte(key, attempt ? static_cast<std::uint64_t>(attempt->phase) : 0);
    std::set<std::string> acceptances;
    if (attempt && attempt->phase == group::FailoverPhase::Fencing) {
        for (const auto& acceptance : attempt->acceptances)
            acceptances.insert(acceptance.upstream + static_cast<char>(acceptance.last.term) + static_cast<char>(acceptance.last.position));
    }
    for (const auto& acceptance : acceptances)
        key += acceptance;
    for (const auto& reply : state.replies) {
        if (reply.watcher != watcher)
            continue;
        appendByte(key, 100 + reply.upstream);
        appendByte(key, reply.term);
        appendByte(key, reply.last.term * 16 + reply.last.position);
    }
    return key;
}

std::string encodeState(const SearchState& state)
{
    std::string key;
    for (const auto& log : state.logs) {
        const auto status = log.status();
        appendByte(key, status.term * 4 + static_cast<std::uint64_t>(status.role));
        appendByte(key, log.confirms(status.term, 1) ? (log.confirms(status.term, 2) ? 2 : 1) : 0);
        appendByte(key, log.records().size());
        for (const auto& record : log.records())
            appendByte(key, record.term * 16 + record.statements.size());
    }
    appendByte(key, state.newestTerm);
    for (const auto& promotion : state.promotions)
        appendByte(key, 200 + promotion.upstream * 4 + promotion.term);
    for (const auto& write : state.writes) {
        appendByte(key, write.point.term * 16 + write.point.position);
        appendByte(key, write.acknowledged ? 1 : 0);
    }
    // The watchers are interchangeable, so states that differ only in their order are equal.
    const auto firstWatcher = encodeState(state, 0);
    const auto secondWatcher = encodeState(state, 1);
    return key + std::min(firstWatcher, secondWatcher) + static_cast<char>(255) + std::max(firstWatcher, secondWatcher);
}

bool isPrimary(const standin::GroupLog& log)
{
    return log.status().role == group::Role::Primary;
}

bool violatesInvariant(const SearchState& state)
{
    for (const auto& log : state.logs) {
        for (const auto& other : state.logs) {
            if (&log != &other && isPrimary(log) && isPrimary(other) && log.status().term == other.status().term)
                return true;
        }
    }
    // A superseded primary may still report the primary role; it only must not acknowledge writes.
    const auto lacksAcknowledgedWrite = [](const standin::GroupLog& log, const Write& write) { return write.acknowledged && log.pointAt(write.point.position) != write.point; };
    return std::ranges::any_of(state.logs, [&](const standin::GroupLog& log) {
        const bool isNewestPrimary = isPrimary(log) && log.status().term == state.newestTerm;
        return isNewestPrimary && std::ranges::any_of(state.writes, [&](const Write& write) { return lacksAcknowledgedWrite(log, write); });
    });
}

class Search {
public:
    explicit Search(BrokenRule usedBrokenRule)
        : brokenRule(usedBrokenRule)
    {
        SearchState initial;
        for (auto& log : initial.logs)
            log.fence(1);
        initial.logs[0].promote(1);
        this->visit(initial);
    }

    bool findsViolation()
    {
        while (!this->hasViolation && !this->frontier.empty()) {
            auto level = std::move(this->frontier);
            this->frontier.clear();
            for (const auto& state : level) {
                if (!this->hasViolation)
                    this->expand(state);
            }
        }
        return this->hasViolation;
    }

    std::size_t stateCount() const { return this->seen.size(); }

private:
    /// Drops replies and promotion requests that can no longer have an effect.
    void dropIneffective(SearchState& state) const
    {
        std::erase_if(state.replies, [&](const FenceReply& reply) {
            const auto& attempt = state.attempts[reply.watcher];
            const bool mayChooseAgain = this->brokenRule == BrokenRule::SecondChoice && attempt && attempt->term == reply.term;
            return !mayChooseAgain && !(attempt && group::isCurrent(*attempt, reply.term, group::FailoverPhase::Fencing));
        });
        std::erase_if(state.promotions, [&](const PromotionRequest& promotion) { return state.logs[promotion.upstream].status().term > promotion.term; });
    }

    void visit(SearchState state)
    {
        this->dropIneffective(state);
        if (!this->seen.insert(encodeState(state)).second)
            return;
        this->hasViolation = this->hasViolation || violatesInvariant(state);
        this->frontier.push_back(std::move(state));
    }

    void expand(const SearchState& state)
    {
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            this->write(state, i);
            for (std::size_t j = 0; j < upstreamCount; ++j)
                this->feed(state, i, j);
        }
        for (std::size_t i = 0; i < state.writes.size(); ++i)
            this->acknowledge(state, i);
        for (std::size_t i = 0; i < watcherCount; ++i)
            this->advanceAttempt(state, i);
        for (const auto& reply : state.replies)
            this->deliverReply(state, reply);
        for (const auto& promotion : state.promotions) {
            auto next = state;
            if (!next.logs[promotion.upstream].promote(promotion.term))
                continue;
            next.newestTerm = std::max(next.newestTerm, promotion.term);
            this->visit(std::move(next));
        }
    }

    void write(const SearchState& state, std::size_t upstream)
    {
        if (!isPrimary(state.logs[upstream]) || state.writes.size() == writeCount)
            return;
        auto next = state;
        // Each write has a different number of statements, which identifies it.
        const auto point = next.logs[upstream].append(std::vector<standin::LoggedStatement>(state.writes.size()));
        next.writes.push_back({ .point = point });
        this->visit(std::move(next));
    }

    void feed(const SearchState& state, std::size_t from, std::size_t to)
    {
        if (from == to || !isPrimary(state.logs[from]))
            return;
        // Replication may resume at any position and may deliver one record or several at a time.
        for (group::Position after = 0; after <= state.logs[from].records().size(); ++after) {
            for (const std::size_t maximumRecords : { 1U, 2U }) {
                auto next = state;
                static_cast<void>(next.logs[to].takeFeed(state.logs[from].makeFeed(after, maximumRecords)));
                this->visit(std::move(next));
            }
        }
    }

    void acknowledge(const SearchState& state, std::size_t index)
    {
        const auto& write = state.writes[index];
        const auto confirms = [&](const standin::GroupLog& log) { return !isPrimary(log) && log.confirms(write.point.term, write.point.position); };
        if (write.acknowledged || (this->brokenRule != BrokenRule::NoConfirmation && std::ranges::none_of(state.logs, confirms)))
            return;
        auto next = state;
        next.writes[index].acknowledged = true;
        this->visit(std::move(next));
    }

    void advanceAttempt(const SearchState& state, std::size_t watcher)
    {
        const auto& attempt = state.attempts[watcher];
        for (group::Term term = attempt ? attempt->term + 1 : 2; term <= lastTerm; ++term) {
            auto next = state;
            next.attempts[watcher] = group::FailoverAttempt { .term = term, .groupSize = this->brokenRule == BrokenRule::SingleFence ? 1 : upstreamCount };
            this->visit(std::move(next));
        }
        for (std::size_t i = 0; attempt && i < upstreamCount; ++i) {
            auto next = state;
            if (!next.logs[i].fence(attempt->term))
                continue;
            next.replies.insert({ .watcher = watcher, .upstream = i, .term = attempt->term, .last = next.logs[i].status().last });
            this->visit(std::move(next));
        }
    }

    void deliverReply(const SearchState& state, const FenceReply& reply)
    {
        auto next = state;
        next.replies.erase(reply);
        auto& attempt = next.attempts[reply.watcher];
        if (attempt && this->brokenRule == BrokenRule::SecondChoice && attempt->term == reply.term)
            attempt->phase = group::FailoverPhase::Fencing;
        if (attempt && group::isCurrent(*attempt, reply.term, group::FailoverPhase::Fencing)) {
            auto last = reply.last;
            if (this->brokenRule == BrokenRule::LongestLog)
                last.term = 0;
            if (const auto candidate = group::recordFenceAcceptance(*attempt, { .upstream = names[reply.upstream], .last = last }))
                next.promotions.insert({ .upstream = static_cast<std::size_t>(std::ranges::find(names, *candidate) - names.begin()), .term = reply.term });
        }
        this->visit(std::move(next));
    }

    BrokenRule brokenRule;
    bool hasViolation { false };
    std::unordered_set<std::string> seen;
    std::vector<SearchState> frontier;
};

}

TEST_GROUP(FenceSearch) {};

TEST(FenceSearch, NoEventOrderViolatesTheInvariants)
{
    Search search(BrokenRule::None);
    CHECK(!search.findsViolation());
    UT_PRINT(StringFromFormat("%d states", static_cast<int>(search.stateCount())).asCharString());
}

TEST(FenceSearch, AcknowledgingWithoutConfirmationLosesAWrite)
{
    CHECK(Search(BrokenRule::NoConfirmation).findsViolation());
}

TEST(FenceSearch, FencingOneUpstreamIsNotEnough)
{
    CHECK(Search(BrokenRule::SingleFence).findsViolation());
}

TEST(FenceSearch, ChoosingTheLongestLogLosesAWrite)
{
    CHECK(Search(BrokenRule::LongestLog).findsViolation());
}

TEST(FenceSearch, ASecondCandidateInATermViolatesTheInvariants)
{
    CHECK(Search(BrokenRule::SecondChoice).findsViolation());
}

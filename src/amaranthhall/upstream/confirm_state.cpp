#include "amaranthhall/upstream/confirm_state.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration longestPoll = 50ms; // a poll keeps one of few connections
    constexpr auto hedgeDelay = 10ms;
    constexpr auto fruitlessPause = 5ms;
    constexpr auto failurePause = 20ms;

    template <typename Judge>
    std::vector<ConfirmOutcome> settle(ConfirmState& state, Judge judge)
    {
        std::vector<ConfirmOutcome> outcomes;
        std::erase_if(state.writes, [&](const auto& write) {
            const std::optional<Confirmation> confirmation = judge(write);
            if (confirmation)
                outcomes.push_back({ .id = write.id, .confirmation = *confirmation });
            return confirmation.has_value();
        });
        return outcomes;
    }

    const PendingWrite* findEarliest(const ConfirmState& state, bool uncoveredOnly)
    {
        const PendingWrite* earliest = nullptr;
        for (const auto& write : state.writes) {
            if (uncoveredOnly && write.isCovered)
                continue;
            if (!earliest || write.record < earliest->record)
                earliest = &write;
        }
        return earliest;
    }

    bool isSilent(const ConfirmState& state, Time now)
    {
        return std::any_of(state.replicas.begin(), state.replicas.end(), [&](const auto& replica) { return replica.askedAt && now - *replica.askedAt >= hedgeDelay; });
    }

    bool isAsked(const ConfirmState& state)
    {
        return std::any_of(state.replicas.begin(), state.replicas.end(), [](const auto& replica) { return replica.askedAt.has_value(); });
    }

}

bool provesHeld(const group::UpstreamStatus& status, const PendingWrite& write) noexcept
{
    if (status.term != write.term)
        return false;
    // A record of the write's term makes the log a prefix of the writer's; a fence alone leaves an old tail in place.
    if (status.last.term == write.term)
        return status.last.position >= write.record.position;
    return status.last == write.record;
}

std::vector<ConfirmPoll> planPolls(ConfirmState& state, Time now)
{
    std::vector<ConfirmPoll> polls;
    for (std::size_t i = 0; i < state.replicas.size(); ++i) {
        auto& replica = state.replicas[i];
        if (!replica.isReachable || replica.askedAt || now < replica.notBefore)
            continue;
        const bool mayRepeat = !isAsked(state) || isSilent(state, now);
        const auto* write = findEarliest(state, !mayRepeat);
        if (!write)
            continue;
        polls.push_back({ .replica = i, .term = write->term, .position = write->record.position, .wait = std::clamp<Duration>(write->deadline - now, 0ms, longestPoll) });
        replica.askedAt = now;
        for (auto& covered : state.writes)
            covered.isCovered = true;
    }
    return polls;
}

std::vector<ConfirmOutcome> takeAnswer(ConfirmState& state, std::size_t replica, const std::optional<group::UpstreamStatus>& status, Time now)
{
    auto& asked = state.replicas[replica];
    const auto took = asked.askedAt ? now - *asked.askedAt : Duration::zero();
    asked.askedAt.reset();
    if (!isAsked(state)) {
        for (auto& write : state.writes)
            write.isCovered = false;
    }
    if (!status) {
        asked.notBefore = now + failurePause;
        return {};
    }
    auto outcomes = settle(state, [&](const auto& write) -> std::optional<Confirmation> {
        if (provesHeld(*status, write))
            return Confirmation::Confirmed;
        return status->term > write.term ? std::optional(Confirmation::Superseded) : std::nullopt;
    });
    const bool isFruitless = outcomes.empty() && took < longestPoll;
    asked.notBefore = isFruitless ? now + fruitlessPause : now;
    return outcomes;
}

std::vector<ConfirmOutcome> takeTerm(ConfirmState& state, group::Term term)
{
    return settle(state, [&](const auto& write) { return term > write.term ? std::optional(Confirmation::Superseded) : std::nullopt; });
}

std::vector<ConfirmOutcome> expireWrites(ConfirmState& state, Time now)
{
    return settle(state, [&](const auto& write) { return now >= write.deadline ? std::optional(Confirmation::TimedOut) : std::nullopt; });
}

}

#include "amaranthhall/group/suspicion.hpp"

#include <algorithm>

namespace amaranthhall::group {

namespace {

    using namespace std::chrono_literals;

    constexpr auto silenceLimit = 700ms; // longer misses the failover target
    constexpr auto aloneSilenceLimit = 1500ms;
    constexpr auto aloneRefusalLimit = 400ms;
    constexpr auto vacancyLimit = 400ms; // shorter stands before a promotion that is under way is heard of
    constexpr auto isolationLimit = 1200ms;

    bool isIsolating(const GroupState& state, const UpstreamWatch& watch)
    {
        return watch.name == state.primary || watch.reach != Reach::Up || watch.status.term > state.term || watch.feedAge >= isolationLimit;
    }

}

UpstreamWatch* findWatch(GroupState& state, std::string_view name) noexcept
{
    const auto found = std::ranges::find(state.upstreams, name, &UpstreamWatch::name);
    return found == state.upstreams.end() ? nullptr : &*found;
}

bool isWatcher(const GroupState& state) noexcept
{
    return std::ranges::find(state.watchers, state.self) != state.watchers.end();
}

std::optional<std::string> isolatedPrimary(const GroupState& state)
{
    const auto heard = [&](const UpstreamWatch& watch) { return watch.name != state.primary && watch.reach == Reach::Up; };
    const auto reachable = std::ranges::count_if(state.upstreams, heard);
    const bool canReplace = static_cast<std::size_t>(reachable) * 2 > state.upstreams.size();
    if (!state.primary || !canReplace || !std::ranges::all_of(state.upstreams, [&](const auto& watch) { return isIsolating(state, watch); }))
        return std::nullopt;
    return state.primary;
}

Suspicion findSuspicion(const GroupState& state, Time now) noexcept
{
    const bool isAlone = state.watchers.size() < 2;
    if (!state.primary)
        return state.vacantSince && now - *state.vacantSince >= vacancyLimit ? Suspicion::Vacant : Suspicion::None;
    const auto found = std::ranges::find(state.upstreams, *state.primary, &UpstreamWatch::name);
    if (found == state.upstreams.end())
        return Suspicion::None;
    if (found->refusedSince && (!isAlone || now - *found->refusedSince >= aloneRefusalLimit))
        return Suspicion::Refused;
    if (found->askedAt && now - *found->askedAt >= (isAlone ? aloneSilenceLimit : silenceLimit))
        return Suspicion::Silent;
    const bool isSettled = now - state.primarySince >= isolationLimit;
    return isSettled && isolatedPrimary(state) ? Suspicion::Isolated : Suspicion::None;
}

}

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

    bool isSilent(const UpstreamWatch& watch, Time now, bool isAlone)
    {
        return watch.askedAt && now - *watch.askedAt >= (isAlone ? aloneSilenceLimit : silenceLimit);
    }

    bool isRefusing(const UpstreamWatch& watch, Time now, bool isAlone)
    {
        return watch.refusedSince && (!isAlone || now - *watch.refusedSince >= aloneRefusalLimit);
    }

    /// Tells whether each upstream has said that it is no primary, or cannot be asked; a slow one may still be one.
    bool isVacant(const GroupState& state, Time now, bool isAlone)
    {
        if (!state.vacantSince || now - *state.vacantSince < vacancyLimit)
            return false;
        return std::ranges::all_of(state.upstreams, [&](const auto& watch) {
            const bool hasSpoken = watch.heardAt && *watch.heardAt >= *state.vacantSince;
            return hasSpoken || isRefusing(watch, now, isAlone) || isSilent(watch, now, isAlone);
        });
    }

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
        return isVacant(state, now, isAlone) ? Suspicion::Vacant : Suspicion::None;
    const auto found = std::ranges::find(state.upstreams, *state.primary, &UpstreamWatch::name);
    if (found == state.upstreams.end())
        return Suspicion::None;
    if (isRefusing(*found, now, isAlone))
        return Suspicion::Refused;
    if (isSilent(*found, now, isAlone))
        return Suspicion::Silent;
    const bool isSettled = now - state.primarySince >= isolationLimit;
    return isSettled && isolatedPrimary(state) ? Suspicion::Isolated : Suspicion::None;
}

}

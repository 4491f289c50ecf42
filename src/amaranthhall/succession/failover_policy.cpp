#include "amaranthhall/succession/failover_policy.hpp"

#include "amaranthhall/succession/promoter.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

namespace amaranthhall::succession {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration silenceLimit = 350ms; // an overloaded primary that is slow by a factor of five still answers one of its links within it
    constexpr Duration uncontradicted = 800ms; // a serving primary gives some daemon evidence many times in this
    constexpr Duration missingLimit = 1s;
    constexpr Duration holderGrace = 400ms; // the holder learns of a failure at about the same time
    constexpr Duration rankStep = 120ms; // time of a conditional write and its news

}

std::string_view nameOf(Cause cause) noexcept
{
    constexpr std::array<std::string_view, 5> names { "none", "draining", "refusing", "silent", "missing" };
    return names[static_cast<std::size_t>(cause)];
}

std::string_view nameOf(OrderOutcome outcome) noexcept
{
    constexpr std::array<std::string_view, 4> names { "accepted", "refused", "not_done", "unknown" };
    return names[static_cast<std::size_t>(outcome)];
}

std::optional<Suspicion> suspect(const Observation& observation, Time now) noexcept
{
    if (observation.failingSince && observation.isRefusing)
        return Suspicion { .isRefusing = true, .since = *observation.failingSince };
    if (observation.silence >= silenceLimit)
        return Suspicion { .since = now - observation.silence };
    if (observation.failingSince)
        return Suspicion { .since = *observation.failingSince };
    return std::nullopt;
}

Cause judge(const Situation& situation) noexcept
{
    if (situation.own.drainingSince)
        return Cause::Draining;
    const auto& suspicion = situation.suspicion;
    const bool isProvenSince = suspicion && situation.provenAt && *situation.provenAt > suspicion->since;
    if (isProvenSince)
        return Cause::None;
    const bool isMissing = situation.own.missingSince && situation.now - *situation.own.missingSince >= missingLimit;
    const bool isUnproven = !situation.provenAt || situation.now - *situation.provenAt >= missingLimit;
    if (isMissing && isUnproven)
        return Cause::Missing;
    if (!suspicion)
        return Cause::None;
    const bool isIsolated = situation.livePeers * 2 < situation.peers;
    if (isIsolated)
        return Cause::None;
    const bool isMajority = (situation.agreeing + 1) * 2 > situation.livePeers + 1;
    if (suspicion->isRefusing && isMajority)
        return Cause::Refusing;
    const auto quietSince = std::max(suspicion->since, situation.provenAt.value_or(suspicion->since));
    const bool isLongQuiet = situation.now - quietSince >= uncontradicted;
    const bool isAgreedQuiet = isMajority && situation.now - quietSince >= silenceLimit;
    return isLongQuiet || isAgreedQuiet ? Cause::Silent : Cause::None;
}

std::vector<Heir> followersOf(group::Term term, std::span<const Heir> heirs)
{
    std::vector<Heir> followers;
    std::copy_if(heirs.begin(), heirs.end(), std::back_inserter(followers), [term](const Heir& heir) { return heir.term >= term; });
    return followers;
}

std::optional<std::string> chooseHeir(std::span<const Heir> heirs)
{
    const auto rank = [](const Heir& heir) { return std::tuple(heir.point, heir.applied, heir.isNear); };
    const Heir* best = nullptr;
    for (const auto& heir : heirs) {
        if (!best || rank(heir) > rank(*best))
            best = &heir;
    }
    return best ? std::optional(best->upstream) : std::nullopt;
}

Duration takeoverDelay(std::size_t rank, bool isHolderLive) noexcept
{
    return rankStep * rank + (isHolderLive ? holderGrace : Duration::zero());
}

}

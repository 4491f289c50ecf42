#include "amaranthhall/succession/failover_policy.hpp"

#include "amaranthhall/succession/promoter.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>

namespace amaranthhall::succession {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration silenceTimeout = 350ms; // an overloaded primary that is slower by a factor of five still answers on one connection within this time
    constexpr Duration soleSuspicionTimeout = 800ms; // a serving primary gives some daemon a proof many times within this period
    constexpr Duration proofLifetime = 1s; // an older proof does not show that a primary without a registration still leads
    constexpr Duration holderGrace = 400ms; // the lease holder detects a failure at about the same time
    constexpr Duration rankDelay = 120ms; // time for a conditional write and its propagation to the other daemons

}

std::string_view nameOf(FailoverCause cause) noexcept
{
    constexpr std::array<std::string_view, 5> names { "none", "draining", "refusing", "silent", "gone" };
    return names[static_cast<std::size_t>(cause)];
}

std::string_view nameOf(PromotionOutcome outcome) noexcept
{
    constexpr std::array<std::string_view, 4> names { "accepted", "refused", "not_done", "unknown" };
    return names[static_cast<std::size_t>(outcome)];
}

std::optional<Suspicion> suspect(const Observation& observation, Time now) noexcept
{
    if (observation.failingSince && observation.isRefusing)
        return Suspicion { .isRefusing = true, .since = *observation.failingSince };
    if (observation.silence >= silenceTimeout)
        return Suspicion { .since = now - observation.silence };
    if (observation.failingSince)
        return Suspicion { .since = *observation.failingSince };
    return std::nullopt;
}

FailoverCause decideFailover(const FailoverInput& input) noexcept
{
    if (input.own.drainingSince)
        return FailoverCause::Draining;
    const auto& suspicion = input.suspicion;
    const bool hasLaterProof = suspicion && input.provenAt && *input.provenAt > suspicion->since;
    if (hasLaterProof)
        return FailoverCause::None;
    const bool isProofExpired = !input.provenAt || input.now - *input.provenAt >= proofLifetime;
    if (input.own.isGone && isProofExpired)
        return FailoverCause::Gone;
    if (!suspicion)
        return FailoverCause::None;
    const bool isIsolated = input.livePeers * 2 < input.peers;
    if (isIsolated)
        return FailoverCause::None;
    const bool isConfirmedByMajority = (input.agreeingPeers + 1) * 2 > input.livePeers + 1;
    if (suspicion->isRefusing && isConfirmedByMajority)
        return FailoverCause::Refusing;
    const auto silentSince = std::max(suspicion->since, input.provenAt.value_or(suspicion->since));
    const bool isSilentForLong = input.now - silentSince >= soleSuspicionTimeout;
    const bool isSilentForMajority = isConfirmedByMajority && input.now - silentSince >= silenceTimeout;
    return isSilentForLong || isSilentForMajority ? FailoverCause::Silent : FailoverCause::None;
}

std::vector<PromotionCandidate> candidatesAtTerm(group::Term term, std::span<const PromotionCandidate> candidates)
{
    std::vector<PromotionCandidate> eligible;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(eligible), [term](const PromotionCandidate& candidate) { return candidate.term >= term; });
    return eligible;
}

std::optional<std::string> chooseCandidate(std::span<const PromotionCandidate> candidates)
{
    const auto rank = [](const PromotionCandidate& candidate) { return std::tuple(candidate.point, candidate.applied, candidate.isSameZone); };
    const PromotionCandidate* best = nullptr;
    for (const auto& candidate : candidates) {
        if (!best || rank(candidate) > rank(*best))
            best = &candidate;
    }
    return best ? std::optional(best->upstream) : std::nullopt;
}

Duration takeoverDelay(std::size_t rank, bool isHolderLive) noexcept
{
    return rankDelay * rank + (isHolderLive ? holderGrace : Duration::zero());
}

}

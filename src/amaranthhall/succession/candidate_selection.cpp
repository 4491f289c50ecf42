#include "amaranthhall/succession/candidate_selection.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace amaranthhall::succession {

namespace {

    /// Returns whether commits may exist that neither the primary's position nor a replica's shows.
    bool isIncomplete(const SelectionInput& input)
    {
        return !input.primary && (input.silentReplicas > 0 || input.mayLackReplicas);
    }

    bool mayWait(const SelectionInput& input)
    {
        return input.waiting < silentReplicaTimeout;
    }

    std::optional<group::LogPoint> newestPoint(std::span<const PromotionCandidate> answered)
    {
        const auto newest = std::max_element(answered.begin(), answered.end(), [](const auto& left, const auto& right) { return left.point < right.point; });
        return newest == answered.end() ? std::nullopt : std::optional(newest->point);
    }

}

Selection selectWithSynchronousReplicas(const SelectionInput& input)
{
    if (isIncomplete(input) && mayWait(input))
        return {};
    std::vector<PromotionCandidate> eligible;
    std::copy_if(input.answered.begin(), input.answered.end(), std::back_inserter(eligible), [&input](const auto& candidate) { return !candidate.wasRefused && (!candidate.isDraining || !input.primary); });
    const bool isBehind = !input.primary && newestPoint(eligible) < newestPoint(input.answered);
    if (isBehind && mayWait(input))
        return {};
    return { .candidate = chooseCandidate(eligible), .givesUpReplicas = isIncomplete(input) || isBehind };
}

std::optional<group::LogPoint> requiredPoint(const SelectionInput& input)
{
    if (input.primary)
        return input.primary;
    if (isIncomplete(input) && mayWait(input))
        return std::nullopt;
    return newestPoint(input.answered);
}

}

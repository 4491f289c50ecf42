#include "amaranthhall/gateway/drain_decision.hpp"

#include <algorithm>

namespace amaranthhall::gateway {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration trafficRemovalDelay = 2200ms; // the platform stops sending callers after two failed readiness checks, made once per second
    constexpr Duration shutdownMargin = 500ms; // time left before the platform kills the process
    constexpr Duration lastRepliesTime = 300ms; // for the replies to abandoned requests to be sent

}

DrainDecision decideDrain(const DrainState& state) noexcept
{
    const auto half = state.limit / 2;
    const auto end = state.limit - std::min(shutdownMargin, state.limit / 4);
    const auto lastReplies = end - std::min(lastRepliesTime, state.limit / 8);
    DrainDecision decision {
        .closesSessions = state.elapsed >= std::min(trafficRemovalDelay, half),
        .abortsTransactions = state.elapsed >= half,
        .abandonsRequests = state.elapsed >= lastReplies,
    };
    const bool isIdle = state.sessions == 0 && state.relayedStreams == 0;
    decision.isOver = state.elapsed >= end || (isIdle && decision.closesSessions);
    return decision;
}

}

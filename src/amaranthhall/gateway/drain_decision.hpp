#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>

namespace amaranthhall::gateway {

/// @brief What a daemon that is being stopped still has to do.
struct DrainState {
    Duration elapsed { 0 }; ///< Since the request to stop.
    Duration limit { 0 }; ///< From the request to stop to the end of the process, which the platform enforces.
    std::size_t sessions { 0 }; ///< Sessions of callers.
    std::size_t relayedStreams { 0 }; ///< Statements and transactions that run for other daemons.
};

/// @brief What is to be done now.
struct DrainDecision {
    bool closesSessions { false }; ///< Sessions are closed as soon as they have no request and no transaction.
    bool abortsTransactions { false }; ///< Transactions without a statement in progress are rolled back.
    bool abandonsRequests { false }; ///< Requests in progress are answered without waiting for the upstream.
    bool isOver { false }; ///< The process may end.
};

/// @brief Decides how far a stop has come. No request is in progress or unanswered when it is over.
[[nodiscard]] DrainDecision decideDrain(const DrainState& state) noexcept;

}

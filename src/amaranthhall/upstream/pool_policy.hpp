#pragma once

#include "amaranthhall/kernel/random.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <optional>

namespace amaranthhall::upstream {

/// @brief Connections of one pool by what they do.
struct PoolCounts {
    std::uint32_t idle { 0 };
    std::uint32_t lent { 0 };
    std::uint32_t resetting { 0 };
    std::uint32_t opening { 0 };
    std::uint32_t closing { 0 }; ///< Closed here, while the upstream has not shown that it has closed them too.

    /// @brief Gives the links that are or may become usable.
    [[nodiscard]] std::uint32_t total() const noexcept { return this->idle + this->lent + this->resetting + this->opening; }

    /// @brief Gives the connections that the upstream may still hold.
    [[nodiscard]] std::uint32_t held() const noexcept { return this->total() + this->closing; }
};

/// @brief What a pool remembers between decisions.
struct PoolState {
    std::uint32_t recentPeak { 0 }; ///< Most connections needed at once in the present window.
    std::uint32_t formerPeak { 0 }; ///< The same in the window before.
    std::optional<Time> windowEnd;
    std::optional<Time> lastShrink;
    std::uint32_t failures { 0 }; ///< Failed connects in a row.
    Time retryAt; ///< After a failure: when one trial is due.
};

/// @brief What a pool has to do.
struct PoolPlan {
    std::uint32_t open { 0 }; ///< Connections to begin to open.
    std::uint32_t closeIdle { 0 }; ///< Idle connections to close.
    std::optional<Time> wakeAt; ///< When to decide again, if nothing happens before.
};

/**
 * @brief Decides how many connections to open and to close.
 *
 * The connections, with those being opened, never exceed the allowance; above it idle ones are closed at once. The pool
 * holds as many as were needed at once within the last two windows, opens a few at a time, and closes what
 * is idle above that one by one. After a failed connect it waits, and then opens a single one as a trial.
 *
 * @param wanted Connections needed now: those lent and the work that waits for one.
 */
[[nodiscard]] PoolPlan planPool(PoolState& state, const PoolCounts& counts, std::uint32_t wanted, std::uint32_t allowance, Time now);

/// @brief Takes in a failed connect: the wait grows with each, with random jitter.
void noteConnectFailure(PoolState& state, Time now, Random& random);

/// @brief Takes in a successful connect.
void noteConnectSuccess(PoolState& state) noexcept;

/// @brief Takes in demand that is about to come, so that connections are opened ahead of it.
void expectDemand(PoolState& state, std::uint32_t connections) noexcept;

/// @brief Lets the next trial begin at once, since the upstream is known to answer again.
void allowTrial(PoolState& state, Time now) noexcept;

/// @brief Tells whether connecting has failed and no trial is due yet.
[[nodiscard]] bool isBackingOff(const PoolState& state, Time now) noexcept;

}

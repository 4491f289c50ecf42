#pragma once

#include "amaranthhall/catalog/organisation.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <chrono>
#include <cstddef>

namespace amaranthhall::quota {

/// @brief Bound of the operations of an organisation in any sliding window, over all daemons: (perSecond x window + burst) x (1 + excess) + slack.
struct WindowBound {
    std::chrono::milliseconds window { 5000 };
    double excess { 0.1 }; ///< Fraction.
    double slack { 20 }; ///< Operations.
};

/// @brief Starts without the bucket of a predecessor that most of the voters allow per window. Two of them with twice the tokens serve the time until an owner's leases have ended better than four.
inline constexpr int startsPerWindow = 2;

/**
 * @brief The operations that the bound allows above a token bucket, divided among everything that a bucket can't count exactly.
 *
 * A token bucket alone lets at most perSecond x window + burst operations pass in a window. The rest of the bound is spent once, here:
 *
 * | part | spent on | why it is enough |
 * |---|---|---|
 * | 1/4 | tokens that are granted ahead | a token is used at most grantLifetime after it was taken from the bucket, so a window receives at most perSecond x grantLifetime tokens of the time before it |
 * | 2/4 | owners that start without the bucket of their predecessor | each starts with initialTokens; most of the voters allow startsPerWindow of them |
 * | 1/4 | daemons that reach no owner | half of it by the shares that the owner has announced (see Shares), half evenly, isolatedTokens per window each |
 */
struct Room {
    Duration grantLifetime { 0 };
    double initialTokens { 0 };
    double isolatedTokens { 0 }; ///< Operations per window of one daemon that reaches no owner, beside its share.
    double announcedPerSecond { 0 }; ///< Operations a second for the shares of all daemons together.
};

/// @brief Returns the number of operations per window that the bound allows above the bucket.
[[nodiscard]] double roomAbove(const catalog::OperationLimit& limit, const WindowBound& bound) noexcept;

/**
 * @brief Divides the room of an organisation.
 * @param daemons Daemons of the fleet, any number of which may reach no owner at the same time.
 */
[[nodiscard]] Room divideRoom(const catalog::OperationLimit& limit, const WindowBound& bound, std::size_t daemons) noexcept;

}

#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace amaranthhall::store {

/// @brief Limits of the age of a copy of a table.
struct PollPolicy {
    Duration maximumAge { std::chrono::milliseconds(1200) }; ///< Every daemon whose copy reaches this age asks the store itself.
};

/// @brief What a daemon knows when it decides whether to ask the store for changes.
struct PollInput {
    std::size_t rank { 0 }; ///< Position of this daemon in the order in which the live daemons ask; 0 asks first.
    std::optional<Duration> age; ///< Age of its copy, by its own reads and those that peers report; unset if unknown.
    std::size_t pending { 0 }; ///< Its polls without an answer so far.
    std::optional<Duration> sinceLastPoll; ///< Time since it last asked; unset if it never did.
    unsigned failures { 0 }; ///< Polls that have failed since the last answer.
};

inline constexpr Duration hedgeDelay = std::chrono::milliseconds(500); ///< A poll without an answer is followed by another one; longer than an answer of a slow store takes.
inline constexpr std::size_t maximumPendingPolls = 3;
inline constexpr Duration minimumPollInterval = std::chrono::milliseconds(200); ///< Also if an answer does not make the copy young, as when it does not tell the time.
inline constexpr Duration firstRetryInterval = std::chrono::milliseconds(100); ///< After a failed poll; the interval doubles with each failure.
inline constexpr Duration maximumRetryInterval = std::chrono::seconds(2); ///< A daemon that regains its way to the store uses it within this time.

/**
 * @brief Returns the age of its copy at which a daemon asks the store.
 *
 * The daemon of rank 0 asks often enough that the copies of the others, to which it reports the answer, stay young. The others ask only if they hear of no answer,
 * in the order of their ranks, so that few ask before one of them reaches the store.
 */
[[nodiscard]] Duration pollAge(const PollPolicy& policy, std::size_t rank) noexcept;

/// @brief Returns the time until a daemon asks the store for changes, unless it hears of an answer before; zero or less if it asks now.
[[nodiscard]] Duration timeUntilPoll(const PollPolicy& policy, const PollInput& input) noexcept;

}

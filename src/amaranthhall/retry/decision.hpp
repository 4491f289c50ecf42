#pragma once

#include "amaranthhall/retry/budget.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace amaranthhall::retry {

/// @brief What is known of an attempt to run statements that commit together.
struct Outcome {
    bool sent { false }; ///< Bytes may have reached the upstream.
    bool lost { false }; ///< The connection broke, or was given up, before the end of the answer.
    bool writes { false }; ///< Not all of the statements are surely reads.
    bool inTransaction { false }; ///< Earlier statements of the caller's transaction ran on the same connection.
    bool commits { true }; ///< The attempt ends its transaction; else a lost connection rolls it back.
    bool idempotent { false }; ///< A request key makes a repeat harmless.
    bool deadlineExpired { false }; ///< The deadline has passed.
    bool transient { false }; ///< The upstream says that nothing is kept, and another attempt may succeed.
    std::size_t bytesDelivered { 0 }; ///< Bytes of this answer that the caller already has.
    std::string_view sqlstate; ///< Of the upstream's error; empty if there was none.
    unsigned retries { 0 }; ///< Retries of the same statements so far.
};

/// @brief What is to be done with an attempt's outcome.
enum class Decision : std::uint8_t {
    ForwardReply, ///< The upstream's answer or error goes to the caller.
    Retry,
    NotRun,
    OutcomeUnknown,
};

/// @brief Tells whether an error says that another attempt may succeed, the statement having been rolled back.
[[nodiscard]] bool isTransient(std::string_view sqlstate) noexcept;

/**
 * @brief Judges an attempt.
 * @param budget Pays for a retry.
 */
[[nodiscard]] Decision decide(const Outcome& outcome, Budget& budget);

}

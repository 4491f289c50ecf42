#pragma once

#include "amaranthhall/retry/budget.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace amaranthhall::retry {

/// @brief Result of an attempt to run statements that commit together.
struct Outcome {
    bool sent { false }; ///< Bytes may have reached the upstream.
    bool lost { false }; ///< The connection was lost or abandoned before the end of the answer.
    bool writes { false }; ///< Some statement may write.
    bool inTransaction { false }; ///< Earlier statements of the caller's transaction ran on the same connection.
    bool commits { true }; ///< The attempt ends its transaction; otherwise a lost connection rolls it back.
    bool idempotent { false }; ///< A request key makes repeating it safe.
    bool deadlineExpired { false }; ///< The deadline has passed.
    bool transient { false }; ///< The upstream reported that nothing took effect and another attempt may succeed.
    std::size_t bytesDelivered { 0 }; ///< Bytes of this answer already sent to the caller.
    std::string_view sqlstate; ///< SQLSTATE of the upstream's error; empty if there was none.
    unsigned retries { 0 }; ///< Retries of the same statements so far.
};

/// @brief What to do after an attempt.
enum class Decision : std::uint8_t {
    ForwardReply, ///< Send the answer or error of the upstream to the caller.
    Retry,
    NotRun,
    OutcomeUnknown,
};

/// @brief Returns whether the error means that the statement was rolled back and another attempt may succeed.
[[nodiscard]] bool isTransient(std::string_view sqlstate) noexcept;

/**
 * @brief Decides how to proceed after an attempt.
 * @param budget A retry takes a token from it.
 */
[[nodiscard]] Decision decide(const Outcome& outcome, Budget& budget);

}

#pragma once

#include "amaranthhall/group/log_point.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::group {

/// @brief How far an attempt to replace a primary has come.
enum class FailoverPhase : std::uint8_t {
    Fencing,
    Promoting, ///< The candidate is chosen; nothing else may be chosen in this term.
};

/// @brief An upstream that accepted the fence of an attempt, with its last record.
struct FenceAcceptance {
    std::string upstream;
    LogPoint last;
    bool isDraining { false };

    friend bool operator==(const FenceAcceptance&, const FenceAcceptance&) = default;
};

/// @brief One attempt to make an upstream primary, in a term of its own.
struct FailoverAttempt {
    Term term { 0 };
    std::size_t groupSize { 0 };
    std::string excluded; ///< An upstream that must not be chosen, since it reaches no replica; empty for none.
    FailoverPhase phase { FailoverPhase::Fencing };
    std::vector<FenceAcceptance> acceptances;
    std::size_t refusals { 0 }; ///< Upstreams that refused the fence.
    std::string candidate;

    friend bool operator==(const FailoverAttempt&, const FailoverAttempt&) = default;
};

/**
 * @brief Takes an upstream's acceptance of the fence.
 *
 * The first majority decides: of its members the one with the highest last record (term first) is
 * the candidate, and the choice stays for the whole term. Later answers change nothing.
 *
 * @return The candidate to promote, given once.
 */
[[nodiscard]] std::optional<std::string> recordFenceAcceptance(FailoverAttempt& attempt, FenceAcceptance acceptance);

/// @brief Takes an upstream's refusal of the fence; gives whether a majority can no longer be had.
[[nodiscard]] bool recordFenceRefusal(FailoverAttempt& attempt) noexcept;

/// @brief Tells whether an answer to an order of a term still belongs to the attempt.
[[nodiscard]] bool isCurrent(const FailoverAttempt& attempt, Term term, FailoverPhase phase) noexcept;

}

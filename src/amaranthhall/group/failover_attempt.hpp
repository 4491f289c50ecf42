#pragma once

#include "amaranthhall/group/log_point.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::group {

/// @brief Phase of an attempt to replace a primary.
enum class FailoverPhase : std::uint8_t {
    Fencing,
    Promoting, ///< The candidate is chosen and must not change within this term.
};

/// @brief An upstream that accepted the fencing request of an attempt, with its last log record.
struct FenceAcceptance {
    std::string upstream;
    LogPoint last;
    bool isDraining { false };

    friend bool operator==(const FenceAcceptance&, const FenceAcceptance&) = default;
};

/// @brief One attempt to promote an upstream, in a new term.
struct FailoverAttempt {
    Term term { 0 };
    std::size_t groupSize { 0 };
    std::string excluded; ///< An upstream that must not be promoted because it cannot reach any replica; empty for none.
    FailoverPhase phase { FailoverPhase::Fencing };
    std::vector<FenceAcceptance> acceptances;
    std::size_t refusals { 0 }; ///< Number of upstreams that refused the fencing request.
    std::string candidate;

    friend bool operator==(const FailoverAttempt&, const FailoverAttempt&) = default;
};

/**
 * @brief Records that an upstream accepted the fencing request.
 *
 * The candidate is chosen as soon as a majority has accepted: it is the member of that majority with the highest last
 * record, compared by term first. The choice is final for the term; later replies do not change it.
 *
 * @return The candidate to promote when the majority is reached; empty on every other call.
 */
[[nodiscard]] std::optional<std::string> recordFenceAcceptance(FailoverAttempt& attempt, FenceAcceptance acceptance);

/// @brief Records that an upstream refused the fencing request; returns whether a majority has become impossible.
[[nodiscard]] bool recordFenceRefusal(FailoverAttempt& attempt) noexcept;

/// @brief Returns whether a reply for a term and phase still belongs to the attempt.
[[nodiscard]] bool isCurrent(const FailoverAttempt& attempt, Term term, FailoverPhase phase) noexcept;

}

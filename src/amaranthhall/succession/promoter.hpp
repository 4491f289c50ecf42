#pragma once

#include "amaranthhall/store/store.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhall::succession {

/// @brief An order that an upstream shall lead its service.
struct PromotionRequest {
    std::string service;
    std::string candidate;
    std::string holder; ///< Name of the daemon that holds the duty.
    std::uint64_t fencingToken { 0 }; ///< Orders with a lower one than the platform has seen are refused.
};

/**
 * @brief Gives the fence of who holds a duty by a version of its row.
 *
 * It rises across eras and stays below 2^53, so that every JSON parser keeps it exact.
 */
[[nodiscard]] constexpr std::uint64_t fencingTokenOf(const store::Version& version) noexcept
{
    constexpr unsigned numberBits = 40;
    return (static_cast<std::uint64_t>(version.era) << numberBits) | version.number;
}

/// @brief How an order ended.
enum class PromotionOutcome : std::uint8_t {
    Accepted,
    Refused, ///< A higher fence was seen, or the candidate does not run.
    NotDone, ///< The platform did not take it: unreachable, unavailable or too many calls.
    Unknown, ///< No answer; it may be carried out later.
};

/// @brief Gives the name of an outcome for logs.
[[nodiscard]] std::string_view nameOf(PromotionOutcome outcome) noexcept;

/// @brief The platform's endpoint for promotions.
class Promoter {
public:
    using Done = std::function<void(PromotionOutcome)>;

    Promoter() = default;
    Promoter(const Promoter&) = delete;
    Promoter& operator=(const Promoter&) = delete;
    virtual ~Promoter() = default;

    /// @brief Sends an order.
    virtual void promote(const PromotionRequest& order, Done done) = 0;
};

}

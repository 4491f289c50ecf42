#pragma once

#include "amaranthhall/store/store.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthhall::succession {

/// @brief A request to the platform to promote an upstream to primary.
struct PromotionRequest {
    std::string service;
    std::string candidate;
    std::string holder; ///< VM of the daemon that holds the failover lease.
    std::uint64_t fencingToken { 0 }; ///< The platform refuses a request with a lower token than it has seen.
};

/**
 * @brief Returns the fencing token for a version of the lease row.
 *
 * Tokens increase across eras and stay below 2^53, so that every JSON parser represents them exactly.
 */
[[nodiscard]] constexpr std::uint64_t fencingTokenOf(const store::Version& version) noexcept
{
    constexpr unsigned numberBits = 40;
    return (static_cast<std::uint64_t>(version.era) << numberBits) | version.number;
}

/// @brief Result of a promotion request.
enum class PromotionOutcome : std::uint8_t {
    Accepted,
    Refused, ///< The platform has seen a higher token, or the candidate is not running.
    NotDone, ///< The platform did not accept the request: it is unreachable, unavailable or rate limiting.
    Unknown, ///< No definite answer; the promotion may still take place.
};

/// @brief Returns the name of an outcome for logs.
[[nodiscard]] std::string_view nameOf(PromotionOutcome outcome) noexcept;

/// @brief Interface to the platform's promotion endpoint.
class Promoter {
public:
    using Done = std::function<void(PromotionOutcome)>;

    Promoter() = default;
    Promoter(const Promoter&) = delete;
    Promoter& operator=(const Promoter&) = delete;
    virtual ~Promoter() = default;

    /// @brief Sends a request asynchronously; `done` receives the outcome.
    virtual void promote(const PromotionRequest& request, Done done) = 0;
};

}

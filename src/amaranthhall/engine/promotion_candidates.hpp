#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <string>
#include <vector>

namespace amaranthhall::engine {

/// @brief The upstreams of a service that may be promoted by an order which can't be called back.
struct PromotionCandidates {
    std::vector<std::string> upstreams;
    Time unchangedSince; ///< What was confirmed before may have been dropped by the promotion of an upstream that is no candidate any more.
};

/// @brief Interface to what is known of orders of promotion.
class PromotionCandidateSource {
public:
    PromotionCandidateSource() = default;
    PromotionCandidateSource(const PromotionCandidateSource&) = delete;
    PromotionCandidateSource& operator=(const PromotionCandidateSource&) = delete;
    virtual ~PromotionCandidateSource() = default;

    /// @brief Returns the candidates of a service with synchronous replicas.
    [[nodiscard]] virtual PromotionCandidates candidatesOf(const std::string& service) = 0;
};

}

#pragma once

#include "amaranthhall/catalog/organisation.hpp"
#include "amaranthhall/kernel/time.hpp"

namespace amaranthhall::quota {

/// @brief A token bucket; each token admits one operation.
struct Bucket {
    double tokens { 0 };
    Time refilledAt;
};

/// @brief Adds the tokens that have accrued since the last call, up to the burst of the limit.
void refill(Bucket& bucket, const catalog::OperationLimit& limit, Time now) noexcept;

/// @brief Returns the time until the bucket holds a number of tokens; Duration::max() if it never does.
[[nodiscard]] Duration timeUntil(const Bucket& bucket, const catalog::OperationLimit& limit, double tokens) noexcept;

}

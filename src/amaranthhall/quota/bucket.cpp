#include "amaranthhall/quota/bucket.hpp"

#include <algorithm>
#include <chrono>

namespace amaranthhall::quota {

void refill(Bucket& bucket, const catalog::OperationLimit& limit, Time now) noexcept
{
    const auto elapsed = std::chrono::duration<double>(std::max(Duration::zero(), now - bucket.refilledAt)).count();
    bucket.tokens = std::min(limit.burst, bucket.tokens + elapsed * limit.perSecond);
    bucket.refilledAt = std::max(bucket.refilledAt, now);
}

Duration timeUntil(const Bucket& bucket, const catalog::OperationLimit& limit, double tokens) noexcept
{
    if (bucket.tokens >= tokens)
        return Duration::zero();
    if (limit.perSecond <= 0 || limit.burst < tokens)
        return Duration::max();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((tokens - bucket.tokens) / limit.perSecond));
}

}

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace amaranthhall::freshness {

/// @brief Microseconds on a monotonic clock that advances during suspend: the local boot clock or the store's steady clock.
using Micros = std::int64_t;

/**
 * @brief Estimates the offset between the store's steady clock and the local boot clock as an interval.
 *
 * Daemons exchange timestamps as store time. Each request to the store narrows the interval: the store reads its
 * clock after the request is sent and before the response is received. The interval widens with its age, as the
 * two clocks may drift apart.
 */
class StoreClock {
public:
    /// @brief Assumed upper limit of the drift between two machines' clocks, in parts per million.
    static constexpr Micros maximumDriftPpm = 200;

    /// @brief Narrows the bounds with the store time read between `sentAt` and `receivedAt`.
    void observe(Micros sentAt, Micros receivedAt, Micros storeTime) noexcept
    {
        const auto low = storeTime - receivedAt;
        const auto high = storeTime + storeResolution - sentAt;
        if (!this->bounds) {
            this->bounds = Bounds { low, high, receivedAt };
            return;
        }
        this->widen(receivedAt);
        this->bounds->low = std::max(this->bounds->low, low);
        this->bounds->high = std::min(this->bounds->high, high);
        // The bounds contradict each other: the store's clock was reset, so the older bounds are void.
        if (this->bounds->low > this->bounds->high)
            this->bounds = Bounds { low, high, receivedAt };
    }

    /// @brief Returns the lower bound of the store time at a local time; empty before the first observation.
    [[nodiscard]] std::optional<Micros> earliestStoreTime(Micros local) const noexcept
    {
        if (!this->bounds)
            return std::nullopt;
        return local + this->bounds->low - this->driftAllowance(local);
    }

    /// @brief Returns the upper bound of the store time at a local time; empty before the first observation.
    [[nodiscard]] std::optional<Micros> latestStoreTime(Micros local) const noexcept
    {
        if (!this->bounds)
            return std::nullopt;
        return local + this->bounds->high + this->driftAllowance(local);
    }

    /// @brief Returns the lower bound of the local time at a store time; empty before the first observation.
    [[nodiscard]] std::optional<Micros> earliestLocalTime(Micros storeTime, Micros now) const noexcept
    {
        if (!this->bounds)
            return std::nullopt;
        return storeTime - this->bounds->high - this->driftAllowance(now);
    }

private:
    static constexpr Micros storeResolution = 1000; ///< In µs; the store reports whole milliseconds.

    /// Bounds of the store time minus the local time.
    struct Bounds {
        Micros low { 0 };
        Micros high { 0 };
        Micros updatedAt { 0 };
    };

    /// Returns the drift that may have accumulated since the bounds were updated.
    [[nodiscard]] Micros driftAllowance(Micros local) const noexcept
    {
        return (local > this->bounds->updatedAt ? local - this->bounds->updatedAt : this->bounds->updatedAt - local) * maximumDriftPpm / 1'000'000;
    }

    void widen(Micros now) noexcept
    {
        const auto added = this->driftAllowance(now);
        this->bounds->low -= added;
        this->bounds->high += added;
        this->bounds->updatedAt = now;
    }

    std::optional<Bounds> bounds;
};

}

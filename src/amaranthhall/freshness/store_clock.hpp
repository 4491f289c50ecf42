#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace amaranthhall::freshness {

/// @brief Microseconds on a clock that counts suspension: the machine's boot clock, or the store's steady clock.
using Micros = std::int64_t;

/**
 * @brief Bounds of the difference between the store's steady clock and the local boot clock.
 *
 * Daemons exchange moments as store time. Each exchange with the store narrows the bounds: the store read its
 * clock between the sending of the request and the receipt of the response. Bounds widen with age, as the two
 * clocks may drift apart.
 */
class StoreClock {
public:
    /// @brief Drift that two machines' clocks may have, in parts of a million.
    static constexpr Micros maximumDriftPpm = 200;

    /// @brief Takes in an exchange with the store.
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
        // The store's clock started anew: older bounds say nothing of it.
        if (this->bounds->low > this->bounds->high)
            this->bounds = Bounds { low, high, receivedAt };
    }

    /// @brief Gives the earliest store time that a local moment can be; nothing before the first exchange.
    [[nodiscard]] std::optional<Micros> earliestStoreTime(Micros local) const noexcept
    {
        if (!this->bounds)
            return std::nullopt;
        return local + this->bounds->low - this->driftAllowance(local);
    }

    /// @brief Gives the latest store time that a local moment can be.
    [[nodiscard]] std::optional<Micros> latestStoreTime(Micros local) const noexcept
    {
        if (!this->bounds)
            return std::nullopt;
        return local + this->bounds->high + this->driftAllowance(local);
    }

    /// @brief Gives a local moment that is surely not after a moment of the store's clock.
    [[nodiscard]] std::optional<Micros> earliestLocalTime(Micros storeTime, Micros now) const noexcept
    {
        if (!this->bounds)
            return std::nullopt;
        return storeTime - this->bounds->high - this->driftAllowance(now);
    }

private:
    static constexpr Micros storeResolution = 1000; ///< The store tells whole milliseconds.

    struct Bounds {
        Micros low { 0 };
        Micros high { 0 };
        Micros updatedAt { 0 };
    };

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

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
    static constexpr Micros driftPerMillion = 200;

    /// @brief Takes in an exchange with the store.
    void observe(Micros sentAt, Micros receivedAt, Micros storeTime) noexcept
    {
        const auto low = storeTime - receivedAt;
        const auto high = storeTime + resolution - sentAt;
        if (!this->known) {
            this->known = Bounds { low, high, receivedAt };
            return;
        }
        this->widen(receivedAt);
        this->known->low = std::max(this->known->low, low);
        this->known->high = std::min(this->known->high, high);
        // The store's clock started anew: older bounds say nothing of it.
        if (this->known->low > this->known->high)
            this->known = Bounds { low, high, receivedAt };
    }

    /// @brief Gives the earliest store time that a local moment can be; nothing before the first exchange.
    [[nodiscard]] std::optional<Micros> earliest(Micros local) const noexcept
    {
        if (!this->known)
            return std::nullopt;
        return local + this->known->low - this->slack(local);
    }

    /// @brief Gives the latest store time that a local moment can be.
    [[nodiscard]] std::optional<Micros> latest(Micros local) const noexcept
    {
        if (!this->known)
            return std::nullopt;
        return local + this->known->high + this->slack(local);
    }

    /// @brief Gives a local moment that is surely not after a moment of the store's clock.
    [[nodiscard]] std::optional<Micros> localBefore(Micros storeTime, Micros now) const noexcept
    {
        if (!this->known)
            return std::nullopt;
        return storeTime - this->known->high - this->slack(now);
    }

private:
    static constexpr Micros resolution = 1000; ///< The store tells whole milliseconds.

    struct Bounds {
        Micros low { 0 };
        Micros high { 0 };
        Micros at { 0 };
    };

    [[nodiscard]] Micros slack(Micros local) const noexcept
    {
        return (local > this->known->at ? local - this->known->at : this->known->at - local) * driftPerMillion / 1'000'000;
    }

    void widen(Micros now) noexcept
    {
        const auto added = this->slack(now);
        this->known->low -= added;
        this->known->high += added;
        this->known->at = now;
    }

    std::optional<Bounds> known;
};

}

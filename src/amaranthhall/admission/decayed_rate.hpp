#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace amaranthhall::admission {

/// @brief A rate per second in which older amounts count exponentially less.
class DecayedRate {
public:
    explicit DecayedRate(Duration usedTimeConstant) noexcept
        : timeConstant(std::chrono::duration<double>(usedTimeConstant).count())
    {
    }

    void add(double amount, Time now) noexcept
    {
        if (!this->hasStarted)
            this->startedAt = now;
        this->hasStarted = true;
        this->sum = this->sumAt(now) + amount;
        this->updatedAt = now;
    }

    /// @brief Returns the rate; during the first time constant, relative to the time since the first amount.
    [[nodiscard]] double perSecond(Time now) const noexcept
    {
        constexpr double minimumAge = 0.25; // seconds; a shorter time says little about a rate
        const auto age = std::max(minimumAge, seconds(now - this->startedAt));
        return this->sumAt(now) / (this->timeConstant * -std::expm1(-age / this->timeConstant));
    }

    /// @brief Returns how long amounts have been recorded.
    [[nodiscard]] Duration age(Time now) const noexcept { return this->hasStarted ? now - this->startedAt : Duration::zero(); }
    [[nodiscard]] Time lastAddedAt() const noexcept { return this->updatedAt; }

private:
    [[nodiscard]] static double seconds(Duration span) noexcept { return std::chrono::duration<double>(span).count(); }
    [[nodiscard]] double sumAt(Time now) const noexcept { return this->sum * std::exp(-seconds(now - this->updatedAt) / this->timeConstant); }

    double timeConstant;
    double sum { 0 };
    Time startedAt;
    Time updatedAt;
    bool hasStarted { false };
};

}

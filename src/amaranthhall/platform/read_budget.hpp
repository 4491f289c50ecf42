#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace amaranthhall::platform {

/// @brief A daemon's part of the reads that the platform serves; all daemons together use half of its limit.
class ReadBudget {
public:
    static constexpr double platformReadsPerSecond = 2000;
    static constexpr double usedShare = 0.5; // the rest is for operators and for daemons that start
    static constexpr double burst = 10;

    /// @brief Sets the number of daemons that share the limit; at least one.
    void setDaemons(std::size_t daemons) noexcept { this->rate = platformReadsPerSecond * usedShare / static_cast<double>(std::max<std::size_t>(daemons, 1)); }

    /// @brief Takes one read from the budget; tells whether there was one.
    [[nodiscard]] bool take(Time now) noexcept
    {
        const auto passed = std::chrono::duration<double>(now - this->last).count();
        this->tokens = std::min(burst, this->tokens + passed * this->rate);
        this->last = now;
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    double rate { platformReadsPerSecond * usedShare };
    double tokens { burst };
    Time last;
};

}

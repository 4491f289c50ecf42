#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace amaranthhall::admission {

/// @brief Class of statements with a similar cost: those of all routes with the same consistency and priority.
struct StatementClass {
    static constexpr std::size_t consistencyCount = 3;
    static constexpr std::size_t priorityCount = 4; ///< Lower priorities are counted in the last class.

    std::size_t consistency { 0 }; ///< Less than `consistencies`.
    unsigned priority { 0 };
};

/// @brief Average service time of each statement class on an uncongested upstream.
struct ServiceTimes {
    static constexpr std::size_t classCount = StatementClass::consistencyCount * StatementClass::priorityCount;

    struct Average {
        Duration mean { 0 };
        std::uint32_t samples { 0 };
    };

    std::array<Average, classCount> byClass;
    Average all;
};

/// @brief Records the service time of a statement on an uncongested upstream.
void noteServiceTime(ServiceTimes& times, const StatementClass& statementClass, Duration serviceTime) noexcept;

/**
 * @brief Returns the average service time of a class relative to that of all statements.
 * @return 1 while there are too few samples.
 */
[[nodiscard]] double relativeCost(const ServiceTimes& times, const StatementClass& statementClass) noexcept;

}

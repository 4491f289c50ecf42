#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace amaranthhall::admission {

/// @brief Statements that are alike in the work that they cause: those of the routes with one consistency and one priority.
struct StatementClass {
    static constexpr std::size_t consistencyCount = 3;
    static constexpr std::size_t priorityCount = 4; ///< Lower priorities count as the last one.

    std::size_t consistency { 0 }; ///< Less than `consistencies`.
    unsigned priority { 0 };
};

/// @brief How long statements of each kind take at an upstream that has no queue.
struct ServiceTimes {
    static constexpr std::size_t classCount = StatementClass::consistencyCount * StatementClass::priorityCount;

    struct Average {
        Duration mean { 0 };
        std::uint32_t samples { 0 };
    };

    std::array<Average, classCount> byClass;
    Average all;
};

/// @brief Takes in how long a statement took, at an upstream without a queue.
void noteServiceTime(ServiceTimes& times, const StatementClass& statementClass, Duration serviceTime) noexcept;

/**
 * @brief Gives the work of a kind of statement over that of all statements.
 * @return 1 while too few of them are known.
 */
[[nodiscard]] double relativeCost(const ServiceTimes& times, const StatementClass& statementClass) noexcept;

}

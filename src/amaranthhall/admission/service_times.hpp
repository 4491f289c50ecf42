#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <algorithm>
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

/// @brief Returns the index of a class, less than `ServiceTimes::classCount`.
[[nodiscard]] constexpr std::size_t indexOf(const StatementClass& statementClass) noexcept
{
    constexpr auto lastPriority = static_cast<unsigned>(StatementClass::priorityCount - 1);
    return statementClass.consistency * StatementClass::priorityCount + std::min(statementClass.priority, lastPriority);
}

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

/// @brief How long a statement is expected to take.
struct ExpectedTimes {
    Duration work { 0 }; ///< At an uncongested upstream: the average of its class, or the current latency while that is unknown.
    Duration serviceTime { 0 }; ///< At the current latency: the work, and the excess of the latency over the average of all statements.
};

/// @brief Returns how long a statement of a class is expected to take at an upstream with a certain latency, over all statements.
[[nodiscard]] ExpectedTimes expectTimes(const ServiceTimes& times, const StatementClass& statementClass, Duration latency) noexcept;

}

#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>
#include <cstdint>

namespace amaranthhall::table {

/// @brief How one daemon answered a question to the electorate.
enum class ElectorAnswer : std::uint8_t {
    UpToDate, ///< It has told all that it knows, and all of that is held here.
    Unloaded, ///< It has not learnt the table since it started.
    Silent, ///< It has not answered, or what it knows could not be fetched.
};

/// @brief A question to the electorate, whose majority stands for the store.
struct MajorityRound {
    Time askedAt;
    std::size_t electors { 0 }; ///< Daemons that count, this one among them if it is loaded.
    std::size_t upToDate { 0 };
    std::size_t open { 0 }; ///< Daemons that have not answered yet.
};

/**
 * @brief Begins a round.
 * @param others Number of other daemons that are asked.
 * @param isLoaded Whether this daemon has learnt the table since it started; one that has lost its memory does not count.
 */
[[nodiscard]] inline MajorityRound beginRound(std::size_t others, bool isLoaded, Time now) noexcept
{
    const std::size_t self = isLoaded ? 1 : 0;
    return { .askedAt = now, .electors = others + self, .upToDate = self, .open = others };
}

/**
 * @brief Counts an answer.
 * @param isNewcomer Whether the daemon was not on the platform's list when the store was last in touch and has never
 *        been seen loaded; such a one does not count while it is unloaded, as it cannot have confirmed an edit.
 */
inline void countAnswer(MajorityRound& round, ElectorAnswer answer, bool isNewcomer) noexcept
{
    --round.open;
    if (answer == ElectorAnswer::UpToDate)
        ++round.upToDate;
    else if (answer == ElectorAnswer::Unloaded && isNewcomer)
        --round.electors;
}

/// @brief Tells whether a majority is up to date; more may answer yet.
[[nodiscard]] inline bool hasMajority(const MajorityRound& round) noexcept
{
    return round.upToDate * 2 > round.electors;
}

}

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace amaranthhall::store {

/// @brief Counts how often the store came back from an older copy of itself; numbers of two eras can't be compared.
using Era = std::uint32_t;

/**
 * @brief Version of a row or table, ordered by era first.
 *
 * After the store came back from a copy, it gives numbers out again that it had given before.
 */
struct Version {
    Era era { 0 };
    std::uint64_t number { 0 }; ///< Rises with each transaction of the era; 0 stands for no row.

    friend auto operator<=>(const Version&, const Version&) = default;
};

/// @brief Gives a version as text, "ERA.NUMBER".
[[nodiscard]] std::string formatVersion(const Version& version);

/// @brief Reads what formatVersion() gave; gives the lowest version if the text is malformed.
[[nodiscard]] Version parseVersion(const std::string& text) noexcept;

}

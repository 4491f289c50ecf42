#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace amaranthhall::store {

/// @brief Number of times that the store was restored from an older copy of itself; version numbers of different eras cannot be compared.
using Era = std::uint32_t;

/**
 * @brief Version of a row or table, ordered by era first.
 *
 * After a restore from a copy, the store assigns numbers again that it had assigned before.
 */
struct Version {
    Era era { 0 };
    std::uint64_t number { 0 }; ///< Increases with each transaction in the era; 0 means no row.

    friend auto operator<=>(const Version&, const Version&) = default;
};

/// @brief Formats a version as "ERA.NUMBER".
[[nodiscard]] std::string formatVersion(const Version& version);

/// @brief Parses the output of formatVersion(); returns the lowest version if the text is malformed.
[[nodiscard]] Version parseVersion(const std::string& text) noexcept;

}

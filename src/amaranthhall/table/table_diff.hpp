#pragma once

#include "amaranthhall/table/rows.hpp"

#include <set>
#include <string>
#include <vector>

namespace amaranthhall::table {

/// @brief One difference between two tables.
struct Difference {
    std::string row;
    std::string column; ///< Empty if the whole row was added or removed.
    std::string before; ///< Empty if the row was added.
    std::string after; ///< Empty if the row was removed.

    friend bool operator==(const Difference&, const Difference&) = default;
};

/// @brief Lists what must change to turn one table into another; versions do not count.
[[nodiscard]] std::vector<Difference> diffTables(const TableImage& before, const TableImage& after);

/// @brief Formats a difference as `upstream coach-ledger/1/a: weight: 100 -> 50`, or with `+` or `-` for whole rows.
[[nodiscard]] std::string formatDifference(const Difference& difference);

/// @brief Names the services with a difference in their own row or in those of their upstreams.
[[nodiscard]] std::set<std::string, std::less<>> touchedServices(const TableImage& before, const TableImage& after);

}

#pragma once

#include "amaranthhall/table/problem.hpp"
#include "amaranthhall/table/rows.hpp"

namespace amaranthhall::table {

/**
 * @brief Checks a table whole: names, ranges, duplicates, references and sums.
 * @return All problems found; the table may be staged only if there are none.
 */
[[nodiscard]] Problems checkTable(const TableImage& image);

}

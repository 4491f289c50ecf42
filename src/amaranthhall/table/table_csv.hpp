#pragma once

#include "amaranthhall/table/problem.hpp"
#include "amaranthhall/table/rows.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::table {

/**
 * @brief Writes a table as CSV that a spreadsheet opens.
 *
 * One file holds both kinds of rows. A line whose first cell is `kind` names the columns of the
 * lines below it; each of those begins with `service` or `upstream`.
 */
[[nodiscard]] std::string writeTableCsv(const TableImage& image);

/// @brief Reads a table from CSV; a problem names line and column. Version is 0, as CSV carries none.
[[nodiscard]] tl::expected<TableImage, Problems> readTableCsv(std::string_view text);

}

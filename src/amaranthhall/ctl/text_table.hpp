#pragma once

#include <string>
#include <vector>

namespace amaranthhall::ctl {

/// @brief Rows of cells, the first of which names the columns.
using TextRows = std::vector<std::vector<std::string>>;

/// @brief Lays out rows with aligned columns, each line ended.
[[nodiscard]] std::string layOut(const TextRows& rows);

}

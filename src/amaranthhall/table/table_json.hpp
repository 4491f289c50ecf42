#pragma once

#include "amaranthhall/table/problem.hpp"
#include "amaranthhall/table/rows.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::table {

/// @brief Writes a table as JSON, the form in which it is stored, sent and shown.
[[nodiscard]] std::string encodeTable(const TableImage& image);

/// @brief Reads a table from JSON and says what is wrong with each cell.
[[nodiscard]] tl::expected<TableImage, Problems> readTableJson(std::string_view text);

/// @brief Reads what encodeTable() wrote; gives nothing if the text is malformed.
[[nodiscard]] std::optional<TableImage> decodeTable(std::string_view text);

/// @brief Gives the digest of a table's version and rows, as 64 hexadecimal digits of SHA-256.
[[nodiscard]] std::string digestTable(const TableImage& image);

}

#pragma once

#include "amaranthhall/table/rows.hpp"

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthhall::table {

/// @brief Outcome of writing a cell; the error says what the cell must look like.
using CellResult = tl::expected<void, std::string>;

/// @brief One column of the rows of a kind.
template <typename RowType>
struct Column {
    std::string_view name;
    bool isNumber { false }; ///< JSON shows it as a number.
    bool isRequired { false }; ///< A row without it is refused.
    std::string (*read)(const RowType& row) { nullptr };
    CellResult (*write)(RowType& row, std::string_view text) { nullptr };
};

/// @brief Gives the columns of service rows in the order in which they are shown.
[[nodiscard]] std::span<const Column<ServiceRow>> serviceColumns() noexcept;

/// @brief Gives the columns of upstream rows in the order in which they are shown.
[[nodiscard]] std::span<const Column<UpstreamRow>> upstreamColumns() noexcept;

/// @brief Finds a column by name; gives nullptr if there is none.
template <typename RowType>
[[nodiscard]] const Column<RowType>* findColumn(std::span<const Column<RowType>> columns, std::string_view name) noexcept
{
    for (const auto& column : columns) {
        if (column.name == name)
            return &column;
    }
    return nullptr;
}

/**
 * @brief Says that a column is unknown and names the nearest known one.
 * @param name The unknown name.
 * @param columns The known columns.
 */
template <typename RowType>
[[nodiscard]] std::string explainUnknownColumn(std::string_view name, std::span<const Column<RowType>> columns);

/// @brief Names a service row, such as `service coach-ledger`.
[[nodiscard]] std::string describeRow(const ServiceRow& row);

/// @brief Names an upstream row, such as `upstream coach-ledger/1/a`.
[[nodiscard]] std::string describeRow(const UpstreamRow& row);

}

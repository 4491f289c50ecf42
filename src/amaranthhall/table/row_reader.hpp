#pragma once

#include "amaranthhall/table/columns.hpp"
#include "amaranthhall/table/problem.hpp"

#include <set>

namespace amaranthhall::table::internal {

/// @brief Fills a row cell by cell and collects what is wrong with it.
template <typename RowType>
class RowReader {
public:
    RowReader(std::span<const Column<RowType>> known, std::size_t atLine)
        : columns(known)
        , line(atLine)
    {
    }

    /// @brief Writes a cell.
    void write(std::string_view column, std::string_view text)
    {
        const auto* found = findColumn(this->columns, column);
        if (found == nullptr) {
            this->report(column, explainUnknownColumn(column, this->columns));
            return;
        }
        if (!this->seen.insert(found->name).second) {
            this->report(column, "stands twice");
            return;
        }
        if (const auto written = found->write(this->row, text); !written)
            this->report(column, written.error());
    }

    /// @brief Notes a problem of a cell.
    void report(std::string_view column, std::string text)
    {
        this->problems.push_back({ .line = this->line, .column = std::string(column), .text = std::move(text) });
    }

    /// @brief Ends the row: gives it, and appends its problems with the row named.
    [[nodiscard]] RowType finish(Problems& all)
    {
        for (const auto& column : this->columns) {
            if (column.isRequired && !this->seen.contains(column.name))
                this->report(column.name, "is missing");
        }
        for (auto& problem : this->problems) {
            problem.row = describeRow(this->row);
            all.push_back(std::move(problem));
        }
        return std::move(this->row);
    }

private:
    std::span<const Column<RowType>> columns;
    std::size_t line;
    RowType row;
    std::set<std::string_view> seen;
    Problems problems;
};

}

#include "amaranthhall/table/table_diff.hpp"

#include "amaranthhall/table/columns.hpp"

#include <algorithm>
#include <map>

namespace amaranthhall::table {

namespace {

    template <typename RowType>
    std::map<std::string, const RowType*> indexRows(const std::vector<RowType>& rows)
    {
        std::map<std::string, const RowType*> index;
        for (const auto& row : rows)
            index.emplace(describeRow(row), &row);
        return index;
    }

    template <typename RowType>
    std::string summarize(const RowType& row, std::span<const Column<RowType>> columns)
    {
        std::string text;
        for (const auto& column : columns)
            text += (text.empty() ? "" : " ") + std::string(column.name) + "=" + column.read(row);
        return text;
    }

    template <typename RowType>
    void diffRows(std::vector<Difference>& differences, const std::vector<RowType>& before, const std::vector<RowType>& after, std::span<const Column<RowType>> columns)
    {
        const auto old = indexRows(before);
        const auto fresh = indexRows(after);
        for (const auto& [name, row] : old) {
            if (!fresh.contains(name))
                differences.push_back({ .row = name, .before = summarize(*row, columns) });
        }
        for (const auto& [name, row] : fresh) {
            const auto found = old.find(name);
            if (found == old.end()) {
                differences.push_back({ .row = name, .after = summarize(*row, columns) });
                continue;
            }
            for (const auto& column : columns) {
                auto was = column.read(*found->second);
                auto is = column.read(*row);
                if (was != is)
                    differences.push_back({ .row = name, .column = std::string(column.name), .before = std::move(was), .after = std::move(is) });
            }
        }
    }

    std::string_view serviceOf(std::string_view row)
    {
        row.remove_prefix(row.find(' ') + 1);
        return row.substr(0, row.find('/'));
    }

}

std::vector<Difference> diffTables(const TableImage& before, const TableImage& after)
{
    std::vector<Difference> differences;
    diffRows(differences, before.services, after.services, serviceColumns());
    diffRows(differences, before.upstreams, after.upstreams, upstreamColumns());
    return differences;
}

std::string formatDifference(const Difference& difference)
{
    if (!difference.column.empty())
        return difference.row + ": " + difference.column + ": " + difference.before + " -> " + difference.after;
    if (difference.before.empty())
        return "+ " + difference.row + ": " + difference.after;
    return "- " + difference.row + ": " + difference.before;
}

std::set<std::string, std::less<>> touchedServices(const TableImage& before, const TableImage& after)
{
    std::set<std::string, std::less<>> services;
    for (const auto& difference : diffTables(before, after))
        services.emplace(serviceOf(difference.row));
    return services;
}

}

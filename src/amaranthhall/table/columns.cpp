#include "amaranthhall/table/columns.hpp"

#include "amaranthhall/kernel/duration_text.hpp"
#include "amaranthhall/kernel/nearest_name.hpp"

#include <array>
#include <charconv>

namespace amaranthhall::table {

namespace {

    constexpr auto functionSeparator = ' ';

    template <auto Member, typename RowType>
    std::string readText(const RowType& row)
    {
        return row.*Member;
    }

    template <auto Member, typename RowType>
    CellResult writeText(RowType& row, std::string_view text)
    {
        row.*Member = std::string(text);
        return {};
    }

    template <auto Member, typename RowType>
    std::string readNumber(const RowType& row)
    {
        return std::to_string(row.*Member);
    }

    template <auto Member, typename RowType>
    CellResult writeNumber(RowType& row, std::string_view text)
    {
        std::uint32_t number { 0 };
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return tl::make_unexpected("'" + std::string(text) + "' is not a whole number");
        row.*Member = number;
        return {};
    }

    template <auto Member, typename RowType>
    std::string readSpan(const RowType& row)
    {
        return kernel::formatDuration(row.*Member);
    }

    template <auto Member, typename RowType>
    CellResult writeSpan(RowType& row, std::string_view text)
    {
        const auto duration = kernel::parseDuration(text);
        if (!duration)
            return tl::make_unexpected("'" + std::string(text) + "' is not a duration with its unit, such as 250ms or 5s");
        row.*Member = *duration;
        return {};
    }

    std::string readAcknowledge(const ServiceRow& row)
    {
        return row.acknowledge == Acknowledge::Term ? "term" : "confirmed";
    }

    CellResult writeAcknowledge(ServiceRow& row, std::string_view text)
    {
        if (text != "term" && text != "confirmed")
            return tl::make_unexpected("'" + std::string(text) + "' is neither confirmed nor term");
        row.acknowledge = text == "term" ? Acknowledge::Term : Acknowledge::Confirmed;
        return {};
    }

    std::string readFunctions(const ServiceRow& row)
    {
        std::string text;
        for (const auto& function : row.safeFunctions)
            text += (text.empty() ? "" : std::string(1, functionSeparator)) + function;
        return text;
    }

    CellResult writeFunctions(ServiceRow& row, std::string_view text)
    {
        row.safeFunctions.clear();
        while (!text.empty()) {
            const auto end = std::min(text.find(functionSeparator), text.size());
            if (end > 0)
                row.safeFunctions.emplace_back(text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return {};
    }

    std::string readAddress(const UpstreamRow& row)
    {
        return kernel::formatAddress(row.address);
    }

    CellResult writeAddress(UpstreamRow& row, std::string_view text)
    {
        const auto address = kernel::parseAddress(text);
        if (!address)
            return tl::make_unexpected("'" + std::string(text) + "' is not an IP number with a port, such as 10.0.0.7:5432");
        row.address = *address;
        return {};
    }

    template <std::string group::GroupId::*Member>
    std::string readGroup(const UpstreamRow& row)
    {
        return row.id.group.*Member;
    }

    template <std::string group::GroupId::*Member>
    CellResult writeGroup(UpstreamRow& row, std::string_view text)
    {
        row.id.group.*Member = std::string(text);
        return {};
    }

    std::string readName(const UpstreamRow& row)
    {
        return row.id.name;
    }

    CellResult writeName(UpstreamRow& row, std::string_view text)
    {
        row.id.name = std::string(text);
        return {};
    }

    constexpr std::array services {
        Column<ServiceRow> { "name", false, true, readText<&ServiceRow::name>, writeText<&ServiceRow::name> },
        Column<ServiceRow> { "database", false, true, readText<&ServiceRow::database>, writeText<&ServiceRow::database> },
        Column<ServiceRow> { "max_stale", false, false, readSpan<&ServiceRow::maxStale>, writeSpan<&ServiceRow::maxStale> },
        Column<ServiceRow> { "acknowledge", false, false, readAcknowledge, writeAcknowledge },
        Column<ServiceRow> { "statement_deadline", false, false, readSpan<&ServiceRow::statementDeadline>, writeSpan<&ServiceRow::statementDeadline> },
        Column<ServiceRow> { "queue_deadline", false, false, readSpan<&ServiceRow::queueDeadline>, writeSpan<&ServiceRow::queueDeadline> },
        Column<ServiceRow> { "queue_limit", true, false, readNumber<&ServiceRow::queueLimit>, writeNumber<&ServiceRow::queueLimit> },
        Column<ServiceRow> { "caller_limit", true, false, readNumber<&ServiceRow::callerLimit>, writeNumber<&ServiceRow::callerLimit> },
        Column<ServiceRow> { "safe_functions", false, false, readFunctions, writeFunctions },
    };

    constexpr std::array upstreams {
        Column<UpstreamRow> { "service", false, true, readGroup<&group::GroupId::service>, writeGroup<&group::GroupId::service> },
        Column<UpstreamRow> { "instance", false, true, readGroup<&group::GroupId::instance>, writeGroup<&group::GroupId::instance> },
        Column<UpstreamRow> { "name", false, true, readName, writeName },
        Column<UpstreamRow> { "address", false, true, readAddress, writeAddress },
        Column<UpstreamRow> { "zone", false, true, readText<&UpstreamRow::zone>, writeText<&UpstreamRow::zone> },
        Column<UpstreamRow> { "weight", true, false, readNumber<&UpstreamRow::weight>, writeNumber<&UpstreamRow::weight> },
        Column<UpstreamRow> { "connection_limit", true, false, readNumber<&UpstreamRow::connectionLimit>, writeNumber<&UpstreamRow::connectionLimit> },
        Column<UpstreamRow> { "slots", true, false, readNumber<&UpstreamRow::slots>, writeNumber<&UpstreamRow::slots> },
    };

}

std::span<const Column<ServiceRow>> serviceColumns() noexcept
{
    return services;
}

std::span<const Column<UpstreamRow>> upstreamColumns() noexcept
{
    return upstreams;
}

template <typename RowType>
std::string explainUnknownColumn(std::string_view name, std::span<const Column<RowType>> columns)
{
    std::vector<std::string_view> known;
    for (const auto& column : columns)
        known.push_back(column.name);
    return "there is no such column; did you mean " + std::string(kernel::nearestName(name, known)) + "?";
}

template std::string explainUnknownColumn(std::string_view, std::span<const Column<ServiceRow>>);
template std::string explainUnknownColumn(std::string_view, std::span<const Column<UpstreamRow>>);

std::string describeRow(const ServiceRow& row)
{
    return "service " + row.name;
}

std::string describeRow(const UpstreamRow& row)
{
    return "upstream " + row.id.group.service + "/" + row.id.group.instance + "/" + row.id.name;
}

}

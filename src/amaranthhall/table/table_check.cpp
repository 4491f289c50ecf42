#include "amaranthhall/table/table_check.hpp"

#include "amaranthhall/kernel/duration_text.hpp"
#include "amaranthhall/table/columns.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace amaranthhall::table {

namespace {

    using namespace std::chrono_literals;
    using Millis = std::chrono::milliseconds;

    constexpr std::size_t longestName = 63; // PostgreSQL cuts longer database names
    constexpr Millis longestStale = 1h;
    constexpr Millis shortestDeadline = 10ms;
    constexpr Millis longestDeadline = 10min;
    constexpr std::uint32_t highestQueueLimit = 1'000'000;
    constexpr std::uint32_t highestCallerLimit = 100'000;
    constexpr std::uint32_t highestWeight = 10'000;
    constexpr std::uint32_t highestConnectionLimit = 100'000;
    constexpr std::uint32_t highestSlots = 16;
    constexpr std::size_t smallestGroup = 2; // a write needs a second upstream that confirms it

    class Checker {
    public:
        template <typename RowType>
        void report(const RowType& row, std::string_view column, std::string text)
        {
            this->problems.push_back({ .row = describeRow(row), .column = std::string(column), .text = std::move(text) });
        }

        template <typename RowType>
        void checkName(const RowType& row, std::string_view column, std::string_view name)
        {
            const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_'; };
            if (name.empty())
                this->report(row, column, "is empty");
            else if (name.size() > longestName || !std::all_of(name.begin(), name.end(), allowed))
                this->report(row, column, "'" + std::string(name) + "' must be 1 to 63 of a-z, 0-9, '-' and '_'");
        }

        template <typename RowType>
        void checkNumber(const RowType& row, std::string_view column, std::uint32_t number, std::uint32_t lowest, std::uint32_t highest)
        {
            if (number < lowest || number > highest)
                this->report(row, column, std::to_string(number) + " is not within " + std::to_string(lowest) + " to " + std::to_string(highest));
        }

        template <typename RowType>
        void checkSpan(const RowType& row, std::string_view column, Millis span, Millis lowest, Millis highest)
        {
            if (span < lowest || span > highest)
                this->report(row, column, kernel::formatDuration(span) + " is not within " + kernel::formatDuration(lowest) + " to " + kernel::formatDuration(highest));
        }

        Problems problems;
    };

    void checkService(Checker& checker, const ServiceRow& row)
    {
        checker.checkName(row, "name", row.name);
        checker.checkName(row, "database", row.database);
        checker.checkSpan(row, "max_stale", row.maxStale, 0ms, longestStale);
        checker.checkSpan(row, "statement_deadline", row.statementDeadline, shortestDeadline, longestDeadline);
        checker.checkSpan(row, "queue_deadline", row.queueDeadline, 1ms, longestDeadline);
        if (row.queueDeadline > row.statementDeadline)
            checker.report(row, "queue_deadline", "is longer than statement_deadline");
        checker.checkNumber(row, "queue_limit", row.queueLimit, 1, highestQueueLimit);
        checker.checkNumber(row, "caller_limit", row.callerLimit, 1, highestCallerLimit);
        for (const auto& function : row.safeFunctions)
            checker.checkName(row, "safe_functions", function);
    }

    void checkUpstream(Checker& checker, const TableImage& image, const UpstreamRow& row)
    {
        checker.checkName(row, "service", row.id.group.service);
        checker.checkName(row, "instance", row.id.group.instance);
        checker.checkName(row, "name", row.id.name);
        checker.checkName(row, "zone", row.zone);
        if (findService(image, row.id.group.service) == nullptr)
            checker.report(row, "service", "there is no service " + row.id.group.service);
        if (row.address.port == 0)
            checker.report(row, "address", "has no port");
        checker.checkNumber(row, "weight", row.weight, 0, highestWeight);
        checker.checkNumber(row, "connection_limit", row.connectionLimit, 1, highestConnectionLimit);
        checker.checkNumber(row, "slots", row.slots, 1, highestSlots);
    }

    void checkDuplicates(Checker& checker, const TableImage& image)
    {
        std::set<std::string> names;
        for (const auto& row : image.services) {
            if (!names.insert(describeRow(row)).second)
                checker.report(row, "name", "stands twice");
        }
        std::map<kernel::Address, std::string> addresses;
        for (const auto& row : image.upstreams) {
            if (!names.insert(describeRow(row)).second)
                checker.report(row, "name", "stands twice");
            else if (const auto [other, added] = addresses.emplace(row.address, describeRow(row)); !added)
                checker.report(row, "address", "is that of " + other->second + " too");
        }
    }

    void checkGroup(Checker& checker, const TableImage& image, const group::GroupId& id)
    {
        std::vector<const UpstreamRow*> rows;
        for (const auto& row : image.upstreams) {
            if (row.id.group == id)
                rows.push_back(&row);
        }
        if (rows.size() < smallestGroup)
            checker.report(*rows.front(), "instance", "the group has one upstream; no other can confirm a write");
        if (std::all_of(rows.begin(), rows.end(), [](const auto* row) { return row->weight == 0; }))
            checker.report(*rows.front(), "weight", "the weights of the group sum to 0; no upstream may serve reads");
        for (const auto* row : rows) {
            if (row->slots + 1 < rows.size())
                checker.report(*row, "slots", std::to_string(row->slots) + " do not do for the " + std::to_string(rows.size() - 1) + " others of the group when it is primary");
        }
    }

}

Problems checkTable(const TableImage& image)
{
    Checker checker;
    for (const auto& row : image.services)
        checkService(checker, row);
    for (const auto& row : image.upstreams)
        checkUpstream(checker, image, row);
    checkDuplicates(checker, image);
    for (const auto& id : listGroups(image))
        checkGroup(checker, image, id);
    return std::move(checker.problems);
}

}

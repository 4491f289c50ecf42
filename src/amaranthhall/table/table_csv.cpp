#include "amaranthhall/table/table_csv.hpp"

#include "amaranthhall/table/columns.hpp"
#include "amaranthhall/table/row_reader.hpp"

#include <algorithm>
#include <optional>

namespace amaranthhall::table {

namespace {

    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF"; // spreadsheets begin a UTF-8 file with it

    using Cells = std::vector<std::string>;

    struct Record {
        std::size_t line { 0 };
        Cells cells;
    };

    /// Splits CSV into records as RFC 4180 has it; a quoted cell may hold commas, quotes and line ends.
    class RecordReader {
    public:
        explicit RecordReader(std::string_view whole)
            : text(whole)
        {
            if (this->text.starts_with(byteOrderMark))
                this->text.remove_prefix(byteOrderMark.size());
        }

        std::optional<Record> next()
        {
            if (this->text.empty())
                return std::nullopt;
            Record record { .line = this->line };
            for (auto more = true; more;)
                more = this->readCell(record.cells);
            return record;
        }

        [[nodiscard]] bool hasOpenQuote() const noexcept { return this->openQuote; }

    private:
        /// Reads a cell; tells whether another follows on the same line.
        bool readCell(Cells& cells)
        {
            std::string cell;
            auto quoted = false;
            while (!this->text.empty()) {
                const auto c = this->text.front();
                this->text.remove_prefix(1);
                if (c == '\n')
                    ++this->line;
                if (quoted && c == '"' && this->text.starts_with('"')) {
                    cell += '"';
                    this->text.remove_prefix(1);
                } else if (c == '"') {
                    quoted = !quoted;
                } else if (!quoted && (c == ',' || c == '\n')) {
                    cells.push_back(std::move(cell));
                    return c == ',';
                } else if (quoted || c != '\r') {
                    cell += c;
                }
            }
            this->openQuote = quoted;
            cells.push_back(std::move(cell));
            return false;
        }

        std::string_view text;
        std::size_t line { 1 };
        bool openQuote { false };
    };

    std::string quoteCell(const std::string& cell)
    {
        if (cell.find_first_of(",\"\r\n") == std::string::npos)
            return cell;
        std::string quoted = "\"";
        for (const auto c : cell)
            quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
        return quoted + '"';
    }

    template <typename RowType>
    void writeSection(std::string& text, std::string_view kind, std::span<const RowType> rows, std::span<const Column<RowType>> columns)
    {
        text += "kind";
        for (const auto& column : columns)
            text += "," + std::string(column.name);
        text += "\n";
        for (const auto& row : rows) {
            text += kind;
            for (const auto& column : columns)
                text += "," + quoteCell(column.read(row));
            text += "\n";
        }
    }

    template <typename RowType>
    RowType readRow(const Record& record, const Cells& header, std::span<const Column<RowType>> columns, Problems& problems)
    {
        internal::RowReader<RowType> reader(columns, record.line);
        for (std::size_t i = 1; i < record.cells.size(); ++i) {
            const auto& cell = record.cells[i];
            if (i < header.size() && !header[i].empty() && !cell.empty())
                reader.write(header[i], cell);
            else if (i >= header.size() && !cell.empty())
                reader.report("", "cell " + std::to_string(i + 1) + " '" + cell + "' stands below no column name");
        }
        return reader.finish(problems);
    }

    bool isBlank(const Cells& cells)
    {
        return std::all_of(cells.begin(), cells.end(), [](const auto& cell) { return cell.empty(); });
    }

}

std::string writeTableCsv(const TableImage& image)
{
    std::string text;
    writeSection<ServiceRow>(text, "service", image.services, serviceColumns());
    writeSection<UpstreamRow>(text, "upstream", image.upstreams, upstreamColumns());
    return text;
}

tl::expected<TableImage, Problems> readTableCsv(std::string_view text)
{
    TableImage image;
    Problems problems;
    Cells header;
    RecordReader reader(text);
    while (const auto record = reader.next()) {
        const auto& kind = record->cells.front();
        if (isBlank(record->cells))
            continue;
        if (kind == "kind")
            header = record->cells;
        else if (header.empty())
            problems.push_back({ .line = record->line, .text = "a line that begins with kind and names the columns must come first" });
        else if (kind == "service")
            image.services.push_back(readRow(*record, header, serviceColumns(), problems));
        else if (kind == "upstream")
            image.upstreams.push_back(readRow(*record, header, upstreamColumns(), problems));
        else
            problems.push_back({ .line = record->line, .column = "kind", .text = "'" + kind + "' is neither service nor upstream" });
    }
    if (reader.hasOpenQuote())
        problems.push_back({ .text = "a quoted cell does not end" });
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return image;
}

}

#include "amaranthhall/ctl/commands.hpp"
#include "amaranthhall/ctl/text_table.hpp"
#include "amaranthhall/table/columns.hpp"
#include "amaranthhall/table/table_check.hpp"
#include "amaranthhall/table/table_csv.hpp"
#include "amaranthhall/table/table_diff.hpp"
#include "amaranthhall/table/table_json.hpp"

#include <algorithm>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>

namespace amaranthhall::ctl {

namespace {

    using Json = nlohmann::json;
    using table::TableImage;

    std::string makeEditId()
    {
        std::random_device source;
        std::ostringstream text;
        text << std::hex << source() << "-" << source();
        return text.str();
    }

    /// Reads the table in force from a daemon; tells the operator why not.
    std::optional<TableImage> readInForce(Invocation& invocation, ExitCode& code)
    {
        const auto answer = invocation.daemons.ask("GET", "/v1/table");
        if (!answer) {
            code = reportUnreachable(invocation, answer.error());
            return std::nullopt;
        }
        auto image = table::decodeTable(answer->body.value("table", Json()).dump());
        if (!image) {
            invocation.errors << "amaranthctl: the daemon's table cannot be read; is it of another version?\n";
            code = ExitCode::Refused;
        }
        return image;
    }

    std::optional<TableImage> readFile(Invocation& invocation, const std::string& file)
    {
        const std::ifstream stream(file);
        if (!stream) {
            invocation.errors << "amaranthctl: " << file << " cannot be read\n";
            return std::nullopt;
        }
        std::ostringstream text;
        text << stream.rdbuf();
        auto image = file.ends_with(".json") ? table::readTableJson(text.str()) : table::readTableCsv(text.str());
        if (!image) {
            invocation.errors << "refused: " << file << " is not correct; nothing was applied\n"
                              << table::formatProblems(image.error()) << "\n";
            return std::nullopt;
        }
        return *std::move(image);
    }

    bool passesChecks(Invocation& invocation, const TableImage& image)
    {
        const auto problems = table::checkTable(image);
        if (problems.empty())
            return true;
        invocation.errors << "refused: the table does not pass the checks; nothing was applied\n"
                          << table::formatProblems(problems) << "\n";
        return false;
    }

    void showUnknown(Invocation& invocation, const std::string& editId, const std::string& reason)
    {
        invocation.output << "unknown: " << reason << "\n"
                          << "to find out, run the same command again with --edit-id " << editId << " (through any daemon), or amaranthctl table history\n";
    }

    ExitCode exitCodeOf(std::string_view outcome)
    {
        if (outcome == "in_force")
            return ExitCode::Done;
        return outcome == "refused" ? ExitCode::Refused : ExitCode::Unknown;
    }

    void showRefused(Invocation& invocation, const Json& body)
    {
        invocation.output << "refused: " << body.value("reason", "") << "; nothing was applied\n";
        for (const auto& problem : body.value("problems", Json::array()))
            invocation.output << "  " << table::formatProblem({ .row = problem.value("row", ""), .column = problem.value("column", ""), .text = problem.value("problem", "") }) << "\n";
        const auto differences = body.value("differences", Json::array());
        if (!differences.empty())
            invocation.output << "your table differs from the one in force or under way in:\n";
        for (const auto& difference : differences)
            invocation.output << "  " << difference.value("text", "") << "\n";
    }

    void showInForce(Invocation& invocation, const Json& body)
    {
        const auto reason = body.value("reason", "");
        invocation.output << "in force everywhere: version " << body.value("version", 0) << (reason.empty() ? "" : " (" + reason + ")") << "\n";
        for (const auto& daemon : body.value("not_reached", Json::array()))
            invocation.output << "  " << daemon.get<std::string>() << " has not answered and takes no new work of the changed services until it has this version\n";
    }

    ExitCode sendEdit(Invocation& invocation, const TableImage& image, table::Version expected)
    {
        if (!passesChecks(invocation, image))
            return ExitCode::Refused;
        const auto editId = invocation.options.count("edit-id") != 0 ? invocation.options["edit-id"].as<std::string>() : makeEditId();
        const Json edit { { "edit_id", editId }, { "expect_version", expected }, { "table", Json::parse(table::encodeTable(image)) } };
        const auto answer = invocation.daemons.ask("POST", "/v1/table/edit", {}, edit.dump());
        if (!answer && !answer.error().wasSent)
            return reportUnreachable(invocation, answer.error());
        const auto body = answer ? answer->body : Json { { "outcome", "unknown" }, { "reason", answer.error().text }, { "edit_id", editId } };
        const auto outcome = body.value("outcome", "unknown");
        if (invocation.json)
            invocation.output << body.dump(2) << "\n";
        else if (outcome == "in_force")
            showInForce(invocation, body);
        else if (outcome == "refused")
            showRefused(invocation, body);
        else
            showUnknown(invocation, editId, body.value("reason", ""));
        return exitCodeOf(outcome);
    }

    template <typename RowType>
    TextRows toRows(const std::vector<RowType>& rows, std::span<const table::Column<RowType>> columns)
    {
        TextRows text(1);
        for (const auto& column : columns)
            text.front().emplace_back(column.name);
        for (const auto& row : rows) {
            auto& cells = text.emplace_back();
            for (const auto& column : columns) {
                auto cell = column.read(row);
                cells.push_back(cell.empty() ? "-" : std::move(cell));
            }
        }
        return text;
    }

    /// Writes one `COLUMN=VALUE` into a row; tells the operator what is wrong.
    template <typename RowType>
    bool setCell(Invocation& invocation, RowType& row, std::span<const table::Column<RowType>> columns, std::string_view assignment)
    {
        const auto equals = assignment.find('=');
        const auto name = assignment.substr(0, equals);
        const auto* column = table::findColumn(columns, name);
        std::string problem;
        if (equals == std::string_view::npos)
            problem = "write COLUMN=VALUE, such as " + std::string(name) + "=5";
        else if (column == nullptr)
            problem = table::explainUnknownColumn(name, columns);
        else if (const auto written = column->write(row, assignment.substr(equals + 1)); !written)
            problem = written.error();
        if (problem.empty())
            return true;
        invocation.errors << "refused: " << table::describeRow(row) << ": " << name << ": " << problem << "; nothing was applied\n";
        return false;
    }

    template <typename RowType>
    bool setRow(Invocation& invocation, std::vector<RowType>& rows, std::span<const table::Column<RowType>> columns)
    {
        const auto name = invocation.words[0] + " " + invocation.words[1];
        const auto row = std::find_if(rows.begin(), rows.end(), [&](const auto& candidate) { return table::describeRow(candidate) == name; });
        if (row == rows.end()) {
            invocation.errors << "refused: there is no " << name << " in the table; nothing was applied\n";
            return false;
        }
        return std::all_of(invocation.words.begin() + 2, invocation.words.end(), [&](const auto& assignment) { return setCell(invocation, *row, columns, assignment); });
    }

    ExitCode rejectUsage(Invocation& invocation, std::string_view text)
    {
        invocation.errors << "amaranthctl: " << text << "\n";
        return ExitCode::Usage;
    }

    void showVersion(Invocation& invocation, const Json& version, const Json* before)
    {
        invocation.output << "version " << version.value("version", 0) << "  " << version.value("at", "") << "  edit " << version.value("edit_id", "") << " through " << version.value("editor", "") << "\n";
        const auto after = table::decodeTable(version.at("table").dump());
        const auto earlier = before == nullptr ? TableImage {} : table::decodeTable(before->at("table").dump()).value_or(TableImage {});
        if (!after || (before == nullptr && after->version > 1))
            return;
        for (const auto& difference : table::diffTables(earlier, *after))
            invocation.output << "  " << table::formatDifference(difference) << "\n";
    }

}

ExitCode reportUnreachable(Invocation& invocation, const ClientError& error)
{
    invocation.errors << "amaranthctl: " << error.text << "\n";
    return ExitCode::Unreachable;
}

ExitCode showTable(Invocation& invocation)
{
    auto code = ExitCode::Done;
    const auto image = readInForce(invocation, code);
    if (!image)
        return code;
    const auto format = invocation.json ? "json" : invocation.options["format"].as<std::string>();
    if (format == "csv")
        invocation.output << table::writeTableCsv(*image);
    else if (format == "json")
        invocation.output << nlohmann::ordered_json::parse(table::encodeTable(*image)).dump(2) << "\n";
    else if (format == "table")
        invocation.output << "version " << image->version << "\n\n"
                          << layOut(toRows(image->services, table::serviceColumns())) << "\n"
                          << layOut(toRows(image->upstreams, table::upstreamColumns()));
    else
        return rejectUsage(invocation, "--format must be table, csv or json");
    return ExitCode::Done;
}

ExitCode applyTable(Invocation& invocation)
{
    if (invocation.words.size() != 1 || invocation.options.count("expect-version") == 0)
        return rejectUsage(invocation, "write: amaranthctl table apply FILE --expect-version N, where N is the version that `table show` told");
    const auto image = readFile(invocation, invocation.words.front());
    return image ? sendEdit(invocation, *image, invocation.options["expect-version"].as<std::uint64_t>()) : ExitCode::Refused;
}

ExitCode setCells(Invocation& invocation)
{
    const auto isComplete = invocation.words.size() >= 3 && (invocation.words[0] == "service" || invocation.words[0] == "upstream");
    if (!isComplete)
        return rejectUsage(invocation, "write: amaranthctl table set service NAME COLUMN=VALUE... or table set upstream SERVICE/INSTANCE/NAME COLUMN=VALUE...");
    auto code = ExitCode::Done;
    auto image = readInForce(invocation, code);
    if (!image)
        return code;
    const auto isSet = invocation.words[0] == "service" ? setRow(invocation, image->services, table::serviceColumns()) : setRow(invocation, image->upstreams, table::upstreamColumns());
    return isSet ? sendEdit(invocation, *image, image->version) : ExitCode::Refused;
}

ExitCode diffTable(Invocation& invocation)
{
    if (invocation.words.size() != 1)
        return rejectUsage(invocation, "write: amaranthctl table diff FILE");
    const auto wanted = readFile(invocation, invocation.words.front());
    if (!wanted)
        return ExitCode::Refused;
    auto code = ExitCode::Done;
    const auto image = readInForce(invocation, code);
    if (!image)
        return code;
    const auto differences = table::diffTables(*image, *wanted);
    auto json = Json::array();
    for (const auto& difference : differences)
        json.push_back({ { "row", difference.row }, { "column", difference.column }, { "before", difference.before }, { "after", difference.after } });
    if (invocation.json)
        invocation.output << Json { { "version", image->version }, { "differences", json } }.dump(2) << "\n";
    else
        invocation.output << "version " << image->version << " is in force; " << (differences.empty() ? "nothing differs" : "the file changes:") << "\n";
    for (const auto& difference : differences) {
        if (!invocation.json)
            invocation.output << "  " << table::formatDifference(difference) << "\n";
    }
    return differences.empty() ? ExitCode::Done : ExitCode::Attention;
}

ExitCode showHistory(Invocation& invocation)
{
    const auto limit = invocation.options["limit"].as<std::uint32_t>();
    const auto answer = invocation.daemons.ask("GET", "/v1/table/history", "limit=" + std::to_string(limit + 1));
    if (!answer)
        return reportUnreachable(invocation, answer.error());
    const auto versions = answer->body.value("versions", Json::array());
    if (invocation.json) {
        invocation.output << answer->body.dump(2) << "\n";
        return ExitCode::Done;
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(versions.size(), limit); ++i)
        showVersion(invocation, versions[i], i + 1 < versions.size() ? &versions[i + 1] : nullptr);
    if (answer->body.contains("ends_because"))
        invocation.output << "older versions are not shown: " << answer->body.value("ends_because", "") << "\n";
    return ExitCode::Done;
}

ExitCode showCompletion(Invocation& invocation)
{
    invocation.output << bashCompletion();
    return ExitCode::Done;
}

}

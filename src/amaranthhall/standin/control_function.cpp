#include "amaranthhall/standin/control_function.hpp"

#include <charconv>
#include <regex>

namespace amaranthhall::standin {

namespace {

    constexpr std::string_view confirmFunction = "ah_confirm";
    constexpr std::string_view waitAppliedFunction = "ah_wait_applied";

    bool isWait(const ControlCall& call)
    {
        return call.function == confirmFunction || call.function == waitAppliedFunction;
    }

    std::string trim(std::string text)
    {
        const auto isOuter = [](char letter) { return letter == ' ' || letter == '\n' || letter == '\t' || letter == '\''; };
        while (!text.empty() && isOuter(text.back()))
            text.pop_back();
        std::size_t begin = 0;
        while (begin < text.size() && isOuter(text[begin]))
            ++begin;
        return text.substr(begin);
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> items;
        std::size_t begin = 0;
        while (begin <= text.size()) {
            const auto comma = std::min(text.find(',', begin), text.size());
            if (auto item = trim(text.substr(begin, comma - begin)); !item.empty())
                items.push_back(std::move(item));
            begin = comma + 1;
        }
        return items;
    }

    std::uint64_t number(const ControlCall& call, std::size_t index)
    {
        std::uint64_t value = 0;
        if (index < call.arguments.size())
            std::from_chars(call.arguments[index].data(), call.arguments[index].data() + call.arguments[index].size(), value);
        return value;
    }

    struct Cell {
        std::string column;
        std::string value;
    };

    SqlResult selectCells(const ControlCall& call, const std::vector<Cell>& cells)
    {
        SqlResult result { .tag = "SELECT 1" };
        result.rows.emplace_back();
        const bool isAll = call.columns.size() == 1 && call.columns.front() == "*";
        const auto add = [&](const Cell& cell) {
            result.columns.push_back({ .name = cell.column });
            result.rows.front().emplace_back(cell.value);
        };
        if (isAll) {
            for (const auto& cell : cells)
                add(cell);
            return result;
        }
        for (const auto& wanted : call.columns) {
            for (const auto& cell : cells) {
                if (cell.column == wanted)
                    add(cell);
            }
        }
        return result;
    }

    std::vector<Cell> statusCells(const UpstreamServer& server)
    {
        const auto status = server.status();
        return {
            { "role", status.role == group::Role::Primary ? "primary" : "replica" },
            { "term", std::to_string(status.term) },
            { "record_term", std::to_string(status.last.term) },
            { "position", std::to_string(status.last.position) },
            { "applied", std::to_string(status.applied) },
            { "leaving", status.isDraining ? "1" : "0" },
            { "feed_age", std::to_string(server.feedAge().count()) },
        };
    }

    std::vector<Cell> withOutcome(std::string_view column, bool outcome, const UpstreamServer& server)
    {
        std::vector<Cell> cells { { std::string(column), outcome ? "1" : "0" } };
        const auto rest = statusCells(server);
        cells.insert(cells.end(), rest.begin(), rest.end());
        return cells;
    }

    /// Waits until the log, or what reads show of it, has come to a position in a term.
    std::optional<ControlResult> tryReach(UpstreamServer& server, const ControlCall& call, bool isLast)
    {
        const auto status = server.status();
        const auto term = number(call, 0);
        const auto position = number(call, 1);
        const bool isShown = call.function != waitAppliedFunction || status.applied >= position;
        const bool isReached = isShown && server.log().confirms(term, position);
        const bool isHopeless = status.term > term;
        if (!isReached && !isHopeless && !isLast)
            return std::nullopt;
        return selectCells(call, withOutcome("reached", isReached, server));
    }

}

std::optional<ControlCall> parseControlCall(std::string_view text)
{
    static const std::regex pattern(R"(^\s*SELECT\s+([\s\S]*?)\s+FROM\s+((?:ah|standin)_\w+)\s*\(([^)]*)\)\s*;?\s*$)", std::regex::icase);
    if (text.find("ah_") == std::string_view::npos && text.find("standin_") == std::string_view::npos)
        return std::nullopt;
    std::match_results<std::string_view::const_iterator> match;
    if (!std::regex_match(text.begin(), text.end(), match, pattern))
        return std::nullopt;
    return ControlCall { .function = match[2].str(), .arguments = splitList(match[3].str()), .columns = splitList(match[1].str()) };
}

std::chrono::milliseconds waitLimit(const ControlCall& call)
{
    return std::chrono::milliseconds(isWait(call) ? number(call, 2) : 0);
}

std::optional<ControlResult> tryControlCall(UpstreamServer& server, const ControlCall& call, bool isLast)
{
    if (call.function == "ah_status")
        return selectCells(call, statusCells(server));
    if (isWait(call))
        return tryReach(server, call, isLast);
    if (call.function == "ah_fence") {
        const bool accepted = server.fence(number(call, 0));
        return selectCells(call, withOutcome("accepted", accepted, server));
    }
    if (call.function == "ah_promote") {
        const bool promoted = server.promote(number(call, 0));
        return selectCells(call, withOutcome("promoted", promoted, server));
    }
    if (call.function == "ah_release") {
        const auto released = server.release("amaranthhall/" + (call.arguments.empty() ? "" : call.arguments.front()));
        return selectCells(call, { { "released", std::to_string(released) } });
    }
    if (call.function == "standin_lag") {
        server.setLag({ .feed = std::chrono::milliseconds(number(call, 0)), .apply = std::chrono::milliseconds(number(call, 1)) });
        return selectCells(call, { { "ok", "1" } });
    }
    if (call.function == "standin_connections") {
        const auto count = server.connections().count(call.arguments.empty() ? "" : call.arguments.front());
        return selectCells(call, { { "open", std::to_string(count.open) }, { "most", std::to_string(count.most) } });
    }
    if (call.function == "standin_peers") {
        server.setPeers(call.arguments);
        return selectCells(call, { { "ok", "1" } });
    }
    if (call.function == "standin_leaving") {
        server.setLeaving(number(call, 0) != 0);
        return selectCells(call, { { "ok", "1" } });
    }
    return tl::unexpected(pgwire::makeError("ERROR", "42883", "function " + call.function + " does not exist"));
}

}

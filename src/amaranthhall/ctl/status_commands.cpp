#include "amaranthhall/ctl/commands.hpp"
#include "amaranthhall/ctl/fleet.hpp"
#include "amaranthhall/ctl/text_table.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace amaranthhall::ctl {

namespace {

    using Json = nlohmann::json;

    /// What the operator should look at, with what was asked for.
    struct Findings {
        std::vector<Belief> beliefs;
        std::vector<std::string> attention;
    };

    std::string textOf(const Json& json)
    {
        if (json.is_null())
            return "none";
        return json.is_string() ? json.get<std::string>() : json.dump();
    }

    /// Ends a command: shows what needs attention and gives the exit code.
    ExitCode finish(Invocation& invocation, Findings findings)
    {
        for (auto& line : explainDifferences(findings.beliefs))
            findings.attention.push_back("daemons differ about the " + line);
        for (const auto& line : findings.attention)
            invocation.output << "! " << line << "\n";
        return findings.attention.empty() ? ExitCode::Done : ExitCode::Attention;
    }

    ExitCode showJson(Invocation& invocation, const std::vector<FleetAnswer>& answers)
    {
        auto daemons = Json::array();
        auto code = ExitCode::Done;
        for (const auto& answer : answers) {
            Json daemon { { "vm", answer.vm }, { "zone", answer.zone }, { "state", answer.state } };
            if (answer.result)
                daemon["answer"] = answer.result->body;
            else
                daemon["error"] = answer.result.error().text;
            if (!answer.result)
                code = ExitCode::Attention;
            daemons.push_back(std::move(daemon));
        }
        invocation.output << Json { { "daemons", std::move(daemons) } }.dump(2) << "\n";
        return code;
    }

    /// Asks all daemons; gives nothing and the exit code if that is all there is to do.
    std::optional<std::vector<FleetAnswer>> gather(Invocation& invocation, std::string_view path, ExitCode& code)
    {
        auto answers = askFleet(invocation.daemons, path);
        if (!answers) {
            code = reportUnreachable(invocation, answers.error());
            return std::nullopt;
        }
        if (!invocation.json)
            return *std::move(answers);
        code = showJson(invocation, *answers);
        return std::nullopt;
    }

    void noteSilent(Findings& findings, const FleetAnswer& answer)
    {
        if (!answer.result)
            findings.attention.push_back(answer.vm + " (" + answer.zone + ", " + answer.state + "): " + answer.result.error().text);
        else if (answer.result->status != 200)
            findings.attention.push_back(answer.vm + ": " + answer.result->body.value("error", "answers with status " + std::to_string(answer.result->status)));
    }

    bool hasAnswered(const FleetAnswer& answer)
    {
        return answer.result && answer.result->status == 200;
    }

    std::string joinReasons(const Json& status)
    {
        std::string text;
        for (const auto& reason : status.value("not_ready_because", Json::array()))
            text += (text.empty() ? "" : "; ") + reason.get<std::string>();
        return text;
    }

    void noteStatus(Findings& findings, TextRows& rows, const FleetAnswer& answer)
    {
        const auto& status = answer.result->body;
        const auto table = status.value("table", Json::object());
        const auto version = std::to_string(table.value("version", 0));
        const auto reasons = joinReasons(status);
        rows.push_back({ answer.vm, answer.zone, answer.state, reasons.empty() ? "yes" : "no", version, std::to_string(status.value("uptime_s", 0)) + "s" });
        addBelief(findings.beliefs, "table version", version, answer.vm);
        if (!reasons.empty())
            findings.attention.push_back(answer.vm + " is not ready: " + reasons);
    }

    void noteGroup(Findings& findings, const Json& group, const std::string& vm)
    {
        const auto name = group.value("group", "");
        addBelief(findings.beliefs, "term of " + name, textOf(group.value("term", Json())), vm);
        addBelief(findings.beliefs, "primary of " + name, textOf(group.value("primary", Json())), vm);
        for (const auto& upstream : group.value("upstreams", Json::array())) {
            const auto reach = upstream.value("reach", "");
            if (reach != "unknown")
                addBelief(findings.beliefs, "reach of " + name + "/" + upstream.value("name", ""), reach, vm);
        }
    }

    /// Gives the value that most daemons believe.
    std::string majorityOf(const std::vector<Belief>& beliefs, std::string_view subject)
    {
        const Belief* best = nullptr;
        for (const auto& belief : beliefs) {
            if (belief.subject == subject && (best == nullptr || belief.holders.size() > best->holders.size()))
                best = &belief;
        }
        return best == nullptr ? "unknown" : best->value;
    }

    Findings gatherGroups(const std::vector<FleetAnswer>& answers)
    {
        Findings findings;
        for (const auto& answer : answers) {
            noteSilent(findings, answer);
            if (!hasAnswered(answer))
                continue;
            for (const auto& group : answer.result->body.value("groups", Json::array()))
                noteGroup(findings, group, answer.vm);
        }
        return findings;
    }

    /// Gives the groups of the first daemon that answered, for their names and upstreams.
    Json firstGroups(const std::vector<FleetAnswer>& answers)
    {
        const auto found = std::find_if(answers.begin(), answers.end(), hasAnswered);
        return found == answers.end() ? Json::array() : found->result->body.value("groups", Json::array());
    }

    void noteUnservable(Findings& findings, const std::string& group)
    {
        if (majorityOf(findings.beliefs, "primary of " + group) == "none")
            findings.attention.push_back(group + " has no primary as most daemons believe; writes wait or are refused");
    }

}

ExitCode showStatus(Invocation& invocation)
{
    auto code = ExitCode::Done;
    const auto answers = gather(invocation, "/v1/status", code);
    if (!answers)
        return code;
    Findings findings;
    TextRows rows { { "vm", "zone", "state", "ready", "table", "uptime" } };
    for (const auto& answer : *answers) {
        noteSilent(findings, answer);
        if (hasAnswered(answer))
            noteStatus(findings, rows, answer);
    }
    invocation.output << layOut(rows);
    return finish(invocation, std::move(findings));
}

ExitCode showInstances(Invocation& invocation)
{
    auto code = ExitCode::Done;
    const auto answers = gather(invocation, "/v1/groups", code);
    if (!answers)
        return code;
    auto findings = gatherGroups(*answers);
    TextRows rows { { "instance", "upstream", "role", "reach", "address", "zone" } };
    for (const auto& group : firstGroups(*answers)) {
        const auto name = group.value("group", "");
        const auto primary = majorityOf(findings.beliefs, "primary of " + name);
        for (const auto& upstream : group.value("upstreams", Json::array())) {
            const auto upstreamName = upstream.value("name", "");
            rows.push_back({ name, upstreamName, upstreamName == primary ? "primary" : "replica", majorityOf(findings.beliefs, "reach of " + name + "/" + upstreamName), upstream.value("address", ""), upstream.value("zone", "") });
        }
        noteUnservable(findings, name);
    }
    invocation.output << layOut(rows);
    return finish(invocation, std::move(findings));
}

ExitCode showGroups(Invocation& invocation)
{
    auto code = ExitCode::Done;
    const auto answers = gather(invocation, "/v1/groups", code);
    if (!answers)
        return code;
    auto findings = gatherGroups(*answers);
    TextRows rows { { "group", "vm", "term", "primary", "positions" } };
    for (const auto& answer : *answers) {
        if (!hasAnswered(answer))
            continue;
        for (const auto& group : answer.result->body.value("groups", Json::array())) {
            std::string positions;
            for (const auto& upstream : group.value("upstreams", Json::array()))
                positions += (positions.empty() ? "" : " ") + upstream.value("name", "") + "=" + textOf(upstream.value("position", Json())) + (upstream.value("reach", "") == "up" ? "" : "(" + upstream.value("reach", "") + ")");
            rows.push_back({ group.value("group", ""), answer.vm, textOf(group.value("term", Json())), textOf(group.value("primary", Json())), positions });
        }
    }
    std::stable_sort(rows.begin() + 1, rows.end(), [](const auto& left, const auto& right) { return left[0] < right[0]; });
    for (const auto& group : firstGroups(*answers))
        noteUnservable(findings, group.value("group", ""));
    invocation.output << layOut(rows);
    return finish(invocation, std::move(findings));
}

ExitCode showShares(Invocation& invocation)
{
    auto code = ExitCode::Done;
    const auto answers = gather(invocation, "/v1/shares", code);
    if (!answers)
        return code;
    Findings findings;
    TextRows rows { { "upstream", "vm", "allowance", "limit" } };
    std::map<std::string, std::uint64_t> sums;
    std::map<std::string, std::uint64_t> limits;
    for (const auto& answer : *answers) {
        noteSilent(findings, answer);
        if (!hasAnswered(answer))
            continue;
        for (const auto& share : answer.result->body.value("shares", Json::array())) {
            const auto upstream = share.value("upstream", "");
            const auto allowance = share.value("allowance", std::uint64_t { 0 });
            sums[upstream] += allowance;
            limits[upstream] = share.value("limit", std::uint64_t { 0 });
            rows.push_back({ upstream, answer.vm, std::to_string(allowance), std::to_string(limits[upstream]) });
        }
    }
    std::stable_sort(rows.begin() + 1, rows.end(), [](const auto& left, const auto& right) { return left[0] < right[0]; });
    for (const auto& [upstream, sum] : sums) {
        if (sum > limits[upstream])
            findings.attention.push_back("the shares of " + upstream + " summed to " + std::to_string(sum) + " of " + std::to_string(limits[upstream]) + " while they were read; shares move between the answers, so ask again before acting");
    }
    invocation.output << layOut(rows);
    return finish(invocation, std::move(findings));
}

}

#include "amaranthhall/table/io/table_routes.hpp"

#include "amaranthhall/admin/admin_server.hpp"
#include "amaranthhall/table/table_check.hpp"
#include "amaranthhall/table/table_json.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace amaranthhall::table {

namespace {

    using Json = nlohmann::json;
    using Millis = std::chrono::milliseconds;

    constexpr std::size_t longestHistory = 100;
    constexpr std::size_t usualHistory = 10;
    constexpr std::size_t longestEditId = 64;

    Json describeProblems(const Problems& problems)
    {
        auto described = Json::array();
        for (const auto& problem : problems)
            described.push_back({ { "row", problem.row }, { "column", problem.column }, { "problem", problem.text } });
        return described;
    }

    Json describeDifferences(const std::vector<Difference>& differences)
    {
        auto described = Json::array();
        for (const auto& difference : differences)
            described.push_back({ { "row", difference.row }, { "column", difference.column }, { "before", difference.before }, { "after", difference.after }, { "text", formatDifference(difference) } });
        return described;
    }

    http::Response refuse(int status, const std::string& reason, const Problems& problems = {})
    {
        return admin::makeJsonResponse(status, { { "outcome", "refused" }, { "reason", reason }, { "problems", describeProblems(problems) } });
    }

    http::Response makeResponse(const EditResult& result, const std::string& editId)
    {
        Json body {
            { "version", result.version },
            { "edit_id", editId },
            { "reason", result.reason },
            { "differences", describeDifferences(result.differences) },
            { "not_reached", result.notReached },
        };
        switch (result.outcome) {
        case EditOutcome::InForce:
            body["outcome"] = "in_force";
            return admin::makeJsonResponse(200, body);
        case EditOutcome::Refused:
            body["outcome"] = "refused";
            return admin::makeJsonResponse(409, body);
        case EditOutcome::Unknown:
            break;
        }
        body["outcome"] = "unknown";
        return admin::makeJsonResponse(202, body);
    }

    bool isEditId(std::string_view id)
    {
        const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
        return !id.empty() && id.size() <= longestEditId && std::all_of(id.begin(), id.end(), allowed);
    }

    void serveEdit(TableService& service, const http::Request& request, const http::Reply& reply)
    {
        const auto json = Json::parse(request.body, nullptr, false);
        if (!json.is_object() || !json.contains("table") || !json.contains("expect_version") || !json.at("expect_version").is_number_unsigned() || !json.contains("edit_id") || !json.at("edit_id").is_string())
            return reply(refuse(400, "an edit consists of edit_id, expect_version and table"));
        const auto editId = json.at("edit_id").get<std::string>();
        if (!isEditId(editId))
            return reply(refuse(400, "edit_id must be 1 to 64 letters, digits, '-', '_' and '.'"));
        auto image = readTableJson(json.at("table").dump());
        if (!image)
            return reply(refuse(400, "the table is malformed", image.error()));
        const auto problems = checkTable(*image);
        if (!problems.empty())
            return reply(refuse(400, "the table does not pass the checks", problems));
        EditRequest edit { .editId = editId, .expectedVersion = json.at("expect_version").get<Version>(), .image = *std::move(image) };
        service.editor().run(std::move(edit), [reply, editId](const auto& result) { reply(makeResponse(result, editId)); });
    }

    Json describeReplica(const TableService& service)
    {
        const auto& replica = service.replica();
        Json described {
            { "version", replica.inForce.version },
            { "digest", replica.digest },
            { "known_version", replica.knownVersion },
            { "refuses_work_because", service.refusal() },
            { "staged_edit", replica.staged ? Json(replica.staged->info.editId) : Json() },
        };
        described["electorate"] = Json::array();
        for (const auto& [id, address] : service.electorate())
            described["electorate"].push_back(id);
        described["contact_age_ms"] = replica.contactAsOf ? Json(std::chrono::duration_cast<Millis>(service.now() - *replica.contactAsOf).count()) : Json();
        return described;
    }

    void serveTable(const TableService& service, const http::Reply& reply)
    {
        auto body = describeReplica(service);
        body["table"] = Json::parse(encodeTable(service.image()));
        reply(admin::makeJsonResponse(200, body));
    }

    /// Follows the chain of versions backwards and answers once it ends or the limit is reached.
    void serveHistory(TableService& service, const std::string& digest, std::size_t left, Json collected, const http::Reply& reply)
    {
        if (left == 0)
            return reply(admin::makeJsonResponse(200, { { "versions", collected } }));
        service.headStore().readImage(digest, [&service, left, collected = std::move(collected), reply, digest](const auto& stored) mutable {
            if (!stored)
                return reply(admin::makeJsonResponse(collected.empty() ? 503 : 200, { { "versions", collected }, { "ends_because", "the object store does not give version " + digest } }));
            collected.push_back({ { "version", stored->image.version }, { "digest", digest }, { "edit_id", stored->editId }, { "editor", stored->editor }, { "at", stored->at }, { "table", Json::parse(encodeTable(stored->image)) } });
            serveHistory(service, stored->previous, stored->image.version <= 1 ? 0 : left - 1, std::move(collected), reply);
        });
    }

    std::size_t readLimit(const http::Request& request)
    {
        const auto text = http::findQueryParameter(request.query, "limit");
        std::size_t limit { usualHistory };
        std::from_chars(text.data(), text.data() + text.size(), limit);
        return std::min(limit, longestHistory);
    }

}

void routeTable(admin::AdminServer& admin, TableService& service)
{
    admin.route("/v1/table", [&service](const auto&, auto reply) { serveTable(service, reply); });
    admin.route("/v1/table/edit", [&service](const auto& request, auto reply) { serveEdit(service, request, reply); });
    admin.route("/v1/table/history", [&service](const auto& request, auto reply) {
        const auto limit = service.image().version == 0 ? 0 : readLimit(request);
        serveHistory(service, service.replica().digest, limit, Json::array(), reply);
    });
    admin.addStatus("table", [&service] { return describeReplica(service); });
    admin.addReadinessCheck([&service]() -> std::optional<std::string> {
        if (auto refusal = service.refusal(); !refusal.empty())
            return refusal;
        if (service.image().version == 0)
            return "the table is empty";
        return std::nullopt;
    });
}

}

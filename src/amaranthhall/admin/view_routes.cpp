#include "amaranthhall/admin/view_routes.hpp"

#include "amaranthhall/admin/admin_server.hpp"
#include "amaranthhall/group/group_source.hpp"
#include "amaranthhall/membership/member_source.hpp"
#include "amaranthhall/share/share_source.hpp"
#include "amaranthhall/table/table_source.hpp"

namespace amaranthhall::admin {

namespace {

    using Json = nlohmann::json;

    std::string_view describe(group::Reachability reachability)
    {
        switch (reachability) {
        case group::Reachability::Up:
            return "up";
        case group::Reachability::Suspected:
            return "suspected";
        case group::Reachability::Down:
            return "down";
        case group::Reachability::Unknown:
            break;
        }
        return "unknown";
    }

    std::string_view describe(membership::MemberState state)
    {
        switch (state) {
        case membership::MemberState::Live:
            return "live";
        case membership::MemberState::Suspected:
            return "suspected";
        case membership::MemberState::Leaving:
            return "leaving";
        case membership::MemberState::Dead:
            break;
        }
        return "dead";
    }

    Json describeUpstream(const group::UpstreamView& upstream)
    {
        return {
            { "name", upstream.id.name },
            { "address", kernel::formatAddress(upstream.address) },
            { "zone", upstream.zone },
            { "reach", describe(upstream.reachability) },
            { "term", upstream.status.term },
            { "position", upstream.status.last.position },
        };
    }

    Json describeGroup(const group::GroupView& view)
    {
        auto upstreams = Json::array();
        for (const auto& upstream : view.upstreams)
            upstreams.push_back(describeUpstream(upstream));
        return { { "group", group::formatId(view.id) }, { "term", view.term }, { "primary", view.primary ? Json(*view.primary) : Json() }, { "upstreams", std::move(upstreams) } };
    }

    Json describeGroups(const group::GroupSource& source, const table::TableSource& table)
    {
        auto groups = Json::array();
        for (const auto& id : table::listGroups(table.image())) {
            if (const auto* view = source.view(id))
                groups.push_back(describeGroup(*view));
        }
        return { { "groups", std::move(groups) } };
    }

    Json describeMembers(const membership::MemberSource& source)
    {
        auto members = Json::array();
        for (const auto& member : source.members()) {
            members.push_back({
                { "id", member.id },
                { "state", describe(member.state) },
                { "region", member.region },
                { "zone", member.zone },
                { "peer", kernel::formatAddress(member.peer) },
                { "admin", kernel::formatAddress(member.admin) },
            });
        }
        return { { "self", source.self().id }, { "epoch", source.epoch() }, { "members", std::move(members) } };
    }

    Json describeShares(const share::ShareSource& source, const table::TableSource& table)
    {
        auto shares = Json::array();
        for (const auto& row : table.image().upstreams)
            shares.push_back({ { "upstream", group::formatId(row.id) }, { "allowance", source.allowance(row.id) }, { "limit", row.connectionLimit } });
        return { { "shares", std::move(shares) } };
    }

    http::Response missing(std::string_view service)
    {
        return makeJsonResponse(404, { { "error", "this daemon runs without the service " + std::string(service) } });
    }

}

void routeViews(AdminServer& admin, const kernel::Registry& registry)
{
    admin.route("/v1/groups", [&registry](const auto&, auto reply) {
        const auto* groups = registry.findOptional<group::GroupSource>("groups");
        const auto* table = registry.findOptional<table::TableSource>("table");
        reply(groups == nullptr || table == nullptr ? missing("groups") : makeJsonResponse(200, describeGroups(*groups, *table)));
    });
    admin.route("/v1/members", [&registry](const auto&, auto reply) {
        const auto* members = registry.findOptional<membership::MemberSource>("members");
        reply(members == nullptr ? missing("members") : makeJsonResponse(200, describeMembers(*members)));
    });
    admin.route("/v1/shares", [&registry](const auto&, auto reply) {
        const auto* shares = registry.findOptional<share::ShareSource>("shares");
        const auto* table = registry.findOptional<table::TableSource>("table");
        reply(shares == nullptr || table == nullptr ? missing("shares") : makeJsonResponse(200, describeShares(*shares, *table)));
    });
}

}

#include "amaranthhall/upstream/group_codec.hpp"

#include <algorithm>

namespace amaranthhall::upstream {

namespace {

    using peer::Json;
    using Millis = std::chrono::milliseconds;

    Json encodeUpstream(const group::UpstreamObservation& watch, const group::GroupState& state, Time now)
    {
        const auto& status = watch.status;
        Json json {
            { "name", watch.name },
            { "reach", static_cast<int>(watch.reachability) },
            { "role", static_cast<int>(status.role) },
            { "term", status.term },
            { "record_term", status.last.term },
            { "position", status.last.position },
            { "applied", status.applied },
            { "leaving", status.isDraining },
        };
        const auto& samples = state.freshnessHistory.samples;
        if (status.role == group::Role::Primary && status.term == state.freshnessHistory.term && !samples.empty() && samples.back().at != Time {}) {
            json["sampled_position"] = samples.back().position;
            json["sample_age_ms"] = std::chrono::ceil<Millis>(now - samples.back().at).count();
        }
        return json;
    }

    group::UpstreamStatus decodeStatus(const Json& json)
    {
        return {
            .role = static_cast<group::Role>(json.at("role").get<int>()),
            .term = json.at("term").get<group::Term>(),
            .last = { .term = json.at("record_term").get<group::Term>(), .position = json.at("position").get<group::Position>() },
            .applied = json.at("applied").get<group::Position>(),
            .isDraining = json.at("leaving").get<bool>(),
        };
    }

    group::StatusReceived decodeHeard(const Json& json, Time askedAt)
    {
        group::StatusReceived heard { .upstream = json.at("name").get<std::string>(), .status = decodeStatus(json) };
        if (json.contains("sample_age_ms")) {
            heard.status.last.position = std::max(heard.status.last.position, json.at("sampled_position").get<group::Position>());
            heard.requestedAt = askedAt - Millis(json.at("sample_age_ms").get<std::int64_t>());
        }
        return heard;
    }

}

Json encodeGroupId(const group::GroupId& id)
{
    return { { "service", id.service }, { "instance", id.instance } };
}

group::GroupId decodeGroupId(const Json& json)
{
    return { .service = json.at("service").get<std::string>(), .instance = json.at("instance").get<std::string>() };
}

Json encodeVote(const group::GroupId& id, const std::string& watcher, const group::BroadcastVote& vote)
{
    return { { "group", encodeGroupId(id) }, { "watcher", watcher }, { "term", vote.term }, { "suspects", vote.suspects } };
}

ToldEvent decodeVote(const Json& json)
{
    return {
        .group = decodeGroupId(json.at("group")),
        .event = group::VoteReceived { .watcher = json.at("watcher").get<std::string>(), .term = json.at("term").get<group::Term>(), .suspects = json.at("suspects").get<bool>() },
    };
}

Json encodeReport(const group::UpstreamId& id, group::Symptom symptom)
{
    return { { "group", encodeGroupId(id.group) }, { "upstream", id.name }, { "symptom", static_cast<int>(symptom) } };
}

ToldEvent decodeReport(const Json& json)
{
    return {
        .group = decodeGroupId(json.at("group")),
        .event = group::SymptomReported { .upstream = json.at("upstream").get<std::string>(), .symptom = static_cast<group::Symptom>(json.at("symptom").get<int>()) },
    };
}

Json encodePrimary(const group::GroupState& state, const group::GroupId& id)
{
    return { { "group", encodeGroupId(id) }, { "primary", state.primary.value_or("") }, { "term", state.term } };
}

ToldEvent decodePrimary(const Json& json)
{
    return {
        .group = decodeGroupId(json.at("group")),
        .event = group::PrimaryReported { .upstream = json.at("primary").get<std::string>(), .term = json.at("term").get<group::Term>() },
    };
}

Json encodeState(const group::GroupState& state, const group::GroupId& id, Time now)
{
    auto json = encodePrimary(state, id);
    auto upstreams = Json::array();
    for (const auto& watch : state.upstreams)
        upstreams.push_back(encodeUpstream(watch, state, now));
    json["upstreams"] = std::move(upstreams);
    return json;
}

std::vector<ToldEvent> decodeState(const Json& json, Time askedAt)
{
    const auto id = decodeGroupId(json.at("group"));
    std::vector<ToldEvent> told;
    for (const auto& item : json.at("upstreams")) {
        told.push_back({ .group = id, .event = decodeHeard(item, askedAt) });
        told.push_back({ .group = id, .event = group::ReachabilityReported { .upstream = item.at("name").get<std::string>(), .reachability = static_cast<group::Reachability>(item.at("reach").get<int>()) } });
    }
    told.push_back(decodePrimary(json));
    return told;
}

}

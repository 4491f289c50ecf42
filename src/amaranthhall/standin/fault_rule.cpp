#include "amaranthhall/standin/fault_rule.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::standin {

namespace {

    using Json = nlohmann::json;

    DirectionFault decodeDirection(const Json& json)
    {
        DirectionFault fault {
            .delay = std::chrono::milliseconds(json.value("delay_ms", 0)),
            .jitter = std::chrono::milliseconds(json.value("jitter_ms", 0)),
            .hold = json.value("hold", false),
            .drop = json.value("drop", false),
        };
        if (json.contains("cut_after"))
            fault.cutAfter = json.at("cut_after").get<std::uint64_t>();
        return fault;
    }

    Json encodeDirection(const DirectionFault& fault)
    {
        Json json { { "delay_ms", fault.delay.count() }, { "jitter_ms", fault.jitter.count() }, { "hold", fault.hold }, { "drop", fault.drop } };
        if (fault.cutAfter)
            json["cut_after"] = *fault.cutAfter;
        return json;
    }

}

std::optional<FaultRule> decodeRule(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        return FaultRule {
            .route = json.value("route", ""),
            .match = json.value("match", ""),
            .cut = json.value("cut", false),
            .toTarget = decodeDirection(json.value("to_target", Json::object())),
            .toSource = decodeDirection(json.value("to_source", Json::object())),
        };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeRule(const FaultRule& rule)
{
    return Json {
        { "route", rule.route },
        { "match", rule.match },
        { "cut", rule.cut },
        { "to_target", encodeDirection(rule.toTarget) },
        { "to_source", encodeDirection(rule.toSource) },
    }
        .dump();
}

}

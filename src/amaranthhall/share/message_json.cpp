#include "amaranthhall/share/message_json.hpp"

#include <array>
#include <type_traits>

namespace amaranthhall::share {

namespace {

    using nlohmann::json;

    constexpr std::array<std::string_view, 6> methods { "shares.learn", "shares.renew", "shares.close", "shares.move", "shares.open", "shares.take" };

    json encode(const Process& process)
    {
        return json::array({ process.vm, process.startTime, kernel::formatAddress(process.address) });
    }

    Process decodeProcess(const json& value)
    {
        return { .vm = value.at(0), .startTime = value.at(1), .address = kernel::parseAddress(value.at(2).get<std::string>()).value_or(kernel::Address {}) };
    }

    json encode(const std::vector<Process>& processes)
    {
        auto list = json::array();
        for (const auto& process : processes)
            list.push_back(encode(process));
        return list;
    }

    std::vector<Process> decodeProcesses(const json& value)
    {
        std::vector<Process> processes;
        for (const auto& entry : value)
            processes.push_back(decodeProcess(entry));
        return processes;
    }

    json encode(const group::UpstreamId& id)
    {
        return json::array({ id.group.service, id.group.instance, id.name });
    }

    group::UpstreamId decodeUpstream(const json& value)
    {
        return { { value.at(0), value.at(1) }, value.at(2) };
    }

    json encode(const ConnectionCounts& counts)
    {
        auto list = json::array();
        for (const auto& [id, count] : counts)
            list.push_back(json::array({ encode(id), count }));
        return list;
    }

    ConnectionCounts decodeCounts(const json& value)
    {
        ConnectionCounts counts;
        for (const auto& entry : value)
            counts[decodeUpstream(entry.at(0))] = entry.at(1);
        return counts;
    }

    json encode(const EpochConfiguration& epoch)
    {
        return { { "epoch", epoch.epoch }, { "grantors", encode(epoch.grantors) }, { "holders", encode(epoch.holders) }, { "limits", encode(epoch.limits) } };
    }

    EpochConfiguration decodeEpoch(const json& value)
    {
        return { .epoch = value.at("epoch"), .grantors = decodeProcesses(value.at("grantors")), .holders = decodeProcesses(value.at("holders")), .limits = decodeCounts(value.at("limits")) };
    }

    EpochRecord parseRecord(const json& value)
    {
        EpochRecord record { .current = decodeEpoch(value.at("current")), .coordinator = decodeProcess(value.at("dealer")), .settled = value.at("settled") };
        for (const auto& entry : value.at("earlier"))
            record.earlierEpochs.push_back(decodeEpoch(entry));
        return record;
    }

    json encodeOptional(const std::optional<EpochRecord>& record)
    {
        return record ? encodeRecord(*record) : json();
    }

    std::optional<EpochRecord> decodeOptional(const json& value)
    {
        return value.is_null() ? std::nullopt : std::optional(parseRecord(value));
    }

    json encode(const LearnRequest&) { return json::object(); }

    json encode(const RenewRequest& renew)
    {
        return { { "e", renew.epoch }, { "h", encode(renew.holder) }, { "g", renew.grantorStartTime } };
    }

    json encode(const CloseRequest& close)
    {
        return { { "b", close.beforeEpoch }, { "g", close.grantorStartTime } };
    }

    json encode(const MoveRequest& move)
    {
        return { { "i", move.newEpoch }, { "h", move.holderStartTime } };
    }

    json encode(const OpenRequest& open)
    {
        return { { "r", encodeRecord(open.record) }, { "h", open.holderStartTime }, { "c", encode(open.counts) } };
    }

    json encode(const TakeRequest& take)
    {
        return { { "e", take.epoch }, { "i", take.id }, { "b", encode(take.requester) }, { "u", encode(take.upstream) }, { "n", take.requested }, { "h", take.held }, { "g", take.urgent }, { "w", take.mayDefer } };
    }

    json encode(const LearnResponse& learnResponse)
    {
        return { { "s", encode(learnResponse.self) }, { "r", encodeOptional(learnResponse.record) } };
    }

    json encode(const RenewResponse& renewResponse)
    {
        return { { "g", renewResponse.granted }, { "r", encodeOptional(renewResponse.newerRecord) } };
    }

    json encode(const CloseResponse& closed)
    {
        return { { "s", closed.sameProcess }, { "h", encode(closed.holders) } };
    }

    json encode(const MoveResponse& moveResponse)
    {
        return { { "h", moveResponse.leaseValid }, { "c", encode(moveResponse.counts) } };
    }

    json encode(const OpenResponse&) { return json::object(); }

    json encode(const TakeResponse& taken)
    {
        return { { "n", taken.transferred }, { "h", taken.held } };
    }

    std::optional<Request> parseRequest(std::string_view method, const json& value)
    {
        if (method == methods[0])
            return LearnRequest {};
        if (method == methods[1])
            return RenewRequest { .epoch = value.at("e"), .holder = decodeProcess(value.at("h")), .grantorStartTime = value.at("g") };
        if (method == methods[2])
            return CloseRequest { .beforeEpoch = value.at("b"), .grantorStartTime = value.at("g") };
        if (method == methods[3])
            return MoveRequest { .newEpoch = value.at("i"), .holderStartTime = value.at("h") };
        if (method == methods[4])
            return OpenRequest { .record = parseRecord(value.at("r")), .holderStartTime = value.at("h"), .counts = decodeCounts(value.at("c")) };
        if (method == methods[5])
            return TakeRequest { .epoch = value.at("e"), .id = value.at("i"), .requester = decodeProcess(value.at("b")), .upstream = decodeUpstream(value.at("u")), .requested = value.at("n"), .held = value.at("h"), .urgent = value.at("g"), .mayDefer = value.at("w") };
        return std::nullopt;
    }

    std::optional<Response> parseResponse(std::string_view method, const json& value)
    {
        if (method == methods[0])
            return LearnResponse { .self = decodeProcess(value.at("s")), .record = decodeOptional(value.at("r")) };
        if (method == methods[1])
            return RenewResponse { .granted = value.at("g"), .newerRecord = decodeOptional(value.at("r")) };
        if (method == methods[2])
            return CloseResponse { .sameProcess = value.at("s"), .holders = decodeProcesses(value.at("h")) };
        if (method == methods[3])
            return MoveResponse { .leaseValid = value.at("h"), .counts = decodeCounts(value.at("c")) };
        if (method == methods[4])
            return OpenResponse {};
        if (method == methods[5])
            return TakeResponse { .transferred = value.at("n"), .held = value.at("h") };
        return std::nullopt;
    }

    /// Returns an empty value if the parser throws because a field is missing or has the wrong type.
    template <typename Parser>
    auto parseOrNothing(const Parser& parser) -> decltype(parser())
    {
        try {
            return parser();
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

}

std::string_view nameMethod(const Request& request) noexcept
{
    return methods.at(request.index());
}

std::vector<std::string_view> listMethods()
{
    return { methods.begin(), methods.end() };
}

json encodeRequest(const Request& request)
{
    return std::visit([](const auto& body) { return encode(body); }, request);
}

std::optional<Request> decodeRequest(std::string_view method, const json& value)
{
    return parseOrNothing([&] { return parseRequest(method, value); });
}

json encodeResponse(const Response& response)
{
    return std::visit([](const auto& body) { return encode(body); }, response);
}

std::optional<Response> decodeResponse(std::string_view method, const json& value)
{
    return parseOrNothing([&] { return parseResponse(method, value); });
}

json encodeRecord(const EpochRecord& record)
{
    auto earlierEpochs = json::array();
    for (const auto& epoch : record.earlierEpochs)
        earlierEpochs.push_back(encode(epoch));
    return { { "current", encode(record.current) }, { "dealer", encode(record.coordinator) }, { "earlier", earlierEpochs }, { "settled", record.settled } };
}

std::optional<EpochRecord> decodeRecord(const json& value)
{
    return parseOrNothing([&] { return std::optional(parseRecord(value)); });
}

}

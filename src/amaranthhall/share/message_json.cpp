#include "amaranthhall/share/message_json.hpp"

#include <array>
#include <type_traits>

namespace amaranthhall::share {

namespace {

    using nlohmann::json;

    constexpr std::array<std::string_view, 6> methods { "shares.learn", "shares.renew", "shares.close", "shares.move", "shares.open", "shares.take" };

    json encode(const Process& process)
    {
        return json::array({ process.vm, process.started, kernel::formatAddress(process.address) });
    }

    Process decodeProcess(const json& value)
    {
        return { .vm = value.at(0), .started = value.at(1), .address = kernel::parseAddress(value.at(2).get<std::string>()).value_or(kernel::Address {}) };
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

    json encode(const Counts& counts)
    {
        auto list = json::array();
        for (const auto& [id, count] : counts)
            list.push_back(json::array({ encode(id), count }));
        return list;
    }

    Counts decodeCounts(const json& value)
    {
        Counts counts;
        for (const auto& entry : value)
            counts[decodeUpstream(entry.at(0))] = entry.at(1);
        return counts;
    }

    json encode(const EpochMembers& epoch)
    {
        return { { "epoch", epoch.epoch }, { "grantors", encode(epoch.grantors) }, { "holders", encode(epoch.holders) }, { "limits", encode(epoch.limits) } };
    }

    EpochMembers decodeMembers(const json& value)
    {
        return { .epoch = value.at("epoch"), .grantors = decodeProcesses(value.at("grantors")), .holders = decodeProcesses(value.at("holders")), .limits = decodeCounts(value.at("limits")) };
    }

    EpochRecord readRecord(const json& value)
    {
        EpochRecord record { .current = decodeMembers(value.at("current")), .dealer = decodeProcess(value.at("dealer")), .settled = value.at("settled") };
        for (const auto& entry : value.at("earlier"))
            record.earlier.push_back(decodeMembers(entry));
        return record;
    }

    json encodeOptional(const std::optional<EpochRecord>& record)
    {
        return record ? encodeRecord(*record) : json();
    }

    std::optional<EpochRecord> decodeOptional(const json& value)
    {
        return value.is_null() ? std::nullopt : std::optional(readRecord(value));
    }

    json encode(const Learn&) { return json::object(); }

    json encode(const Renew& renew)
    {
        return { { "e", renew.epoch }, { "h", encode(renew.holder) }, { "g", renew.grantorStarted } };
    }

    json encode(const Close& close)
    {
        return { { "b", close.before }, { "g", close.grantorStarted } };
    }

    json encode(const Move& move)
    {
        return { { "i", move.into }, { "h", move.holderStarted } };
    }

    json encode(const Open& open)
    {
        return { { "r", encodeRecord(open.record) }, { "h", open.holderStarted }, { "c", encode(open.counts) } };
    }

    json encode(const Take& take)
    {
        return { { "e", take.epoch }, { "i", take.id }, { "b", encode(take.by) }, { "u", encode(take.upstream) }, { "n", take.want }, { "h", take.held }, { "g", take.urgent }, { "w", take.mayWait } };
    }

    json encode(const Learned& learned)
    {
        return { { "s", encode(learned.self) }, { "r", encodeOptional(learned.record) } };
    }

    json encode(const Renewed& renewed)
    {
        return { { "g", renewed.granted }, { "r", encodeOptional(renewed.newer) } };
    }

    json encode(const Closed& closed)
    {
        return { { "s", closed.sameProcess }, { "h", encode(closed.holders) } };
    }

    json encode(const Moved& moved)
    {
        return { { "h", moved.held }, { "c", encode(moved.counts) } };
    }

    json encode(const Opened&) { return json::object(); }

    json encode(const Taken& taken)
    {
        return { { "n", taken.given }, { "h", taken.held } };
    }

    std::optional<Request> readRequest(std::string_view method, const json& value)
    {
        if (method == methods[0])
            return Learn {};
        if (method == methods[1])
            return Renew { .epoch = value.at("e"), .holder = decodeProcess(value.at("h")), .grantorStarted = value.at("g") };
        if (method == methods[2])
            return Close { .before = value.at("b"), .grantorStarted = value.at("g") };
        if (method == methods[3])
            return Move { .into = value.at("i"), .holderStarted = value.at("h") };
        if (method == methods[4])
            return Open { .record = readRecord(value.at("r")), .holderStarted = value.at("h"), .counts = decodeCounts(value.at("c")) };
        if (method == methods[5])
            return Take { .epoch = value.at("e"), .id = value.at("i"), .by = decodeProcess(value.at("b")), .upstream = decodeUpstream(value.at("u")), .want = value.at("n"), .held = value.at("h"), .urgent = value.at("g"), .mayWait = value.at("w") };
        return std::nullopt;
    }

    std::optional<Response> readResponse(std::string_view method, const json& value)
    {
        if (method == methods[0])
            return Learned { .self = decodeProcess(value.at("s")), .record = decodeOptional(value.at("r")) };
        if (method == methods[1])
            return Renewed { .granted = value.at("g"), .newer = decodeOptional(value.at("r")) };
        if (method == methods[2])
            return Closed { .sameProcess = value.at("s"), .holders = decodeProcesses(value.at("h")) };
        if (method == methods[3])
            return Moved { .held = value.at("h"), .counts = decodeCounts(value.at("c")) };
        if (method == methods[4])
            return Opened {};
        if (method == methods[5])
            return Taken { .given = value.at("n"), .held = value.at("h") };
        return std::nullopt;
    }

    /// The readers above throw where a field is missing or of another type.
    template <typename Read>
    auto tryRead(const Read& read) -> decltype(read())
    {
        try {
            return read();
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
    return tryRead([&] { return readRequest(method, value); });
}

json encodeResponse(const Response& response)
{
    return std::visit([](const auto& body) { return encode(body); }, response);
}

std::optional<Response> decodeResponse(std::string_view method, const json& value)
{
    return tryRead([&] { return readResponse(method, value); });
}

json encodeRecord(const EpochRecord& record)
{
    auto earlier = json::array();
    for (const auto& epoch : record.earlier)
        earlier.push_back(encode(epoch));
    return { { "current", encode(record.current) }, { "dealer", encode(record.dealer) }, { "earlier", earlier }, { "settled", record.settled } };
}

std::optional<EpochRecord> decodeRecord(const json& value)
{
    return tryRead([&] { return std::optional(readRecord(value)); });
}

}

#include "amaranthhall/succession/failover_lease.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::succession {

namespace {

    using Json = nlohmann::json;

    Json encodeOrder(const PendingOrder& order)
    {
        Json json { { "candidate", order.candidate } };
        if (order.fence != store::Version {})
            json["fence"] = store::formatVersion(order.fence);
        return json;
    }

    PendingOrder decodeOrder(const Json& json, const store::Version& rowVersion)
    {
        const auto fence = json.find("fence");
        return {
            .candidate = json.at("candidate").get<std::string>(),
            .fence = fence == json.end() ? rowVersion : store::parseVersion(fence->get<std::string>()),
        };
    }

}

std::string leaseKey(std::string_view service)
{
    return "duty/" + std::string(service);
}

std::string encodeLease(const FailoverLease& lease)
{
    Json json {
        { "holder", lease.holder.vm },
        { "incarnation", lease.holder.incarnation },
        { "taken_at", lease.takenAt },
        { "era", lease.era },
        { "term", lease.term },
    };
    for (const auto& order : lease.orders)
        json["orders"].push_back(encodeOrder(order));
    return json.dump();
}

std::optional<FailoverLease> decodeLease(const store::Row* row)
{
    if (!row)
        return std::nullopt;
    try {
        const auto json = Json::parse(row->value);
        FailoverLease lease {
            .holder = { .vm = json.at("holder").get<std::string>(), .incarnation = json.at("incarnation").get<std::uint64_t>() },
            .takenAt = json.at("taken_at").get<freshness::Micros>(),
            .era = json.value("era", store::Era { 0 }),
            .term = json.value("term", group::Term { 0 }),
        };
        for (const auto& order : json.value("orders", Json::array()))
            lease.orders.push_back(decodeOrder(order, row->version));
        return lease;
    } catch (const Json::exception& exception) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "succession.row_skipped", { { "key", row->key.key }, { "problem", exception.what() } });
        return std::nullopt;
    }
}

std::optional<Holder> holderOf(const store::Row* row, const DaemonIdentity& self, store::Era era)
{
    const auto lease = decodeLease(row);
    if (!lease || row->version.era != era || lease->era != era)
        return std::nullopt;
    return lease->holder == self ? Holder::Self : Holder::Other;
}

std::optional<store::Version> heldVersion(const store::Row* row, const DaemonIdentity& self, store::Era era)
{
    return holderOf(row, self, era) == Holder::Self ? std::optional(row->version) : std::nullopt;
}

bool isVersionOfEra(const store::Row* row, store::Era era) noexcept
{
    return !row || row->version.era == era;
}

bool mayBeHeldAfterRestore(const EraChange& change, Holder previousHolder, Time now) noexcept
{
    if (!change.observedAt || now - *change.observedAt >= leaseDuration)
        return false;
    // A daemon that started shortly before the era change may not have observed the holder.
    const bool isRecentlyStarted = *change.observedAt - change.startedAt < leaseDuration;
    return previousHolder == Holder::Other || (previousHolder == Holder::None && isRecentlyStarted);
}

}

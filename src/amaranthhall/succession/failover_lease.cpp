#include "amaranthhall/succession/failover_lease.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::succession {

std::string leaseKey(std::string_view service)
{
    return "duty/" + std::string(service);
}

std::string encodeLease(const FailoverLease& lease)
{
    return nlohmann::json {
        { "holder", lease.holder.vm },
        { "incarnation", lease.holder.incarnation },
        { "taken_at", lease.takenAt },
        { "era", lease.era },
        { "term", lease.term },
    }
        .dump();
}

std::optional<FailoverLease> decodeLease(const store::Row* row)
{
    if (!row)
        return std::nullopt;
    try {
        const auto json = nlohmann::json::parse(row->value);
        return FailoverLease {
            .holder = { .vm = json.at("holder").get<std::string>(), .incarnation = json.at("incarnation").get<std::uint64_t>() },
            .takenAt = json.at("taken_at").get<freshness::Micros>(),
            .era = json.value("era", store::Era { 0 }),
            .term = json.value("term", group::Term { 0 }),
        };
    } catch (const nlohmann::json::exception& exception) {
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

#include "amaranthhall/succession/failover_lease.hpp"

#include "amaranthhall/telemetry/log.hpp"

#include <nlohmann/json.hpp>

namespace amaranthhall::succession {

std::string dutyKey(std::string_view service)
{
    return "duty/" + std::string(service);
}

std::string encodeDuty(const DutyRow& duty)
{
    return nlohmann::json {
        { "holder", duty.holder.vm },
        { "incarnation", duty.holder.incarnation },
        { "taken_at", duty.takenAt },
        { "era", duty.era },
        { "term", duty.term },
    }
        .dump();
}

std::optional<DutyRow> decodeDuty(const store::Row* row)
{
    if (!row)
        return std::nullopt;
    try {
        const auto json = nlohmann::json::parse(row->value);
        return DutyRow {
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
    const auto duty = decodeDuty(row);
    if (!duty || row->version.era != era || duty->era != era)
        return std::nullopt;
    return duty->holder == self ? Holder::Own : Holder::Other;
}

std::optional<store::Version> heldVersion(const store::Row* row, const DaemonIdentity& self, store::Era era)
{
    return holderOf(row, self, era) == Holder::Own ? std::optional(row->version) : std::nullopt;
}

bool isConditionCertain(const store::Row* row, store::Era era) noexcept
{
    return !row || row->version.era == era;
}

bool mayBeHeldSinceCopy(const EraNews& news, Holder before, Time now) noexcept
{
    if (!news.since || now - *news.since >= dutyLease)
        return false;
    // One that has just started has seen no holder, though there may be one.
    const bool isNew = *news.since - news.startedAt < dutyLease;
    return before == Holder::Other || (before == Holder::None && isNew);
}

}

#include "amaranthhall/catalog/catalog.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace amaranthhall::catalog {

bool Catalog::apply(Configuration configuration)
{
    if (this->current && configuration.version <= this->current->version)
        return false;
    if (this->current && this->current->organisations && !configuration.organisations)
        configuration.organisations.emplace();
    const bool hasSameLimits = this->current && this->current->services == configuration.services && this->current->organisations.has_value() == configuration.organisations.has_value();
    if (!hasSameLimits)
        ++this->limitsChangeCount;
    this->current = std::make_shared<const Configuration>(std::move(configuration));
    return true;
}

/// Returns whether an entry comes from a restored copy of the store although the upstream has since left or begun to drain.
bool Catalog::isStaleRestoredEntry(const UpstreamEntry& entry, const store::Version& version) const
{
    const auto found = this->upstreamsById.find(entry.id);
    if (found != this->upstreamsById.end()) {
        const auto& upstream = found->second;
        const bool isRestored = version.era > upstream.version.era && upstream.entry.startedAt == entry.startedAt;
        return isRestored && (upstream.missingSince || (upstream.entry.draining && !entry.draining));
    }
    const auto departure = this->departures.find(entry.id);
    return departure != this->departures.end() && version.era > departure->second.era && departure->second.startedAt == entry.startedAt;
}

void Catalog::put(UpstreamEntry entry, const store::Version& version, Time now, Duration copyAge)
{
    const auto pending = this->restoredEntries.find(entry.id);
    const bool isRewritten = pending != this->restoredEntries.end() && version > pending->second.version;
    if (!isRewritten && this->isStaleRestoredEntry(entry, version)) {
        const auto id = entry.id;
        this->restoredEntries.insert_or_assign(id, RestoredEntry { .entry = std::move(entry), .version = version, .since = now });
        return;
    }
    if (isRewritten)
        this->restoredEntries.erase(pending);
    this->update(std::move(entry), version, now, copyAge);
}

/// Applies restored entries that have existed for restoredEntryDelay.
void Catalog::acceptOldRestoredEntries(Time now)
{
    for (auto position = this->restoredEntries.begin(); position != this->restoredEntries.end();) {
        const auto next = std::next(position);
        if (now - position->second.since >= restoredEntryDelay) {
            auto accepted = this->restoredEntries.extract(position);
            this->update(std::move(accepted.mapped().entry), accepted.mapped().version, now);
        }
        position = next;
    }
}

void Catalog::update(UpstreamEntry entry, const store::Version& version, Time now, Duration copyAge)
{
    auto& upstream = this->upstreamsById[entry.id];
    if (version < upstream.version)
        return;
    this->departures.erase(entry.id);
    const bool isNew = upstream.entry.id.empty() || upstream.entry.startedAt != entry.startedAt;
    if (isNew || upstream.entry.role != entry.role) {
        upstream.roleVersion = version;
        upstream.roleSeenAt = now;
    }
    if (!entry.draining)
        upstream.drainingSince.reset();
    else if (!upstream.drainingSince)
        upstream.drainingSince = now - copyAge;
    const bool serviceChanged = upstream.entry.service != entry.service;
    if (serviceChanged)
        this->removeFromService(upstream);
    upstream.entry = std::move(entry);
    if (serviceChanged)
        this->addToService(upstream);
    upstream.version = version;
    upstream.missingSince.reset();
}

void Catalog::addToService(const UpstreamRecord& upstream)
{
    auto& list = this->byService[upstream.entry.service];
    const auto place = std::find_if(list.begin(), list.end(), [&](const auto* other) { return other->entry.id > upstream.entry.id; });
    list.insert(place, &upstream);
}

void Catalog::removeFromService(const UpstreamRecord& upstream)
{
    const auto found = this->byService.find(upstream.entry.service);
    if (found == this->byService.end())
        return;
    std::erase(found->second, &upstream);
    if (found->second.empty())
        this->byService.erase(found);
}

std::span<const UpstreamRecord* const> Catalog::upstreamsOf(std::string_view service) const noexcept
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::span<const UpstreamRecord* const>() : found->second;
}

std::vector<std::string> Catalog::serviceNames() const
{
    std::set<std::string> names;
    if (this->current) {
        for (const auto& [name, spec] : this->current->services)
            names.insert(name);
    }
    for (const auto& [name, upstreams] : this->byService)
        names.insert(name);
    return { names.begin(), names.end() };
}

void Catalog::markMissing(std::string_view id, const store::Version& version, Time since)
{
    const auto pending = this->restoredEntries.find(id);
    if (pending != this->restoredEntries.end() && version > pending->second.version)
        this->restoredEntries.erase(pending);
    const auto found = this->upstreamsById.find(id);
    if (found == this->upstreamsById.end() || version < found->second.version)
        return;
    found->second.version = version;
    if (!found->second.missingSince)
        found->second.missingSince = since;
}

std::vector<std::string> Catalog::expire(Time now, std::optional<Time> storeSince)
{
    this->acceptOldRestoredEntries(now);
    std::erase_if(this->departures, [now](const auto& item) { return now - item.second.at > departureRetention; });
    std::vector<std::string> dropped;
    if (!storeSince || now - *storeSince < missingGracePeriod)
        return dropped;
    for (const auto& [id, upstream] : this->upstreamsById) {
        if (upstream.missingSince && now - *upstream.missingSince >= missingGracePeriod)
            dropped.push_back(id);
    }
    for (const auto& id : dropped) {
        const auto found = this->upstreamsById.find(id);
        this->departures[id] = { .startedAt = found->second.entry.startedAt, .era = found->second.version.era, .at = now };
        this->removeFromService(found->second);
        this->upstreamsById.erase(found);
    }
    return dropped;
}

const UpstreamRecord* Catalog::find(std::string_view id) const noexcept
{
    const auto found = this->upstreamsById.find(id);
    return found == this->upstreamsById.end() ? nullptr : &found->second;
}

}

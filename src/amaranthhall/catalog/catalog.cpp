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
    if (!this->current || this->current->services != configuration.services)
        ++this->limitsChanges;
    this->current = std::make_shared<const Configuration>(std::move(configuration));
    return true;
}

/// Tells whether an entry is one of a copy of the store, and the upstream is known to have left or to be leaving since.
bool Catalog::isWithdrawn(const UpstreamEntry& entry, const store::Version& version) const
{
    const auto found = this->known.find(entry.id);
    if (found != this->known.end()) {
        const auto& upstream = found->second;
        const bool isOfCopy = version.era > upstream.version.era && upstream.entry.startedAt == entry.startedAt;
        return isOfCopy && (upstream.missingSince || (upstream.entry.draining && !entry.draining));
    }
    const auto gone = this->departed.find(entry.id);
    return gone != this->departed.end() && version.era > gone->second.era && gone->second.startedAt == entry.startedAt;
}

void Catalog::put(UpstreamEntry entry, const store::Version& version, Time now)
{
    const auto held = this->copied.find(entry.id);
    const bool isSecond = held != this->copied.end() && version > held->second.version;
    if (!isSecond && this->isWithdrawn(entry, version)) {
        const auto id = entry.id;
        this->copied.insert_or_assign(id, CopiedEntry { .entry = std::move(entry), .version = version, .since = now });
        return;
    }
    if (isSecond)
        this->copied.erase(held);
    this->set(std::move(entry), version, now);
}

/// Takes in entries of a copy that have stood for long.
void Catalog::takeStandingCopies(Time now)
{
    for (auto place = this->copied.begin(); place != this->copied.end();) {
        const auto next = std::next(place);
        if (now - place->second.since >= copyPatience) {
            auto standing = this->copied.extract(place);
            this->set(std::move(standing.mapped().entry), standing.mapped().version, now);
        }
        place = next;
    }
}

void Catalog::set(UpstreamEntry entry, const store::Version& version, Time now)
{
    auto& upstream = this->known[entry.id];
    if (version < upstream.version)
        return;
    this->departed.erase(entry.id);
    const bool isNew = upstream.entry.id.empty() || upstream.entry.startedAt != entry.startedAt;
    if (isNew || upstream.entry.role != entry.role) {
        upstream.roleVersion = version;
        upstream.roleSeenAt = now;
    }
    if (!entry.draining)
        upstream.drainingSince.reset();
    else if (!upstream.drainingSince)
        upstream.drainingSince = now;
    const bool isMoved = upstream.entry.service != entry.service;
    if (isMoved)
        this->unlink(upstream);
    upstream.entry = std::move(entry);
    if (isMoved)
        this->link(upstream);
    upstream.version = version;
    upstream.missingSince.reset();
}

void Catalog::link(const KnownUpstream& upstream)
{
    auto& list = this->byService[upstream.entry.service];
    const auto place = std::find_if(list.begin(), list.end(), [&](const auto* other) { return other->entry.id > upstream.entry.id; });
    list.insert(place, &upstream);
}

void Catalog::unlink(const KnownUpstream& upstream)
{
    const auto found = this->byService.find(upstream.entry.service);
    if (found == this->byService.end())
        return;
    std::erase(found->second, &upstream);
    if (found->second.empty())
        this->byService.erase(found);
}

std::span<const KnownUpstream* const> Catalog::upstreamsOf(std::string_view service) const noexcept
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::span<const KnownUpstream* const>() : found->second;
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
    const auto held = this->copied.find(id);
    if (held != this->copied.end() && version > held->second.version)
        this->copied.erase(held);
    const auto found = this->known.find(id);
    if (found == this->known.end() || version < found->second.version)
        return;
    found->second.version = version;
    if (!found->second.missingSince)
        found->second.missingSince = since;
}

std::vector<std::string> Catalog::expire(Time now, std::optional<Time> storeSince)
{
    this->takeStandingCopies(now);
    std::erase_if(this->departed, [now](const auto& item) { return now - item.second.at > departureMemory; });
    std::vector<std::string> dropped;
    if (!storeSince || now - *storeSince < missingGrace)
        return dropped;
    for (const auto& [id, upstream] : this->known) {
        if (upstream.missingSince && now - *upstream.missingSince >= missingGrace)
            dropped.push_back(id);
    }
    for (const auto& id : dropped) {
        const auto found = this->known.find(id);
        this->departed[id] = { .startedAt = found->second.entry.startedAt, .era = found->second.version.era, .at = now };
        this->unlink(found->second);
        this->known.erase(found);
    }
    return dropped;
}

const KnownUpstream* Catalog::find(std::string_view id) const noexcept
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

}

#include "amaranthhall/catalog/catalog.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::catalog {

bool Catalog::apply(Configuration configuration)
{
    if (this->current && configuration.version <= this->current->version)
        return false;
    this->current = std::make_shared<const Configuration>(std::move(configuration));
    return true;
}

void Catalog::put(UpstreamEntry entry, std::uint64_t version, Time now)
{
    auto& upstream = this->known[entry.id];
    if (version < upstream.version)
        return;
    const bool isNew = upstream.entry.id.empty() || upstream.entry.startedAt != entry.startedAt;
    if (isNew || upstream.entry.role != entry.role) {
        upstream.roleVersion = version;
        upstream.roleSeenAt = now;
    }
    if (!entry.draining)
        upstream.drainingSince.reset();
    else if (!upstream.drainingSince)
        upstream.drainingSince = now;
    upstream.entry = std::move(entry);
    upstream.version = version;
    upstream.missingSince.reset();
}

void Catalog::markMissing(std::string_view id, std::uint64_t version, Time now)
{
    const auto found = this->known.find(id);
    if (found == this->known.end() || version < found->second.version)
        return;
    found->second.version = version;
    if (!found->second.missingSince)
        found->second.missingSince = now;
}

void Catalog::retainOnly(const std::vector<std::string>& ids, Time now)
{
    for (auto& [id, upstream] : this->known) {
        const bool isListed = std::find(ids.begin(), ids.end(), id) != ids.end();
        if (!isListed && !upstream.missingSince)
            upstream.missingSince = now;
    }
}

std::vector<std::string> Catalog::expire(Time now, std::optional<Time> storeSince)
{
    std::vector<std::string> dropped;
    if (!storeSince || now - *storeSince < missingGrace)
        return dropped;
    for (const auto& [id, upstream] : this->known) {
        if (upstream.missingSince && now - *upstream.missingSince >= missingGrace)
            dropped.push_back(id);
    }
    for (const auto& id : dropped)
        this->known.erase(id);
    return dropped;
}

const KnownUpstream* Catalog::find(std::string_view id) const noexcept
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

}

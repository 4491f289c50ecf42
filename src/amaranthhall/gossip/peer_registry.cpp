#include "amaranthhall/gossip/peer_registry.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <iterator>

namespace amaranthhall::gossip {

void PeerRegistry::add(std::string_view vm, const VmProfile& profile, Time now)
{
    this->findOrAdd(vm, profile, now);
}

Peer& PeerRegistry::findOrAdd(std::string_view vm, const VmProfile& profile, Time now)
{
    auto found = this->peers.find(vm);
    if (found == this->peers.end()) {
        found = this->peers.emplace(vm, Peer { .addedAt = now }).first;
        this->byId[hashing::shortId(vm)] = &found->second;
    }
    if (found->second.profile != profile) {
        found->second.profile = profile;
        ++this->changeCount;
    }
    return found->second;
}

void PeerRegistry::noteActivity(std::string_view vm, const VmProfile& profile, Time now)
{
    this->findOrAdd(vm, profile, now).lastActivity = now;
}

void PeerRegistry::remove(std::string_view vm)
{
    const auto found = this->peers.find(vm);
    if (found == this->peers.end())
        return;
    this->byId.erase(hashing::shortId(vm));
    this->peers.erase(found);
    ++this->changeCount;
}

void PeerRegistry::removeInactive(Time now)
{
    std::vector<std::string> inactive;
    for (const auto& [vm, peer] : this->peers) {
        if (now - std::max(peer.lastActivity, peer.addedAt) > this->currentRemovalTimeout())
            inactive.push_back(vm);
    }
    for (const auto& vm : inactive)
        this->remove(vm);
}

PeerRegistry::Sample PeerRegistry::samplePeers(std::size_t count, std::string_view zone, Random& random) const
{
    const bool isZoned = this->peers.size() > zonedFleetSize;
    std::vector<kernel::Address> sameZone;
    std::vector<kernel::Address> otherZones;
    for (const auto& [vm, peer] : this->peers) {
        const bool isSameZone = !isZoned || peer.profile.zone == zone;
        (isSameZone ? sameZone : otherZones).push_back(peer.profile.address);
    }
    const auto wantedOtherZones = sameZone.size() < count ? count - sameZone.size() : count / otherZonesDivisor;
    const auto otherZonesCount = std::min(otherZones.size(), std::max(isZoned ? std::size_t { 1 } : 0, wantedOtherZones));
    Sample sampled;
    std::sample(otherZones.begin(), otherZones.end(), std::back_inserter(sampled.otherZones), otherZonesCount, random);
    std::sample(sameZone.begin(), sameZone.end(), std::back_inserter(sampled.sameZone), count - otherZonesCount, random);
    return sampled;
}

std::vector<std::string> PeerRegistry::liveNames(Time now) const
{
    std::vector<std::string> names;
    for (const auto& [vm, peer] : this->peers) {
        if (now - peer.lastActivity <= this->currentLivenessTimeout())
            names.push_back(vm);
    }
    return names;
}

void PeerRegistry::noteIndirectActivity(std::uint32_t id, Time lastActivity) noexcept
{
    const auto found = this->byId.find(id);
    if (found != this->byId.end() && found->second->lastActivity < lastActivity)
        found->second->lastActivity = lastActivity;
}

std::vector<std::pair<std::uint32_t, Duration>> PeerRegistry::sampleActivityAges(std::size_t count, Time now, Random& random) const
{
    std::vector<std::pair<std::uint32_t, Duration>> activities;
    activities.reserve(this->byId.size());
    for (const auto& [id, peer] : this->byId) {
        if (now - peer->lastActivity <= this->currentLivenessTimeout())
            activities.emplace_back(id, now - peer->lastActivity);
    }
    std::vector<std::pair<std::uint32_t, Duration>> sampled;
    std::sample(activities.begin(), activities.end(), std::back_inserter(sampled), count, random);
    return sampled;
}

bool PeerRegistry::isLive(std::string_view vm, Time now) const noexcept
{
    const auto found = this->peers.find(vm);
    return found != this->peers.end() && now - found->second.lastActivity <= this->currentLivenessTimeout();
}

std::optional<kernel::Address> PeerRegistry::addressOf(std::string_view vm) const noexcept
{
    const auto found = this->peers.find(vm);
    return found == this->peers.end() ? std::nullopt : std::optional(found->second.profile.address);
}

std::size_t rendezvousRank(std::string_view task, std::string_view self, const std::vector<std::string>& others)
{
    const auto own = hashing::rendezvousScore(self, task);
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const auto& other) { return hashing::rendezvousScore(other, task) > own; }));
}

}

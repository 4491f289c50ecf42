#include "amaranthhall/gossip/peer_registry.hpp"

#include "amaranthhall/hashing/rendezvous.hpp"

#include <algorithm>
#include <iterator>

namespace amaranthhall::gossip {

void PeerBook::add(std::string_view vm, const VmProfile& profile, Time now)
{
    this->place(vm, profile, now);
}

Peer& PeerBook::place(std::string_view vm, const VmProfile& profile, Time now)
{
    auto found = this->peers.find(vm);
    if (found == this->peers.end()) {
        found = this->peers.emplace(vm, Peer { .addedAt = now }).first;
        this->byId[hashing::shortId(vm)] = &found->second;
    }
    if (found->second.profile != profile) {
        found->second.profile = profile;
        ++this->changes;
    }
    return found->second;
}

void PeerBook::noteHeard(std::string_view vm, const VmProfile& profile, Time now)
{
    this->place(vm, profile, now).heardAt = now;
}

void PeerBook::remove(std::string_view vm)
{
    const auto found = this->peers.find(vm);
    if (found == this->peers.end())
        return;
    this->byId.erase(hashing::shortId(vm));
    this->peers.erase(found);
    ++this->changes;
}

void PeerBook::forgetSilent(Time now)
{
    std::vector<std::string> silent;
    for (const auto& [vm, peer] : this->peers) {
        if (now - std::max(peer.heardAt, peer.addedAt) > this->patience())
            silent.push_back(vm);
    }
    for (const auto& vm : silent)
        this->remove(vm);
}

std::vector<kernel::Address> PeerBook::draw(std::size_t count, std::string_view zone, Random& random) const
{
    const bool isLarge = this->peers.size() > largeSize;
    std::vector<kernel::Address> near;
    std::vector<kernel::Address> far;
    for (const auto& [vm, peer] : this->peers) {
        const bool isNear = !isLarge || peer.profile.zone == zone;
        (isNear ? near : far).push_back(peer.profile.address);
    }
    const auto wantedFar = near.size() < count ? count - near.size() : count / farEvery;
    const auto farCount = std::min(far.size(), std::max(isLarge ? std::size_t { 1 } : 0, wantedFar));
    std::vector<kernel::Address> drawn;
    std::sample(far.begin(), far.end(), std::back_inserter(drawn), farCount, random);
    std::sample(near.begin(), near.end(), std::back_inserter(drawn), count - farCount, random);
    return drawn;
}

std::vector<std::string> PeerBook::live(Time now) const
{
    std::vector<std::string> names;
    for (const auto& [vm, peer] : this->peers) {
        if (now - peer.heardAt <= this->span())
            names.push_back(vm);
    }
    return names;
}

void PeerBook::noteHeardOf(std::uint32_t id, Time heardAt) noexcept
{
    const auto found = this->byId.find(id);
    if (found != this->byId.end() && found->second->heardAt < heardAt)
        found->second->heardAt = heardAt;
}

std::vector<std::pair<std::uint32_t, Duration>> PeerBook::drawAges(std::size_t count, Time now, Random& random) const
{
    std::vector<std::pair<std::uint32_t, Duration>> heard;
    heard.reserve(this->byId.size());
    for (const auto& [id, peer] : this->byId) {
        if (now - peer->heardAt <= this->span())
            heard.emplace_back(id, now - peer->heardAt);
    }
    std::vector<std::pair<std::uint32_t, Duration>> drawn;
    std::sample(heard.begin(), heard.end(), std::back_inserter(drawn), count, random);
    return drawn;
}

bool PeerBook::isLive(std::string_view vm, Time now) const noexcept
{
    const auto found = this->peers.find(vm);
    return found != this->peers.end() && now - found->second.heardAt <= this->span();
}

std::optional<kernel::Address> PeerBook::addressOf(std::string_view vm) const noexcept
{
    const auto found = this->peers.find(vm);
    return found == this->peers.end() ? std::nullopt : std::optional(found->second.profile.address);
}

std::size_t rankFor(std::string_view task, std::string_view self, const std::vector<std::string>& others)
{
    const auto own = hashing::rendezvousScore(self, task);
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const auto& other) { return hashing::rendezvousScore(other, task) > own; }));
}

}

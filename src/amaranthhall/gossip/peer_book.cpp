#include "amaranthhall/gossip/peer_book.hpp"

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
    if (found == this->peers.end())
        found = this->peers.emplace(vm, Peer { .addedAt = now }).first;
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
    this->peers.erase(found);
    ++this->changes;
}

void PeerBook::forgetSilent(Time now)
{
    const auto forgotten = std::erase_if(this->peers, [now](const auto& item) { return now - std::max(item.second.heardAt, item.second.addedAt) > forgetSpan; });
    this->changes += forgotten;
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

void PeerBook::noteHeardOf(std::string_view vm, Time heardAt) noexcept
{
    const auto found = this->peers.find(vm);
    if (found != this->peers.end() && found->second.heardAt < heardAt)
        found->second.heardAt = heardAt;
}

std::vector<std::pair<std::string, Duration>> PeerBook::drawAges(std::size_t count, Time now, Random& random) const
{
    std::vector<std::pair<std::string, Duration>> heard;
    for (const auto& [vm, peer] : this->peers) {
        if (now - peer.heardAt <= this->span())
            heard.emplace_back(vm, now - peer.heardAt);
    }
    std::vector<std::pair<std::string, Duration>> drawn;
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

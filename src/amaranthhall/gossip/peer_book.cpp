#include "amaranthhall/gossip/peer_book.hpp"

#include "amaranthhall/membership/rendezvous.hpp"

#include <algorithm>
#include <iterator>

namespace amaranthhall::gossip {

void PeerBook::add(std::string_view vm, const kernel::Address& address, Time now)
{
    const auto [place, isNew] = this->peers.try_emplace(std::string(vm), Peer { .addedAt = now });
    place->second.address = address;
}

void PeerBook::noteHeard(std::string_view vm, const kernel::Address& address, Time now)
{
    this->add(vm, address, now);
    this->peers.find(vm)->second.heardAt = now;
}

void PeerBook::remove(std::string_view vm)
{
    const auto found = this->peers.find(vm);
    if (found != this->peers.end())
        this->peers.erase(found);
}

void PeerBook::forgetSilent(Time now)
{
    std::erase_if(this->peers, [now](const auto& item) { return now - std::max(item.second.heardAt, item.second.addedAt) > forgetSpan; });
}

std::vector<kernel::Address> PeerBook::draw(std::size_t count, Random& random) const
{
    std::vector<kernel::Address> all;
    for (const auto& [vm, peer] : this->peers)
        all.push_back(peer.address);
    if (all.size() <= count)
        return all;
    std::vector<kernel::Address> drawn;
    std::sample(all.begin(), all.end(), std::back_inserter(drawn), count, random);
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

std::vector<std::string> PeerBook::names() const
{
    std::vector<std::string> all;
    for (const auto& [vm, peer] : this->peers)
        all.push_back(vm);
    return all;
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
    return found == this->peers.end() ? std::nullopt : std::optional(found->second.address);
}

std::size_t rankFor(std::string_view task, std::string_view self, const std::vector<std::string>& others)
{
    const auto own = membership::rendezvousScore(self, task);
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const auto& other) { return membership::rendezvousScore(other, task) > own; }));
}

}

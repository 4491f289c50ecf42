#include "amaranthhall/relay/home_router.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthhall::relay {

HomeRouter::HomeRouter(kernel::Loop& usedLoop, const catalog::Catalog& usedCatalog, gossip::PeerBook& usedPeers, Options usedOptions)
    : loop(usedLoop)
    , catalog(usedCatalog)
    , peers(usedPeers)
    , options(std::move(usedOptions))
    , client(usedLoop)
{
}

HomeRouter::Basis HomeRouter::basis() const noexcept
{
    return { .membership = this->peers.membershipVersion(), .limits = this->catalog.limitsVersion(), .services = this->catalog.services() };
}

bool HomeRouter::refresh()
{
    const auto now = this->basis();
    if (this->computedFrom == now)
        return false;
    this->computedFrom = now;
    this->listDaemons();
    this->chosen.clear();
    this->homedServices.clear();
    for (const auto& service : this->catalog.serviceNames()) {
        if (this->choiceFor(service).isHome)
            this->homedServices.push_back(service);
    }
    this->listPartners();
    return true;
}

void HomeRouter::listDaemons()
{
    this->daemons.clear();
    this->daemons.push_back({ .vm = this->options.vm, .zone = this->options.zone, .cores = this->options.cores });
    for (const auto& [vm, peer] : this->peers.all())
        this->daemons.push_back({ .vm = vm, .zone = peer.profile.zone, .cores = peer.profile.cores });
}

void HomeRouter::listPartners()
{
    std::set<std::string> names;
    for (const auto& service : this->homedServices) {
        const auto& homes = this->choiceFor(service).homes;
        if (homes.size() < this->daemons.size())
            names.insert(homes.begin(), homes.end());
    }
    names.erase(this->options.vm);
    this->homePartners.assign(names.begin(), names.end());
}

HomeRouter::Choice HomeRouter::compute(std::string_view service) const
{
    const auto configuration = this->catalog.configuration();
    auto connections = static_cast<std::uint32_t>(this->daemons.size());
    if (configuration) {
        const auto spec = configuration->services.find(service);
        connections = spec == configuration->services.end() ? connections : spec->second.maximumConnections;
    }
    Choice choice { .homes = chooseHomes(service, this->daemons, connections) };
    choice.isHome = std::find(choice.homes.begin(), choice.homes.end(), this->options.vm) != choice.homes.end();
    return choice;
}

const HomeRouter::Choice& HomeRouter::choiceFor(std::string_view service)
{
    const auto found = this->chosen.find(service);
    if (found != this->chosen.end())
        return found->second;
    return this->chosen[std::string(service)] = this->compute(service);
}

const std::vector<std::string>& HomeRouter::homed()
{
    this->refresh();
    return this->homedServices;
}

const std::vector<std::string>& HomeRouter::partners()
{
    this->refresh();
    return this->homePartners;
}

const std::vector<std::string>& HomeRouter::homes(std::string_view service)
{
    this->refresh();
    return this->choiceFor(service).homes;
}

bool HomeRouter::isHome(std::string_view service)
{
    this->refresh();
    return this->choiceFor(service).isHome;
}

std::size_t HomeRouter::sharers(std::string_view service)
{
    return this->isHome(service) ? this->homes(service).size() : 0;
}

std::unique_ptr<engine::RelayStream> HomeRouter::open(std::string_view service, const std::vector<std::string>& tried)
{
    const auto now = this->loop.now();
    std::vector<HomeState> states;
    for (const auto& home : this->homes(service)) {
        const auto peer = this->peers.all().find(home);
        const bool isTried = std::find(tried.begin(), tried.end(), home) != tried.end();
        if (isTried || peer == this->peers.all().end())
            continue;
        states.push_back({
            .vm = peer->first,
            .zone = peer->second.profile.zone,
            .isAvoided = this->client.isAvoided(home, now),
            .isSilent = !this->peers.isLive(home, now),
            .outstanding = this->client.outstanding(home),
        });
    }
    const auto chosenHome = chooseHome(states, this->options.vm, this->options.zone);
    if (!chosenHome)
        return nullptr;
    const std::string home(states[*chosenHome].vm);
    const auto address = this->peers.addressOf(home);
    if (!address)
        return nullptr;
    return this->client.open(home, { .host = address->host, .port = this->options.relayPort });
}

}

#include "amaranthhall/relay/home_router.hpp"

#include "amaranthhall/relay/homes.hpp"

#include <algorithm>
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

void HomeRouter::refresh()
{
    for (auto& [service, homes] : this->chosen)
        homes = this->compute(service);
}

std::vector<std::string> HomeRouter::compute(std::string_view service) const
{
    std::vector<Daemon> daemons { { .vm = this->options.vm, .zone = this->options.zone, .cores = this->options.cores } };
    for (const auto& [vm, peer] : this->peers.all())
        daemons.push_back({ .vm = vm, .zone = peer.profile.zone, .cores = peer.profile.cores });
    const auto configuration = this->catalog.configuration();
    const auto spec = configuration ? configuration->services.find(service) : std::map<std::string, catalog::ServiceSpec, std::less<>>::const_iterator();
    const bool isKnown = configuration && spec != configuration->services.end();
    const auto connections = isKnown ? spec->second.maximumConnections : static_cast<std::uint32_t>(daemons.size());
    return chooseHomes(service, daemons, connections);
}

const std::vector<std::string>& HomeRouter::homes(std::string_view service)
{
    const auto found = this->chosen.find(service);
    if (found != this->chosen.end())
        return found->second;
    return this->chosen[std::string(service)] = this->compute(service);
}

bool HomeRouter::isHome(std::string_view service)
{
    const auto& known = this->homes(service);
    return std::find(known.begin(), known.end(), this->options.vm) != known.end();
}

std::size_t HomeRouter::sharers(std::string_view service)
{
    return this->isHome(service) ? this->homes(service).size() : 0;
}

std::unique_ptr<engine::RelayStream> HomeRouter::open(std::string_view service, const std::vector<std::string>& tried)
{
    std::vector<HomeState> states;
    for (const auto& home : this->homes(service)) {
        const auto peer = this->peers.all().find(home);
        const bool isTried = std::find(tried.begin(), tried.end(), home) != tried.end();
        if (!isTried && peer != this->peers.all().end())
            states.push_back({ .vm = peer->first, .zone = peer->second.profile.zone, .isAvoided = this->client.isAvoided(home, this->loop.now()), .outstanding = this->client.outstanding(home) });
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

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
    auto daemons = this->peers.names();
    daemons.push_back(this->options.vm);
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
    const auto now = this->loop.now();
    const std::string* best = nullptr;
    std::pair<bool, std::size_t> bestRank;
    for (const auto& home : this->homes(service)) {
        const bool isTried = std::find(tried.begin(), tried.end(), home) != tried.end();
        if (isTried || home == this->options.vm)
            continue;
        const std::pair rank { this->client.isAvoided(home, now), this->client.outstanding(home) };
        if (!best || rank < bestRank) {
            best = &home;
            bestRank = rank;
        }
    }
    const auto address = best ? this->peers.addressOf(*best) : std::nullopt;
    if (!address)
        return nullptr;
    return this->client.open(*best, { .host = address->host, .port = this->options.relayPort });
}

}

#include "amaranthhall/relay/home_router.hpp"

#include <algorithm>
#include <utility>

namespace amaranthhall::relay {

namespace {

    constexpr Duration reachLifetime = std::chrono::milliseconds(1500); // what is older says nothing of a way that comes and goes

}

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
    this->listAudiences();
    return true;
}

void HomeRouter::listDaemons()
{
    this->daemons.clear();
    this->daemons.push_back({ .vm = this->options.vm, .zone = this->options.zone, .cores = this->options.cores });
    for (const auto& [vm, peer] : this->peers.all())
        this->daemons.push_back({ .vm = vm, .zone = peer.profile.zone, .cores = peer.profile.cores });
}

void HomeRouter::listAudiences()
{
    std::map<std::string, std::vector<std::string>> servicesOf; ///< By the other home.
    for (const auto& service : this->homedServices) {
        const auto& homes = this->choiceFor(service).homes;
        if (homes.size() == this->daemons.size())
            continue;
        for (const auto& home : homes)
            servicesOf[home].push_back(service);
    }
    servicesOf.erase(this->options.vm);
    std::map<std::vector<std::string>, std::vector<std::string>> peersOf; ///< By their services.
    for (const auto& [peer, services] : servicesOf)
        peersOf[services].push_back(peer);
    this->homeAudiences.clear();
    for (const auto& [services, others] : peersOf) {
        std::size_t tellers = 1;
        for (const auto& service : services)
            tellers = std::max(tellers, this->choiceFor(service).homes.size() - 1);
        this->homeAudiences.push_back({ .peers = others, .services = services, .tellers = tellers });
    }
}

HomeRouter::Choice HomeRouter::compute(std::string_view service) const
{
    const auto configuration = this->catalog.configuration();
    auto connections = static_cast<std::uint32_t>(this->daemons.size());
    if (configuration) {
        const auto spec = configuration->services.find(service);
        connections = spec == configuration->services.end() ? connections : spec->second.maximumConnections;
    }
    Choice choice { .homes = chooseHomes(service, this->daemons, { .connections = connections, .services = this->computedFrom ? this->computedFrom->services : 1 }) };
    choice.isHome = std::find(choice.homes.begin(), choice.homes.end(), this->options.vm) != choice.homes.end();
    return choice;
}

HomeRouter::Choice& HomeRouter::choiceFor(std::string_view service)
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

const std::vector<gossip::GossipNode::Audience>& HomeRouter::audiences()
{
    this->refresh();
    return this->homeAudiences;
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

void HomeRouter::noteReach(std::string_view service, const std::string& vm, engine::LeaderReach reach)
{
    this->choiceFor(service).reaches[vm] = { .reach = reach, .at = this->loop.now() };
}

engine::LeaderReach HomeRouter::reachOf(const Choice& choice, const std::string& vm, Time now) const
{
    const auto found = choice.reaches.find(vm);
    const bool isRecent = found != choice.reaches.end() && now - found->second.at < reachLifetime;
    return isRecent ? found->second.reach : engine::LeaderReach::Unknown;
}

std::unique_ptr<engine::RelayStream> HomeRouter::open(const engine::RelayWant& want)
{
    this->refresh();
    const auto& choice = this->choiceFor(want.service);
    const auto now = this->loop.now();
    std::vector<HomeState> states;
    for (const auto& home : choice.homes) {
        const auto peer = this->peers.all().find(home);
        const bool isTried = std::find(want.tried.begin(), want.tried.end(), home) != want.tried.end();
        if (isTried || peer == this->peers.all().end())
            continue;
        states.push_back({
            .vm = peer->first,
            .zone = peer->second.profile.zone,
            .isAvoided = this->client.isAvoided(home, now),
            .isSilent = !this->peers.isLive(home, now),
            .reach = this->reachOf(choice, home, now),
            .outstanding = this->client.outstanding(home),
        });
    }
    const bool seeksProof = choice.isHome || !want.tried.empty();
    const auto chosenHome = chooseHome(states, { .vm = this->options.vm, .zone = this->options.zone, .needsLeader = want.needsLeader, .seeksProof = seeksProof });
    if (!chosenHome)
        return nullptr;
    const std::string home(states[*chosenHome].vm);
    const auto address = this->peers.addressOf(home);
    if (!address)
        return nullptr;
    return this->client.open(home, { .host = address->host, .port = this->options.relayPort });
}

}

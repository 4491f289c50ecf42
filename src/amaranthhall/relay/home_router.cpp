#include "amaranthhall/relay/home_router.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthhall::relay {

namespace {

    constexpr Duration reachLifetime = std::chrono::milliseconds(1500); // what is older says nothing of a way that comes and goes

}

HomeRouter::HomeRouter(kernel::Loop& usedLoop, const catalog::Catalog& usedCatalog, gossip::PeerRegistry& usedPeers, Options usedOptions)
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
    const auto changes = this->takeMembership();
    this->computedFrom = now;
    for (auto& [service, choice] : this->chosen)
        this->update(choice, service, changes);
    this->listHomed();
    this->listAudiences();
    return true;
}

/// Makes the first choice, if there was none.
void HomeRouter::ensureChosen()
{
    if (!this->computedFrom)
        this->refresh();
}

/// Takes in which daemons have come, gone or changed since; one that has changed has gone and come.
HomeRouter::Membership HomeRouter::takeMembership()
{
    Membership changes;
    const auto isAsBefore = [this](const Daemon& daemon) {
        if (daemon.vm == this->options.vm)
            return true;
        const auto peer = this->peers.all().find(daemon.vm);
        return peer != this->peers.all().end() && peer->second.profile.zone == daemon.zone && peer->second.profile.cores == daemon.cores;
    };
    for (auto place = this->daemons.begin(); place != this->daemons.end();) {
        const auto next = std::next(place);
        if (!isAsBefore(place->second))
            changes.went.push_back(this->daemons.extract(place));
        place = next;
    }
    const auto add = [&](const Daemon& daemon) {
        const auto [place, isNew] = this->daemons.try_emplace(daemon.vm, daemon);
        if (isNew)
            changes.came.push_back(&place->second);
    };
    add({ .vm = this->options.vm, .zone = this->options.zone, .cores = this->options.cores });
    for (const auto& [vm, peer] : this->peers.all())
        add({ .vm = vm, .zone = peer.profile.zone, .cores = peer.profile.cores });
    this->listed.clear();
    for (const auto& [vm, daemon] : this->daemons)
        this->listed.push_back(&daemon);
    this->fleet = sizeOf(this->listed);
    return changes;
}

HomeCount HomeRouter::countFor(std::string_view service) const
{
    const auto configuration = this->catalog.configuration();
    auto connections = static_cast<std::uint32_t>(this->listed.size());
    if (configuration) {
        const auto spec = configuration->services.find(service);
        connections = spec == configuration->services.end() ? connections : spec->second.maximumConnections;
    }
    return countHomes(this->fleet, { .connections = connections, .services = this->catalog.services() });
}

void HomeRouter::computeWhole(Choice& choice, std::string_view service) const
{
    choice.count = this->countFor(service);
    choice.ranking = rankDaemons(service, this->listed, choice.count);
    this->pick(choice);
}

void HomeRouter::pick(Choice& choice) const
{
    choice.homes = pickHomes(choice.ranking, choice.count);
    choice.isHome = std::find(choice.homes.begin(), choice.homes.end(), this->options.vm) != choice.homes.end();
}

/// Chooses the homes of a service anew, as far as daemons that came or went make a difference to it.
void HomeRouter::update(Choice& choice, std::string_view service, const Membership& changes) const
{
    const auto isRanked = [&choice](const auto& gone) {
        return std::any_of(choice.ranking.begin(), choice.ranking.end(), [&gone](const Candidate& candidate) { return candidate.daemon == &gone.mapped(); });
    };
    const bool lacksOne = std::any_of(changes.went.begin(), changes.went.end(), isRanked);
    if (lacksOne || choice.count != this->countFor(service)) {
        this->computeWhole(choice, service);
        return;
    }
    bool isChanged = false;
    for (const auto* daemon : changes.came)
        isChanged = addDaemon(choice.ranking, service, *daemon, choice.count) || isChanged;
    if (isChanged)
        this->pick(choice);
}

void HomeRouter::listHomed()
{
    this->homedServices.clear();
    for (const auto& service : this->catalog.serviceNames()) {
        if (this->choiceFor(service).isHome)
            this->homedServices.push_back(service);
    }
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
        std::size_t senders = 1;
        for (const auto& service : services)
            senders = std::max(senders, this->choiceFor(service).homes.size() - 1);
        this->homeAudiences.push_back({ .peers = others, .services = services, .senders = senders });
    }
}

HomeRouter::Choice& HomeRouter::choiceFor(std::string_view service)
{
    const auto found = this->chosen.find(service);
    if (found != this->chosen.end())
        return found->second;
    auto& choice = this->chosen[std::string(service)];
    this->computeWhole(choice, service);
    return choice;
}

const std::vector<std::string>& HomeRouter::homed()
{
    this->ensureChosen();
    return this->homedServices;
}

const std::vector<gossip::GossipNode::Audience>& HomeRouter::audiences()
{
    this->ensureChosen();
    return this->homeAudiences;
}

const std::vector<std::string>& HomeRouter::homes(std::string_view service)
{
    this->ensureChosen();
    return this->choiceFor(service).homes;
}

bool HomeRouter::isHome(std::string_view service)
{
    this->ensureChosen();
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
    this->ensureChosen();
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

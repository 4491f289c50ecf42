#include "amaranthhall/relay/home_router.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthhall::relay {

namespace {

    constexpr Duration reachObservationLifetime = std::chrono::milliseconds(1500); // an older observation is no evidence on an intermittent connection

}

HomeRouter::HomeRouter(kernel::Loop& usedLoop, const catalog::Catalog& usedCatalog, gossip::PeerRegistry& usedPeers, Options usedOptions)
    : loop(usedLoop)
    , catalog(usedCatalog)
    , peers(usedPeers)
    , options(std::move(usedOptions))
    , client(usedLoop, this->options.traffic)
{
}

HomeRouter::ChoiceInputs HomeRouter::currentInputs() const noexcept
{
    return { .membership = this->peers.membershipVersion(), .limits = this->catalog.limitsVersion(), .services = this->catalog.services() };
}

bool HomeRouter::refresh()
{
    const auto now = this->currentInputs();
    if (this->choiceInputs == now)
        return false;
    const auto changes = this->updateMembership();
    this->choiceInputs = now;
    for (auto& [service, choice] : this->choices)
        this->updateChoice(choice, service, changes);
    this->rebuildLocalServices();
    this->rebuildAudiences();
    return true;
}

/// Makes the first selection if refresh() has not been called yet.
void HomeRouter::ensureComputed()
{
    if (!this->choiceInputs)
        this->refresh();
}

/// Applies changes of the peer list to the daemons; a daemon whose zone or cores changed counts as removed and added.
HomeRouter::MembershipChanges HomeRouter::updateMembership()
{
    MembershipChanges changes;
    const auto isUnchanged = [this](const Daemon& daemon) {
        if (daemon.vm == this->options.vm)
            return true;
        const auto peer = this->peers.all().find(daemon.vm);
        return peer != this->peers.all().end() && peer->second.profile.zone == daemon.zone && peer->second.profile.cores == daemon.cores;
    };
    for (auto entry = this->daemons.begin(); entry != this->daemons.end();) {
        const auto next = std::next(entry);
        if (!isUnchanged(entry->second))
            changes.removed.push_back(this->daemons.extract(entry));
        entry = next;
    }
    const auto add = [&](const Daemon& daemon) {
        const auto [entry, isNew] = this->daemons.try_emplace(daemon.vm, daemon);
        if (isNew)
            changes.added.push_back(&entry->second);
    };
    add({ .vm = this->options.vm, .zone = this->options.zone, .cores = this->options.cores });
    for (const auto& [vm, peer] : this->peers.all())
        add({ .vm = vm, .zone = peer.profile.zone, .cores = peer.profile.cores });
    this->daemonList.clear();
    for (const auto& [vm, daemon] : this->daemons)
        this->daemonList.push_back(&daemon);
    this->fleetSize = measureFleet(this->daemonList);
    return changes;
}

HomeCount HomeRouter::countFor(std::string_view service) const
{
    const auto configuration = this->catalog.configuration();
    auto connections = static_cast<std::uint32_t>(this->daemonList.size());
    if (configuration) {
        const auto spec = configuration->services.find(service);
        connections = spec == configuration->services.end() ? connections : spec->second.maximumConnections;
    }
    return countHomes(this->fleetSize, { .connections = connections, .services = this->catalog.services(), .hasOrganisations = configuration && configuration->organisations });
}

void HomeRouter::recompute(Choice& choice, std::string_view service) const
{
    choice.count = this->countFor(service);
    choice.ranking = rankDaemons(service, this->daemonList, choice.count);
    this->selectHomesFor(choice);
}

void HomeRouter::selectHomesFor(Choice& choice) const
{
    choice.homes = homesFromRanking(choice.ranking, choice.count);
    choice.hasLocalConnections = std::find(choice.homes.begin(), choice.homes.end(), this->options.vm) != choice.homes.end();
}

/// Updates the homes of a service, doing only the work that the added and removed daemons require.
void HomeRouter::updateChoice(Choice& choice, std::string_view service, const MembershipChanges& changes) const
{
    const auto isRanked = [&choice](const auto& gone) {
        return std::any_of(choice.ranking.begin(), choice.ranking.end(), [&gone](const Candidate& candidate) { return candidate.daemon == &gone.mapped(); });
    };
    const bool lostRankedDaemon = std::any_of(changes.removed.begin(), changes.removed.end(), isRanked);
    if (lostRankedDaemon || choice.count != this->countFor(service)) {
        this->recompute(choice, service);
        return;
    }
    bool hasChanged = false;
    for (const auto* daemon : changes.added)
        hasChanged = insertDaemon(choice.ranking, service, *daemon, choice.count) || hasChanged;
    if (hasChanged)
        this->selectHomesFor(choice);
}

void HomeRouter::rebuildLocalServices()
{
    this->localServiceNames.clear();
    for (const auto& service : this->catalog.serviceNames()) {
        if (this->choiceFor(service).hasLocalConnections)
            this->localServiceNames.push_back(service);
    }
}

void HomeRouter::rebuildAudiences()
{
    std::map<std::string, std::vector<std::string>> servicesOf; ///< By the VM of the other home.
    for (const auto& service : this->localServiceNames) {
        const auto& homes = this->choiceFor(service).homes;
        if (homes.size() == this->daemons.size())
            continue;
        for (const auto& home : homes)
            servicesOf[home].push_back(service);
    }
    servicesOf.erase(this->options.vm);
    std::map<std::pair<std::vector<std::string>, bool>, std::vector<std::string>> peersOf; ///< By the services in common and whether the peers are in another zone.
    for (const auto& [peer, services] : servicesOf)
        peersOf[{ services, this->daemons.find(peer)->second.zone != this->options.zone }].push_back(peer);
    this->audienceList.clear();
    for (const auto& [key, others] : peersOf) {
        const auto& [services, isOtherZone] = key;
        std::size_t senders = 1;
        for (const auto& service : services)
            senders = std::max(senders, this->choiceFor(service).homes.size() - 1);
        this->audienceList.push_back({ .peers = others, .services = services, .senders = senders, .isOtherZone = isOtherZone });
    }
}

HomeRouter::Choice& HomeRouter::choiceFor(std::string_view service)
{
    const auto found = this->choices.find(service);
    if (found != this->choices.end())
        return found->second;
    auto& choice = this->choices[std::string(service)];
    this->recompute(choice, service);
    return choice;
}

const std::vector<std::string>& HomeRouter::localServices()
{
    this->ensureComputed();
    return this->localServiceNames;
}

const std::vector<gossip::GossipNode::Audience>& HomeRouter::audiences()
{
    this->ensureComputed();
    return this->audienceList;
}

const std::vector<std::string>& HomeRouter::homes(std::string_view service)
{
    this->ensureComputed();
    return this->choiceFor(service).homes;
}

bool HomeRouter::hasLocalConnections(std::string_view service)
{
    this->ensureComputed();
    return this->choiceFor(service).hasLocalConnections;
}

/// Returns whether a daemon runs relayed statements for their organisation; one of an earlier version would run them for none.
bool HomeRouter::runsOrganisations(const std::string& vm) const
{
    if (vm == this->options.vm)
        return true;
    const auto peer = this->peers.all().find(vm);
    return peer != this->peers.all().end() && peer->second.profile.relayVersion >= gossip::organisationRelayVersion;
}

bool HomeRouter::isHomeOf(std::string_view service, std::string_view organisation)
{
    if (organisation.empty() || !this->hasLocalConnections(service))
        return this->hasLocalConnections(service);
    std::vector<std::string> homes;
    for (const auto& home : this->homes(service)) {
        if (this->runsOrganisations(home))
            homes.push_back(home);
    }
    const auto home = homeOfOrganisation(homes, organisationKey(service, organisation));
    return home && homes[*home] == this->options.vm;
}

std::size_t HomeRouter::sharers(std::string_view service)
{
    return this->hasLocalConnections(service) ? this->homes(service).size() : 0;
}

void HomeRouter::noteLeaderReachability(std::string_view service, const std::string& vm, engine::LeaderReachability reach)
{
    this->choiceFor(service).reaches[vm] = { .reach = reach, .at = this->loop.now() };
}

engine::LeaderReachability HomeRouter::knownReach(const Choice& choice, const std::string& vm, Time now) const
{
    const auto found = choice.reaches.find(vm);
    const bool isRecent = found != choice.reaches.end() && now - found->second.at < reachObservationLifetime;
    return isRecent ? found->second.reach : engine::LeaderReachability::Unknown;
}

/// Returns the zone of the upstream that is registered as leader; empty if none or more than one is.
std::string_view HomeRouter::leaderZoneOf(std::string_view service) const
{
    std::string_view zone;
    for (const auto* known : this->catalog.upstreamsOf(service)) {
        if (known->entry.role != catalog::Role::Primary)
            continue;
        if (!zone.empty() && zone != known->entry.zone)
            return {};
        zone = known->entry.zone;
    }
    return zone;
}

std::unique_ptr<engine::RelayStream> HomeRouter::open(const engine::RelayRequirements& want)
{
    this->ensureComputed();
    const auto& choice = this->choiceFor(want.service);
    const auto now = this->loop.now();
    std::vector<HomeState> states;
    for (const auto& home : choice.homes) {
        const auto peer = this->peers.all().find(home);
        const bool isTried = std::find(want.tried.begin(), want.tried.end(), home) != want.tried.end();
        const bool isTooOld = !want.organisation.empty() && !this->runsOrganisations(home);
        if (isTried || isTooOld || peer == this->peers.all().end())
            continue;
        states.push_back({
            .vm = peer->first,
            .zone = peer->second.profile.zone,
            .isAvoided = this->client.isAvoided(home, now),
            .isSilent = !this->peers.isLive(home, now),
            .reach = this->knownReach(choice, home, now),
            .outstanding = this->client.outstanding(home),
        });
    }
    const bool prefersProvenReach = choice.hasLocalConnections || !want.tried.empty();
    const auto affinityKey = organisationKey(want.service, want.organisation);
    const auto chosenHome = chooseHomeForStatement(states, { .vm = this->options.vm, .zone = this->options.zone, .needsLeader = want.needsLeader, .leaderZone = this->leaderZoneOf(want.service), .leaderRoundTrips = want.leaderRoundTrips, .affinityKey = affinityKey, .prefersProvenReach = prefersProvenReach });
    if (!chosenHome)
        return nullptr;
    const auto home = this->peers.all().find(states[*chosenHome].vm);
    return this->client.open(home->first, { .host = home->second.profile.address.host, .port = this->options.relayPort }, home->second.profile.zone);
}

}

#include "amaranthhall/quota/io/quota_service.hpp"

#include "amaranthhall/freshness/boot_clock.hpp"
#include "amaranthhall/hashing/rendezvous.hpp"
#include "amaranthhall/telemetry/log.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace amaranthhall::quota {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t rankedDaemons = 3; // the owner and two successors
    constexpr Duration tickInterval = 200ms;
    constexpr Duration suspensionThreshold = 700ms; // a longer time between two ticks means that the VM stood still, and others may own its buckets

}

QuotaService::QuotaService(kernel::Loop& usedLoop, const catalog::Catalog& catalog, const gossip::PeerRegistry& usedPeers, Options usedOptions, telemetry::Metrics& metrics)
    : loop(usedLoop)
    , peers(usedPeers)
    , options(std::move(usedOptions))
    , owner(usedLoop, catalog, *this, this->options.bound, metrics)
    , holder(
          usedLoop, *this, this->options.bound,
          {
              .configurationVersion = [&catalog] { return catalog.configuration() ? catalog.configuration()->version : 0; },
          },
          metrics)
    , socket(usedLoop, this->options.listen, [this](auto bytes) { this->receive(bytes); })
    , lastTickAt(this->now())
    , ticker(usedLoop.every(tickInterval, [this] { this->tick(); }))
{
}

Time QuotaService::now() const noexcept
{
    return Time(std::chrono::microseconds(freshness::bootNow()));
}

const std::vector<std::string>& QuotaService::ranking(std::string_view organisation)
{
    if (std::exchange(this->rankedMembership, this->peers.membershipVersion()) != this->peers.membershipVersion())
        this->rankings.clear();
    const auto found = this->rankings.find(organisation);
    if (found != this->rankings.end())
        return found->second;
    return this->rankings.emplace(organisation, this->rank(organisation)).first->second;
}

std::vector<std::string> QuotaService::rank(std::string_view organisation) const
{
    const auto key = std::string("quota/").append(organisation);
    std::vector<std::pair<double, std::string_view>> scores;
    for (const auto& [vm, peer] : this->peers.all())
        scores.emplace_back(hashing::weightedScore(vm, key, peer.profile.cores), vm);
    if (!this->isStopping)
        scores.emplace_back(hashing::weightedScore(this->options.vm, key, this->options.cores), this->options.vm);
    const auto kept = std::min(rankedDaemons, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept), scores.end(), std::greater<>());
    std::vector<std::string> ranked;
    for (std::size_t i = 0; i < kept; ++i)
        ranked.emplace_back(scores[i].second);
    return ranked;
}

const std::vector<std::string>& QuotaService::voters(std::string_view organisation)
{
    this->updateElectorate();
    if (std::exchange(this->rankedElectorate, this->electorate.version()) != this->electorate.version())
        this->voterLists.clear();
    const auto found = this->voterLists.find(organisation);
    if (found != this->voterLists.end())
        return found->second;
    const Member self { .vm = this->options.vm, .cores = this->options.cores };
    return this->voterLists.emplace(organisation, this->electorate.voters(organisation, self)).first->second;
}

void QuotaService::updateElectorate()
{
    if (this->electorateMembership == this->peers.membershipVersion())
        return;
    this->electorateMembership = this->peers.membershipVersion();
    this->electorate.update(this->peers, this->loop.now());
}

std::optional<kernel::Address> QuotaService::addressOf(std::string_view vm) const
{
    if (vm == this->options.vm)
        return this->options.listen;
    auto address = this->peers.addressOf(vm);
    if (address)
        address->port = this->options.listen.port;
    return address;
}

void QuotaService::send(const kernel::Address& to, const std::string& organisation, Content content)
{
    Message message;
    message.sender = this->options.vm;
    message.replyTo = this->options.listen;
    message.organisation = organisation;
    message.content = std::move(content);
    if (to == this->options.listen) {
        this->loop.post([this, lifetime = std::weak_ptr(this->alive), message = std::move(message)]() mutable {
            if (lifetime.expired())
                return;
            if (auto* request = std::get_if<GrantRequestMessage>(&message.content))
                request->request.holder = holderName(message.sender, request->instance);
            this->handle(message);
        });
        return;
    }
    const auto bytes = encodeMessage(message);
    if (this->options.traffic)
        this->options.traffic->bytesOfHost(telemetry::TrafficKind::Quota, to.host).sent += bytes.size();
    this->socket.send(to, bytes);
}

void QuotaService::receive(std::string_view bytes)
{
    if (const auto message = decodeMessage(bytes))
        this->handle(*message);
    else
        telemetry::logEvent(telemetry::LogLevel::Warning, "quota.malformed_message", { { "bytes", bytes.size() } });
}

void QuotaService::handle(const Message& message)
{
    if (const auto* request = std::get_if<GrantRequestMessage>(&message.content))
        this->owner.onGrantRequest(message, *request);
    else if (const auto* grant = std::get_if<GrantMessage>(&message.content))
        this->holder.onGrant(message, *grant);
    else if (const auto* release = std::get_if<ReleaseMessage>(&message.content))
        this->owner.onRelease(message, *release);
    else if (const auto* leaseRequest = std::get_if<LeaseRequestMessage>(&message.content))
        this->owner.onLeaseRequest(message, *leaseRequest);
    else if (const auto* lease = std::get_if<LeaseMessage>(&message.content))
        this->owner.onLease(message, *lease);
    else
        this->owner.onReleaseRequest(message);
}

void QuotaService::tick()
{
    const auto now = this->now();
    if (now - std::exchange(this->lastTickAt, now) > suspensionThreshold)
        this->owner.dropAll();
    this->updateElectorate();
    this->electorate.observe(this->peers, this->loop.now());
    this->owner.removeUnused();
    this->holder.removeUnused();
}

void QuotaService::stop()
{
    this->isStopping = true;
    this->rankings.clear();
    this->owner.handOver();
}

}

#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// Simulates daemons that exchange activity ages through the real peer registry and digest codec on a virtual clock.
class FleetSimulation {
public:
    explicit FleetSimulation(std::size_t size, std::size_t usedZones = 6)
        : zones(usedZones)
        , registries(size)
    {
        for (std::size_t self = 0; self < size; ++self) {
            for (std::size_t other = 0; other < size; ++other) {
                if (other != self)
                    this->registries[self].noteActivity(vmName(other), this->profileOf(other), this->now);
            }
        }
    }

    /// Runs rounds of datagrams with 10% loss.
    void runRounds(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            this->now += gossipInterval;
            for (std::size_t self = 0; self < this->registries.size(); ++self)
                this->sendRound(self);
        }
        this->simulatedTime += gossipInterval * rounds;
    }

    /// Returns the bytes that each daemon sends per second on average.
    [[nodiscard]] double bytesPerSecond() const
    {
        return static_cast<double>(this->sent) / static_cast<double>(this->registries.size()) / std::chrono::duration<double>(this->simulatedTime).count();
    }

    /// Returns the bytes that all daemons send to other zones per second.
    [[nodiscard]] double bytesAcrossPerSecond() const { return static_cast<double>(this->sentAcross) / std::chrono::duration<double>(this->simulatedTime).count(); }

    /// Returns the share of the daemons that another one wrongly considers silent.
    [[nodiscard]] double silentShare() const
    {
        std::size_t silent = 0;
        for (const auto& registry : this->registries)
            silent += registry.size() - registry.liveNames(this->now).size();
        return static_cast<double>(silent) / static_cast<double>(this->registries.size() * (this->registries.size() - 1));
    }

    /// Returns the longest time since the last activity of any daemon as known to the first `observers` daemons.
    [[nodiscard]] Duration longestInactivity(std::size_t observers) const
    {
        Duration longest { 0 };
        for (std::size_t self = 0; self < observers; ++self) {
            for (const auto& [vm, peer] : this->registries[self].all())
                longest = std::max(longest, this->now - peer.lastActivity);
        }
        return longest;
    }

private:
    static constexpr Duration gossipInterval = 200ms;
    static constexpr std::size_t largeFanOut = 3;
    static constexpr std::size_t mediumFanOut = 5;

    static std::string vmName(std::size_t index) { return "front-zone-" + std::to_string(index); }

    [[nodiscard]] gossip::VmProfile profileOf(std::size_t index) const
    {
        return { .address = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(index) }, .zone = "zone-" + std::to_string(index % this->zones), .cores = 0.12 };
    }

    void sendRound(std::size_t self)
    {
        gossip::Digest digest { .vm = vmName(self), .profile = this->profileOf(self), .copies = { .configuration = { .newestRow = { .number = 70'000 }, .verifiedAt = 86'400'000'000, .verifiedVersion = 70'002 }, .upstreams = { .newestRow = { .number = 70'001 }, .verifiedAt = 86'400'000'000, .verifiedVersion = 70'002 }, .fleet = { .newestRow = { .number = 70'002 }, .verifiedAt = 86'400'000'000, .verifiedVersion = 70'002 } } };
        const bool isLarge = this->registries[self].size() > gossip::PeerRegistry::largeFleetSize;
        const auto count = std::clamp<std::size_t>(this->registries[self].size() / 4, isLarge ? 16 : 8, 64);
        for (const auto& [shortId, age] : this->registries[self].sampleActivityAges(count, this->now, this->random))
            digest.activityAges.push_back({ .shortId = shortId, .age = std::chrono::ceil<std::chrono::milliseconds>(age) });
        const auto targets = this->registries[self].samplePeers(isLarge ? largeFanOut : mediumFanOut, digest.profile.zone, this->random);
        this->send(self, targets.sameZone, digest);
        if (!isLarge)
            digest.activityAges.clear();
        this->send(self, targets.otherZones, digest);
    }

    void send(std::size_t self, const std::vector<kernel::Address>& targets, const gossip::Digest& digest)
    {
        const auto bytes = gossip::encodeDigest(digest);
        for (const auto& target : targets) {
            this->sent += bytes.size();
            if (target.port % this->zones != self % this->zones)
                this->sentAcross += bytes.size();
            if (std::uniform_int_distribution<int>(0, 9)(this->random) != 0)
                this->receive(target.port, *gossip::decodeDigest(bytes));
        }
    }

    void receive(std::size_t self, const gossip::Digest& digest)
    {
        auto& registry = this->registries[self];
        registry.noteActivity(digest.vm, digest.profile, this->now);
        for (const auto& entry : digest.activityAges)
            registry.noteIndirectActivity(entry.shortId, this->now - entry.age);
    }

    std::size_t zones;
    std::vector<gossip::PeerRegistry> registries;
    Random random { 3 };
    Time now { 1000s };
    Duration simulatedTime { 0 };
    std::size_t sent { 0 };
    std::size_t sentAcross { 0 };
};

}

TEST_GROUP(FleetSimulation) {};

// All control traffic of a daemon must stay below 10 kB/s; membership traffic must leave room for the rest.
TEST(FleetSimulation, MembershipTrafficPerDaemonIsTheSameFor300And1000Daemons)
{
    FleetSimulation small(300);
    small.runRounds(25);
    FleetSimulation large(1000);
    large.runRounds(25);
    CHECK(large.bytesPerSecond() < 10'000);
    CHECK(large.bytesPerSecond() < small.bytesPerSecond() * 1.1);
}

TEST(FleetSimulation, NoLiveDaemonOf300IsRemoved)
{
    FleetSimulation fleet(300);
    fleet.runRounds(60);
    CHECK(fleet.longestInactivity(50) < gossip::PeerRegistry::removalTimeout);
}

// Gossip that ignored zones: 25 daemons in 3 zones sent 36 kB/s to other zones, and at any time each considered 19 % of the others silent that were not.
TEST(FleetSimulation, AMediumFleetKnowsWhoIsLiveWithFewBytesBetweenZones)
{
    FleetSimulation fleet(25, 3);
    double silent = 0;
    constexpr int observations = 50;
    for (int i = 0; i < observations; ++i) {
        fleet.runRounds(5);
        silent += fleet.silentShare() / observations;
    }
    CHECK(fleet.bytesAcrossPerSecond() < 36'000 / 2.0);
    CHECK(silent < 0.05);
}

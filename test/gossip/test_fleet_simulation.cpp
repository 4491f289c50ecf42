#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/peer_registry.hpp"
#include "amaranthhall/hashing/rendezvous.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

/// Daemons that know each other and tell ages by the real books and the real codec, on a clock of the test.
class FleetModel {
public:
    explicit FleetModel(std::size_t size)
        : books(size)
    {
        for (std::size_t self = 0; self < size; ++self) {
            for (std::size_t other = 0; other < size; ++other) {
                if (other != self)
                    this->books[self].noteHeard(nameOf(other), profileOf(other), this->now);
            }
        }
    }

    /// Plays some rounds of datagrams; one in ten is lost.
    void play(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            this->now += interval;
            for (std::size_t self = 0; self < this->books.size(); ++self)
                this->tell(self);
        }
        this->played += interval * rounds;
    }

    /// Gives the bytes that a daemon sends in a second.
    [[nodiscard]] double bytesPerSecond() const
    {
        return static_cast<double>(this->sent) / static_cast<double>(this->books.size()) / std::chrono::duration<double>(this->played).count();
    }

    /// Gives the longest time since one of some daemons was heard of by another.
    [[nodiscard]] Duration longestSilence(std::size_t looked) const
    {
        Duration longest { 0 };
        for (std::size_t self = 0; self < looked; ++self) {
            for (const auto& [vm, peer] : this->books[self].all())
                longest = std::max(longest, this->now - peer.heardAt);
        }
        return longest;
    }

private:
    static constexpr Duration interval = 200ms;
    static constexpr std::size_t fanOut = 3;
    static constexpr std::size_t zones = 6;

    static std::string nameOf(std::size_t number) { return "front-zone-" + std::to_string(number); }

    static gossip::VmProfile profileOf(std::size_t number)
    {
        return { .address = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(number) }, .zone = "zone-" + std::to_string(number % zones), .cores = 0.12 };
    }

    void tell(std::size_t self)
    {
        gossip::Digest digest { .vm = nameOf(self), .profile = profileOf(self), .versions = { .configuration = { .number = 70'000 }, .upstreams = { .number = 70'001 }, .fleet = { .number = 70'002 } } };
        const auto count = std::clamp<std::size_t>(this->books[self].size() / 4, 16, 64);
        for (const auto& [vm, age] : this->books[self].drawAges(count, this->now, this->random))
            digest.ages.push_back({ .vm = vm, .age = std::chrono::ceil<std::chrono::milliseconds>(age) });
        const auto bytes = gossip::encodeDigest(digest);
        for (const auto& target : this->books[self].draw(fanOut, digest.profile.zone, this->random)) {
            this->sent += bytes.size();
            if (std::uniform_int_distribution<int>(0, 9)(this->random) != 0)
                this->hear(target.port, *gossip::decodeDigest(bytes));
        }
    }

    void hear(std::size_t self, const gossip::Digest& digest)
    {
        auto& book = this->books[self];
        book.noteHeard(digest.vm, digest.profile, this->now);
        for (const auto& news : digest.ages)
            book.noteHeardOf(news.vm, this->now - news.age);
    }

    std::vector<gossip::PeerBook> books;
    Random random { 3 };
    Time now { 1000s };
    Duration played { 0 };
    std::size_t sent { 0 };
};

}

TEST_GROUP(FleetModel) {};

// The users' bound for all control of a daemon is 10 kB/s; what membership costs must leave room for the rest.
TEST(FleetModel, MembershipCostsADaemonTheSameAt300And1000Daemons)
{
    FleetModel small(300);
    small.play(25);
    FleetModel large(1000);
    large.play(25);
    CHECK(large.bytesPerSecond() < 10'000);
    CHECK(large.bytesPerSecond() < small.bytesPerSecond() * 1.1);
}

TEST(FleetModel, NoDaemonOf300IsForgottenWhileItLives)
{
    FleetModel fleet(300);
    fleet.play(60);
    CHECK(fleet.longestSilence(50) < gossip::PeerBook::forgetSpan);
}

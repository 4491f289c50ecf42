#include "amaranthhall/relay/home_router.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <ctime>
#include <map>
#include <random>

using namespace amaranthhall;

TEST_GROUP(HomeRouter)
{
    kernel::Loop loop;
    catalog::Catalog known;
    gossip::PeerRegistry peers;
    relay::HomeRouter router { this->loop, this->known, this->peers, { .vm = "me", .zone = "z0", .relayPort = 1 } };

    void setup() override
    {
        this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 36 } }, { "t", { .name = "t", .maximumConnections = 36 } } } });
        // Enough services that this daemon is a home of some.
        for (int number = 0; number < 40; ++number)
            this->known.put({ .id = "i" + std::to_string(number), .service = "s" + std::to_string(number) }, { .number = 1 }, this->loop.now());
        for (int number = 0; number < 60; ++number)
            this->hear("vm" + std::to_string(number), number);
    }

    void hear(const std::string& vm, int number)
    {
        const gossip::VmProfile profile { .address = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(number) }, .zone = "z" + std::to_string(number % 3) };
        this->peers.noteActivity(vm, profile, this->loop.now());
    }
};

// Load: a fleet at rest, in which every daemon hears of others many times a second.
TEST(HomeRouter, NothingIsComputedWhileTheFleetStaysAsItIs)
{
    CHECK_TRUE(this->router.refresh());
    for (int number = 0; number < 60; ++number)
        this->hear("vm" + std::to_string(number), number);
    this->known.put({ .id = "u", .service = "new" }, { .number = 1 }, this->loop.now());
    CHECK_TRUE(this->router.refresh());
    this->known.put({ .id = "u", .service = "new", .draining = true }, { .number = 2 }, this->loop.now());
    CHECK_FALSE(this->router.refresh());
    this->hear("new", 60);
    CHECK_TRUE(this->router.refresh());
    this->peers.remove("new");
    CHECK_TRUE(this->router.refresh());
    CHECK_FALSE(this->router.refresh());
}

// Load: news of a service, several times a second; a daemon that holds no links to it can't use them.
TEST(HomeRouter, EachOtherHomeIsToldOfTheServicesThatBothHoldLinksTo)
{
    std::map<std::string, std::vector<std::string>> expected;
    for (const auto& service : this->known.serviceNames()) {
        const auto& homes = this->router.homes(service);
        const bool isHome = std::find(homes.begin(), homes.end(), "me") != homes.end();
        CHECK_EQUAL(isHome, this->router.isHome(service));
        CHECK_EQUAL(isHome, std::binary_search(this->router.homed().begin(), this->router.homed().end(), service));
        for (const auto& home : homes) {
            if (isHome && home != "me")
                expected[home].push_back(service);
        }
    }
    CHECK_FALSE(expected.empty());
    std::map<std::string, std::vector<std::string>> told;
    for (const auto& audience : this->router.audiences()) {
        for (const auto& peer : audience.peers)
            told[peer] = audience.services;
    }
    CHECK(expected == told);
}

// Load: a fleet whose daemons come, go and change one by one. What was taken in step by step is the same as a choice made anew.
TEST(HomeRouter, AChoiceThatFollowsTheFleetIsTheSameAsOneMadeAnew)
{
    std::mt19937 random(5);
    for (int round = 0; round < 60; ++round) {
        const auto number = static_cast<int>(random() % 80);
        const auto vm = "vm" + std::to_string(number);
        if (random() % 2 == 0)
            this->peers.remove(vm);
        else
            this->hear(vm, number + static_cast<int>(random() % 3));
        static_cast<void>(this->router.refresh());
        relay::HomeRouter anew(this->loop, this->known, this->peers, { .vm = "me", .zone = "z0", .relayPort = 1 });
        for (const auto& service : this->known.serviceNames())
            CHECK(anew.homes(service) == this->router.homes(service));
        CHECK(anew.homed() == this->router.homed());
    }
}

// Load: a fleet of 300 VMs with 1,200 services; one daemon comes. The work is that of the services, not that of services and daemons.
TEST(HomeRouter, ADaemonThatComesCostsLittle)
{
    catalog::Catalog large;
    gossip::PeerRegistry fleet;
    for (int number = 0; number < 1200; ++number)
        large.put({ .id = "i" + std::to_string(number), .service = "s" + std::to_string(number) }, { .number = 1 }, this->loop.now());
    const auto add = [&](int number) {
        fleet.noteActivity("vm" + std::to_string(number), { .address = { .host = "10.0.0.1", .port = 1 }, .zone = "z" + std::to_string(number % 5) }, this->loop.now());
    };
    for (int number = 0; number < 300; ++number)
        add(number);
    relay::HomeRouter followed(this->loop, large, fleet, { .vm = "me", .zone = "z0", .relayPort = 1 });
    const auto begin = std::clock();
    CHECK_TRUE(followed.refresh());
    const auto whole = std::clock() - begin;
    const auto again = std::clock();
    for (int number = 300; number < 310; ++number) {
        add(number);
        CHECK_TRUE(followed.refresh());
    }
    const auto ten = std::clock() - again;
    CHECK(ten < whole);
}

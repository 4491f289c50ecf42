#include "amaranthhall/relay/home_router.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhall;

TEST_GROUP(HomeRouter)
{
    kernel::Loop loop;
    catalog::Catalog known;
    gossip::PeerBook peers;
    relay::HomeRouter router { this->loop, this->known, this->peers, { .vm = "me", .zone = "z0", .relayPort = 1 } };

    void setup() override
    {
        this->known.apply({ .version = 1, .services = { { "s", { .name = "s", .maximumConnections = 36 } }, { "t", { .name = "t", .maximumConnections = 36 } } } });
        for (int number = 0; number < 60; ++number)
            this->hear("vm" + std::to_string(number), number);
    }

    void hear(const std::string& vm, int number)
    {
        const gossip::VmProfile profile { .address = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(number) }, .zone = "z" + std::to_string(number % 3) };
        this->peers.noteHeard(vm, profile, this->loop.now());
    }
};

// Load: a fleet at rest, in which every daemon hears of others many times a second.
TEST(HomeRouter, NothingIsComputedWhileTheFleetStaysAsItIs)
{
    CHECK_TRUE(this->router.refresh());
    for (int number = 0; number < 60; ++number)
        this->hear("vm" + std::to_string(number), number);
    this->known.put({ .id = "u", .service = "s" }, 1, this->loop.now());
    CHECK_TRUE(this->router.refresh());
    this->known.put({ .id = "u", .service = "s", .draining = true }, 2, this->loop.now());
    CHECK_FALSE(this->router.refresh());
    this->hear("new", 60);
    CHECK_TRUE(this->router.refresh());
    this->peers.remove("new");
    CHECK_TRUE(this->router.refresh());
    CHECK_FALSE(this->router.refresh());
}

TEST(HomeRouter, PartnersAreTheOtherHomesOfTheOwnServices)
{
    std::vector<std::string> expected;
    for (const auto* service : { "s", "t" }) {
        const auto& homes = this->router.homes(service);
        const bool isHome = std::find(homes.begin(), homes.end(), "me") != homes.end();
        CHECK_EQUAL(isHome, this->router.isHome(service));
        CHECK_EQUAL(isHome, std::binary_search(this->router.homed().begin(), this->router.homed().end(), service));
        if (isHome)
            expected.insert(expected.end(), homes.begin(), homes.end());
    }
    std::sort(expected.begin(), expected.end());
    expected.erase(std::unique(expected.begin(), expected.end()), expected.end());
    std::erase(expected, "me");
    CHECK(expected == this->router.partners());
}

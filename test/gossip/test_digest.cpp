#include "amaranthhall/gossip/digest.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace amaranthhall;

TEST_GROUP(Digest) {};

TEST(Digest, WhatIsToldArrives)
{
    gossip::Digest sent { .vm = "front-1", .profile = { .address = { .host = "10.0.0.1", .port = 8782 }, .zone = "ba", .cores = 0.084 }, .wantsPeers = true, .versions = { .configuration = { .number = 3 }, .upstreams = { .era = 2, .number = 40 }, .fleet = { .number = 41 } } };
    sent.leaders.push_back({ .service = "s", .upstream = "i-1", .term = 3, .point = { .term = 2, .position = 99 }, .at = 123'456 });
    sent.suspicions.push_back({ .service = "s", .upstream = "i-2", .isRefusing = true });
    sent.orders.push_back({ .service = "s", .candidate = "i-1", .fence = { .era = 1, .number = 77 }, .at = 5, .isLeading = true, .term = 4 });
    sent.ages.push_back({ .vm = 77, .age = std::chrono::milliseconds(1200) });
    sent.peers.push_back({ .host = "10.0.0.2", .port = 8782 });
    const auto got = gossip::decodeDigest(gossip::encodeDigest(sent));
    CHECK_TRUE(got.has_value());
    CHECK_EQUAL(sent.vm, got->vm);
    CHECK(got->profile == sent.profile);
    CHECK_TRUE(got->wantsPeers);
    CHECK(got->versions.upstreams == sent.versions.upstreams);
    CHECK(got->leaders.at(0).point == sent.leaders[0].point);
    LONGS_EQUAL(3, got->leaders[0].term);
    LONGS_EQUAL(123'456, got->leaders[0].at);
    CHECK_TRUE(got->suspicions.at(0).isRefusing);
    CHECK(got->orders.at(0).fence == sent.orders[0].fence);
    LONGS_EQUAL(4, got->orders[0].term);
    LONGS_EQUAL(1200, got->ages.at(0).age.count());
    CHECK(got->peers.at(0) == sent.peers[0]);
}

TEST(Digest, AnyBytesAreRefusedOrRead)
{
    const bool holds = rc::check("any datagram is read or refused", [](const std::string& bytes) {
        static_cast<void>(gossip::decodeDigest(bytes));
    });
    CHECK_TRUE(holds);
    const auto whole = gossip::encodeDigest({ .vm = "a", .profile = { .address = { .host = "10.0.0.1", .port = 1 } } });
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK_FALSE(gossip::decodeDigest(std::string_view(whole).substr(0, length)).has_value());
}

TEST(Digest, NewsOfOtherServicesAreLeftOut)
{
    gossip::Digest digest { .vm = "a", .versions = { .configuration = { .number = 3 } } };
    digest.leaders = { { .service = "s", .upstream = "i-1" }, { .service = "t", .upstream = "i-2" } };
    digest.suspicions = { { .service = "t", .upstream = "i-2" } };
    digest.orders = { { .service = "s", .candidate = "i-1" }, { .service = "t", .candidate = "i-2" } };
    const std::vector<std::string> services { "s", "u" };
    const auto restricted = gossip::restrictTo(digest, services);
    LONGS_EQUAL(3, restricted.versions.configuration.number);
    LONGS_EQUAL(1, restricted.leaders.size());
    CHECK_EQUAL(std::string("i-1"), restricted.leaders[0].upstream);
    CHECK(restricted.suspicions.empty());
    LONGS_EQUAL(1, restricted.orders.size());
}

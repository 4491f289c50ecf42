#include "amaranthhall/gossip/digest.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace amaranthhall;

TEST_GROUP(Digest) {};

TEST(Digest, EncodedDigestDecodesToTheSameValues)
{
    gossip::Digest sent { .vm = "front-1", .profile = { .address = { .host = "10.0.0.1", .port = 8782 }, .zone = "ba", .cores = 0.084 }, .requestsPeers = true, .copies = { .configuration = { .newestRow = { .number = 3 }, .verifiedAt = 7'000, .verifiedVersion = 41 }, .upstreams = { .newestRow = { .era = 2, .number = 40 } }, .fleet = { .newestRow = { .number = 41 } } } };
    sent.leaders.push_back({ .service = "s", .upstream = "i-1", .term = 3, .point = { .term = 2, .position = 99 }, .at = 123'456 });
    sent.suspicions.push_back({ .service = "s", .upstream = "i-2", .isRefusing = true });
    sent.orders.push_back({ .service = "s", .candidate = "i-1", .fence = { .era = 1, .number = 77 }, .at = 5, .isLeading = true, .term = 4 });
    sent.activityAges.push_back({ .shortId = 77, .age = std::chrono::milliseconds(1200) });
    sent.peers.push_back({ .host = "10.0.0.2", .port = 8782 });
    const auto decoded = gossip::decodeDigest(gossip::encodeDigest(sent));
    CHECK_TRUE(decoded.has_value());
    CHECK_EQUAL(sent.vm, decoded->vm);
    CHECK(decoded->profile == sent.profile);
    CHECK_TRUE(decoded->requestsPeers);
    CHECK(decoded->copies.configuration == sent.copies.configuration);
    CHECK(decoded->copies.upstreams == sent.copies.upstreams);
    CHECK(decoded->leaders.at(0).point == sent.leaders[0].point);
    LONGS_EQUAL(3, decoded->leaders[0].term);
    LONGS_EQUAL(123'456, decoded->leaders[0].at);
    CHECK_TRUE(decoded->suspicions.at(0).isRefusing);
    CHECK(decoded->orders.at(0).fence == sent.orders[0].fence);
    LONGS_EQUAL(4, decoded->orders[0].term);
    LONGS_EQUAL(1200, decoded->activityAges.at(0).age.count());
    CHECK(decoded->peers.at(0) == sent.peers[0]);
}

TEST(Digest, ArbitraryBytesNeverCrashTheDecoder)
{
    const bool passed = rc::check("any datagram is decoded or rejected", [](const std::string& bytes) {
        static_cast<void>(gossip::decodeDigest(bytes));
    });
    CHECK_TRUE(passed);
    const auto encoded = gossip::encodeDigest({ .vm = "a", .profile = { .address = { .host = "10.0.0.1", .port = 1 } } });
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK_FALSE(gossip::decodeDigest(std::string_view(encoded).substr(0, length)).has_value());
}

TEST(Digest, FilteringRemovesReportsOfOtherServices)
{
    gossip::Digest digest { .vm = "a", .copies = { .configuration = { .newestRow = { .number = 3 } } } };
    digest.leaders = { { .service = "s", .upstream = "i-1" }, { .service = "t", .upstream = "i-2" } };
    digest.suspicions = { { .service = "t", .upstream = "i-2" } };
    digest.orders = { { .service = "s", .candidate = "i-1" }, { .service = "t", .candidate = "i-2" } };
    const std::vector<std::string> services { "s", "u" };
    const auto filtered = gossip::filterServices(digest, services);
    LONGS_EQUAL(3, filtered.copies.configuration.newestRow.number);
    LONGS_EQUAL(1, filtered.leaders.size());
    CHECK_EQUAL(std::string("i-1"), filtered.leaders[0].upstream);
    CHECK(filtered.suspicions.empty());
    LONGS_EQUAL(1, filtered.orders.size());
}

// Digests are sent to the addresses that others report; a daemon must not end because one of them is malformed.
TEST(Digest, ADigestWithAMalformedAddressIsRejected)
{
    gossip::Digest digest { .vm = "a", .profile = { .address = { .host = "10.0.0.1", .port = 1 } } };
    digest.peers = { { .host = "10.0.0.2", .port = 1 } };
    CHECK_TRUE(gossip::decodeDigest(gossip::encodeDigest(digest)).has_value());
    digest.peers = { { .host = "nowhere", .port = 1 } };
    CHECK_FALSE(gossip::decodeDigest(gossip::encodeDigest(digest)).has_value());
    digest.peers.clear();
    digest.profile.address.host.clear();
    CHECK_FALSE(gossip::decodeDigest(gossip::encodeDigest(digest)).has_value());
}

#include "amaranthhall/gossip/digest.hpp"
#include "amaranthhall/gossip/packed_version.hpp"
#include "amaranthhall/packing/packing.hpp"
#include "gossip/earlier_builds.hpp"

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
    sent.pendingOrders.push_back({ .service = "s", .version = { .era = 1, .number = 80 }, .orders = { { .candidate = "i-1", .fence = { .number = 77 } } } });
    sent.pendingOrdersAt = 123'456'789;
    const auto decoded = gossip::decodeDigest(gossip::encodeDigest(sent));
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(sent.pendingOrdersAt, decoded->pendingOrdersAt);
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
    CHECK(decoded->pendingOrders.at(0) == sent.pendingOrders[0]);
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

TEST_GROUP(DigestOfEarlierBuilds) {
    static void checkContent(const gossip::Digest& digest) {
        STRCMP_EQUAL("front-1", digest.vm.c_str());
STRCMP_EQUAL("ba", digest.profile.zone.c_str());
DOUBLES_EQUAL(0.084, digest.profile.cores, 0.0001);
CHECK_TRUE(digest.requestsPeers);
LONGS_EQUAL(3, digest.copies.configuration.newestRow.number);
LONGS_EQUAL(40, digest.copies.upstreams.newestRow.number);
LONGS_EQUAL(0, digest.copies.configuration.verifiedAt);
CHECK(digest.leaders.at(0).point == group::LogPoint({ .term = 2, .position = 99 }));
CHECK_TRUE(digest.leaders[0].hasRecentAnswer);
STRCMP_EQUAL("i-2", digest.suspicions.at(0).upstream.c_str());
LONGS_EQUAL(77, digest.orders.at(0).fence.number);
CHECK_TRUE(digest.orders[0].isLeading);
LONGS_EQUAL(1200, digest.activityAges.at(0).age.count());
STRCMP_EQUAL("10.0.0.2", digest.peers.at(0).host.c_str());
}
}
;

TEST(DigestOfEarlierBuilds, TheirDigestsAreRead)
{
    for (const auto& digits : { gossip::earlier::digestOf5682247, gossip::earlier::digestOfF4b655d, gossip::earlier::digestOf2aa645e }) {
        const auto digest = gossip::decodeDigest(gossip::earlier::bytesOf(digits));
        CHECK_TRUE(digest.has_value());
        checkContent(*digest);
    }
    CHECK(gossip::decodeDigest(gossip::earlier::bytesOf(gossip::earlier::digestOf5682247))->format == gossip::WireFormat::PlainVersions);
    CHECK(gossip::decodeDigest(gossip::earlier::bytesOf(gossip::earlier::digestOf2aa645e))->format == gossip::WireFormat::VersionsWithEra);
}

TEST(DigestOfEarlierBuilds, ADaemonWithoutErasGetsTheBytesThatItKnows)
{
    const auto bytes = gossip::earlier::bytesOf(gossip::earlier::digestOf5682247);
    CHECK(gossip::encodeDigest(*gossip::decodeDigest(bytes), gossip::WireFormat::PlainVersions) == bytes);
}

// Daemons of f4b655d and 2aa645e read the first nine elements.
TEST(DigestOfEarlierBuilds, TheFirstNineElementsAreAsBefore)
{
    using Version = gossip::PackedVersion;
    using Address = std::tuple<std::string, std::uint16_t>;
    using Earlier = std::tuple<std::string, std::tuple<Address, std::string, std::int64_t, std::uint32_t>, bool, std::tuple<Version, Version, Version>, std::vector<std::tuple<std::string, std::string, group::Term, group::Term, group::Position, freshness::Micros, bool>>, std::vector<std::tuple<std::string, std::string, bool>>, std::vector<std::tuple<std::string, std::string, Version, freshness::Micros, bool, group::Term>>, std::vector<std::tuple<std::uint32_t, std::int64_t>>, std::vector<Address>>;
    const auto bytes = gossip::earlier::bytesOf(gossip::earlier::digestOf2aa645e);
    auto digest = *gossip::decodeDigest(bytes);
    digest.copies.configuration.verifiedAt = 86'400'000'000;
    const auto read = packing::unpack<Earlier>(gossip::encodeDigest(digest));
    CHECK_TRUE(read.has_value());
    CHECK(packing::pack(*read) == bytes);
}

#include "amaranthhall/packing/packing.hpp"
#include "amaranthhall/quota/messages.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace amaranthhall;
using namespace std::chrono_literals;

TEST_GROUP(QuotaMessages) {
    /// Returns the content of a message after encoding and decoding it.
    template <typename Content>
    [[nodiscard]] Content roundTrip(Content content) const {
        const auto decoded = quota::decodeMessage(quota::encodeMessage({ .sender = "vm", .replyTo = { .host = "10.0.0.1", .port = 7 }, .organisation = "miny", .content = std::move(content) }));
CHECK_TRUE(decoded.has_value());
STRCMP_EQUAL("miny", decoded->organisation.c_str());
LONGS_EQUAL(7, decoded->replyTo.port);
return std::get<Content>(decoded->content);
}
}
;

TEST(QuotaMessages, EachMessageRoundTrips)
{
    const auto request = this->roundTrip(quota::GrantRequestMessage { .request = { .sequence = 4, .wanted = 9, .demandPerSecond = 1.5, .returned = 2 }, .instance = 77, .limit = { .perSecond = 5, .burst = 6 }, .configurationVersion = 8, .unreachable = { "x" } });
    STRCMP_EQUAL("vm#77", request.request.holder.c_str());
    LONGS_EQUAL(9, request.request.wanted);
    LONGS_EQUAL(2, request.request.returned);
    DOUBLES_EQUAL(1.5, request.request.demandPerSecond, 0);
    DOUBLES_EQUAL(6, request.limit.burst, 0);
    LONGS_EQUAL(8, request.configurationVersion);
    LONGS_EQUAL(1, request.unreachable.size());
    const auto grant = this->roundTrip(quota::GrantMessage { .grant = { .sequence = 4, .tokens = 3, .lifetime = 200ms, .retryAfter = Duration::max(), .share = { .perSecond = 0.5, .lifetime = 3s }, .isUnsupported = true }, .redirectVm = "y", .redirectAddress = { .host = "10.0.0.2", .port = 9 } });
    LONGS_EQUAL(3, grant.grant.tokens);
    DOUBLES_EQUAL(0.5, grant.grant.share.perSecond, 0);
    CHECK(grant.grant.share.lifetime == 3s);
    CHECK_TRUE(grant.grant.isUnsupported);
    CHECK(grant.grant.lifetime == 200ms);
    CHECK(grant.grant.retryAfter == 60s); // the longest that is sent
    STRCMP_EQUAL("y", grant.redirectVm.c_str());
    static_cast<void>(this->roundTrip(quota::ReleaseRequestMessage {}));
    const auto release = this->roundTrip(quota::ReleaseMessage { .release = { .wasHeld = true, .tokens = 2.5, .lent = { .perSecond = 4, .lifetime = 2s }, .number = 99 } });
    LONGS_EQUAL(99, release.release.number);
    DOUBLES_EQUAL(4, release.release.lent.perSecond, 0);
    const auto leaseRequest = this->roundTrip(quota::LeaseRequestMessage { .request = { .sentAt = 5, .tenure = 6, .lineage = { { .owner = "x", .startedAt = 7 } }, .isStarting = true } });
    LONGS_EQUAL(6, leaseRequest.request.tenure);
    CHECK(leaseRequest.request.lineage == std::vector<quota::Tenure>({ { .owner = "x", .startedAt = 7 } }));
    CHECK_TRUE(leaseRequest.request.isStarting);
    const auto lease = this->roundTrip(quota::LeaseMessage { .reply = { .sentAt = 5, .isContinued = true, .mayStart = true, .owner = "z" } });
    CHECK_FALSE(lease.reply.isGranted);
    CHECK_TRUE(lease.reply.isContinued && lease.reply.mayStart);
    STRCMP_EQUAL("z", lease.reply.owner.c_str());
    CHECK_TRUE(release.release.wasHeld);
    DOUBLES_EQUAL(2.5, release.release.tokens, 0);
}

// Daemons of the build before leases run beside this one: each must read the other's messages.
TEST(QuotaMessages, MessagesOfTheBuildWithoutLeasesAreRead)
{
    using Address = std::tuple<std::string, std::uint16_t>;
    using Header = std::tuple<std::uint8_t, std::string, Address, std::string>;
    using Request = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t, std::tuple<double, double>, std::uint64_t, std::vector<std::string>>;
    using Grant = std::tuple<std::uint64_t, std::uint32_t, std::int64_t, std::int64_t, std::string, Address>;
    using Release = std::tuple<bool, double, bool>;
    using Earlier = std::tuple<Header, Request, Grant, Release>;
    const Earlier earlier { { 3, "vm", { "10.0.0.1", 7 }, "miny" }, {}, {}, { true, 2.5, false } };
    const auto decoded = quota::decodeMessage(packing::pack(earlier));
    CHECK_TRUE(decoded.has_value());
    const auto& release = std::get<quota::ReleaseMessage>(decoded->content).release;
    CHECK_TRUE(release.wasHeld);
    LONGS_EQUAL(0, release.number);
    const auto encoded = quota::encodeMessage({ .sender = "vm", .replyTo = { .host = "10.0.0.1", .port = 7 }, .organisation = "miny", .content = quota::LeaseRequestMessage { .request = { .sentAt = 5 } } });
    const auto asEarlier = packing::unpack<Earlier>(encoded);
    CHECK_TRUE(asEarlier.has_value());
    LONGS_EQUAL(2, std::get<0>(std::get<0>(*asEarlier))); // a request to release the bucket
}

// A message is sent to the addresses that it receives; a daemon must not end because one of them is malformed.
TEST(QuotaMessages, AMessageWithAMalformedAddressIsRejected)
{
    quota::Message message;
    message.sender = "vm";
    message.replyTo = { .host = "nowhere", .port = 7 };
    message.content = quota::ReleaseRequestMessage {};
    CHECK_FALSE(quota::decodeMessage(quota::encodeMessage(message)).has_value());
    message.replyTo.host = "10.0.0.1";
    CHECK_TRUE(quota::decodeMessage(quota::encodeMessage(message)).has_value());
    quota::GrantMessage redirect;
    redirect.redirectVm = "y";
    message.content = redirect;
    CHECK_FALSE(quota::decodeMessage(quota::encodeMessage(message)).has_value());
}

TEST(QuotaMessages, ArbitraryBytesAreDecodedOrRejected)
{
    const bool holds = rc::check("arbitrary bytes are a message or rejected", [](const std::string& bytes) { static_cast<void>(quota::decodeMessage(bytes)); });
    CHECK_TRUE(holds);
    CHECK_FALSE(quota::decodeMessage("").has_value());
}

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
    const auto request = this->roundTrip(quota::GrantRequestMessage { .request = { .sequence = 4, .wanted = 9, .returned = 2 }, .instance = 77, .limit = { .perSecond = 5, .burst = 6 }, .configurationVersion = 8, .unreachable = { "x" } });
    STRCMP_EQUAL("vm#77", request.request.holder.c_str());
    LONGS_EQUAL(9, request.request.wanted);
    LONGS_EQUAL(2, request.request.returned);
    DOUBLES_EQUAL(6, request.limit.burst, 0);
    LONGS_EQUAL(8, request.configurationVersion);
    LONGS_EQUAL(1, request.unreachable.size());
    const auto grant = this->roundTrip(quota::GrantMessage { .grant = { .sequence = 4, .tokens = 3, .lifetime = 200ms, .retryAfter = Duration::max() }, .redirectVm = "y", .redirectAddress = { .host = "10.0.0.2", .port = 9 } });
    LONGS_EQUAL(3, grant.grant.tokens);
    CHECK(grant.grant.lifetime == 200ms);
    CHECK(grant.grant.retryAfter == 60s); // the longest that is sent
    STRCMP_EQUAL("y", grant.redirectVm.c_str());
    static_cast<void>(this->roundTrip(quota::ReleaseRequestMessage {}));
    const auto release = this->roundTrip(quota::ReleaseMessage { .release = { .wasHeld = true, .tokens = 2.5, .number = 99 } });
    LONGS_EQUAL(99, release.release.number);
    CHECK_TRUE(release.release.wasHeld);
    DOUBLES_EQUAL(2.5, release.release.tokens, 0);
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

#include "amaranthhall/peer/message_authentication.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

peer::MessageAuthentication makeSignedCall(const std::string& key, const std::string& body)
{
    peer::MessageAuthentication authentication { .sender = "vm-1", .recipient = "127.0.0.1:7000", .nonce = "abc", .sent = 1000ms };
    authentication.signature = peer::signCall(key, authentication, body);
    return authentication;
}

}

TEST_GROUP(MessageAuthentication) {};

TEST(MessageAuthentication, IsVerifiedByAnyKeyDuringARotation)
{
    const std::vector<std::string> keys { "new key of 16 bytes", "old key of 16 bytes" };
    CHECK(peer::verifyCall(keys, makeSignedCall("old key of 16 bytes", "body"), "body"));
    CHECK(peer::verifyCall(keys, makeSignedCall("new key of 16 bytes", "body"), "body"));
    CHECK(!peer::verifyCall(keys, makeSignedCall("other key of 16 bytes", "body"), "body"));
}

TEST(MessageAuthentication, CoversEveryField)
{
    const std::vector<std::string> keys { "key" };
    auto authentication = makeSignedCall("key", "body");
    CHECK(!peer::verifyCall(keys, authentication, "Body"));
    auto changed = authentication;
    changed.sender = "vm-2";
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = authentication;
    changed.recipient = "127.0.0.1:7001";
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = authentication;
    changed.nonce = "abd";
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = authentication;
    changed.sent = 1001ms;
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = authentication;
    changed.signature.clear();
    CHECK(!peer::verifyCall(keys, changed, "body"));
}

TEST(MessageAuthentication, AResponseIsBoundToTheNonceOfItsCall)
{
    const std::vector<std::string> keys { "key" };
    const auto signature = peer::signResponse("key", "nonce-1", "body");
    CHECK(peer::verifyResponse(keys, "nonce-1", "body", signature));
    CHECK(!peer::verifyResponse(keys, "nonce-2", "body", signature));
}

TEST(MessageAuthentication, NoncesDiffer)
{
    CHECK(peer::makeNonce() != peer::makeNonce());
    CHECK_EQUAL(32U, peer::makeNonce().size());
}

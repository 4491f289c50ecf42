#include "amaranthhall/peer/proof.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace amaranthhall;
using namespace std::chrono_literals;

namespace {

peer::Proof makeSigned(const std::string& key, const std::string& body)
{
    peer::Proof proof { .sender = "vm-1", .recipient = "127.0.0.1:7000", .nonce = "abc", .sent = 1000ms };
    proof.signature = peer::signCall(key, proof, body);
    return proof;
}

}

TEST_GROUP(Proof) {};

TEST(Proof, IsVerifiedByAnyKeyDuringARotation)
{
    const std::vector<std::string> keys { "new key of 16 bytes", "old key of 16 bytes" };
    CHECK(peer::verifyCall(keys, makeSigned("old key of 16 bytes", "body"), "body"));
    CHECK(peer::verifyCall(keys, makeSigned("new key of 16 bytes", "body"), "body"));
    CHECK(!peer::verifyCall(keys, makeSigned("other key of 16 bytes", "body"), "body"));
}

TEST(Proof, CoversEveryField)
{
    const std::vector<std::string> keys { "key" };
    auto proof = makeSigned("key", "body");
    CHECK(!peer::verifyCall(keys, proof, "Body"));
    auto changed = proof;
    changed.sender = "vm-2";
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = proof;
    changed.recipient = "127.0.0.1:7001";
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = proof;
    changed.nonce = "abd";
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = proof;
    changed.sent = 1001ms;
    CHECK(!peer::verifyCall(keys, changed, "body"));
    changed = proof;
    changed.signature.clear();
    CHECK(!peer::verifyCall(keys, changed, "body"));
}

TEST(Proof, AnAnswerBelongsToItsCall)
{
    const std::vector<std::string> keys { "key" };
    const auto signature = peer::signAnswer("key", "nonce-1", "body");
    CHECK(peer::verifyAnswer(keys, "nonce-1", "body", signature));
    CHECK(!peer::verifyAnswer(keys, "nonce-2", "body", signature));
}

TEST(Proof, NoncesDiffer)
{
    CHECK(peer::makeNonce() != peer::makeNonce());
    CHECK_EQUAL(32U, peer::makeNonce().size());
}

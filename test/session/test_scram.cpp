#include "amaranthhall/session/digest.hpp"
#include "amaranthhall/session/scram.hpp"

#include <CppUTest/TestHarness.h>

using namespace amaranthhall;

TEST_GROUP(Scram)
{
    // The exchange of RFC 7677, section 3: user "user", password "pencil".
    const std::string salt = "W22ZaJ0SNY7soEsUEjb6gQ==";
    const std::string nonce = "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0";
    const std::string clientFirst = "n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
    const std::string serverFirst = "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096";
    const std::string clientFinal = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";

    session::ScramSecret makeSecret() const
    {
        // The salted password is PBKDF2 of one block.
        auto block = session::hmacSha256("pencil", session::fromBase64(this->salt) + std::string("\0\0\0\1", 4));
        auto salted = block;
        for (int i = 1; i < 4096; ++i) {
            block = session::hmacSha256("pencil", block);
            for (std::size_t j = 0; j < salted.size(); ++j)
                salted[j] = static_cast<char>(salted[j] ^ block[j]);
        }
        return { .iterations = 4096, .salt = this->salt, .storedKey = session::sha256(session::hmacSha256(salted, "Client Key")), .serverKey = session::hmacSha256(salted, "Server Key") };
    }
};

TEST(Scram, FollowsTheExchangeOfTheStandard)
{
    session::ScramExchange exchange(this->makeSecret(), this->nonce);
    CHECK(exchange.takeFirst(this->clientFirst) == this->serverFirst);
    CHECK(exchange.takeFinal(this->clientFinal) == "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=");
}

TEST(Scram, RefusesEveryOtherProof)
{
    session::ScramExchange exchange(this->makeSecret(), this->nonce);
    CHECK(exchange.takeFirst(this->clientFirst).has_value());
    for (std::size_t i = 0; i + 2 < this->clientFinal.size(); ++i) {
        auto changed = this->clientFinal;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK(!exchange.takeFinal(changed));
    }
    session::ScramExchange unknown(session::makeMockSecret("user", "key"), this->nonce);
    CHECK(unknown.takeFirst(this->clientFirst).has_value());
    CHECK(!unknown.takeFinal(this->clientFinal));
    CHECK(!unknown.takeFirst("p=tls-unique,,n=user,r=abc"));
}

TEST(Scram, ReadsStoredSecrets)
{
    const auto secret = this->makeSecret();
    const auto text = "SCRAM-SHA-256$4096:" + secret.salt + "$" + session::toBase64(secret.storedKey) + ":" + session::toBase64(secret.serverKey);
    CHECK(session::parseScramSecret(text)->storedKey == secret.storedKey);
    for (const auto* malformed : { "", "SCRAM-SHA-256$", "SCRAM-SHA-256$4096:abcd$a:b", "md5abc" })
        CHECK(!session::parseScramSecret(malformed));
}

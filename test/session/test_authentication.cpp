#include "amaranthhall/session/digest.hpp"
#include "session/session_bench.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <filesystem>
#include <libpq-fe.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

using namespace amaranthhall;

namespace {

struct ConnectionCloser {
    void operator()(PGconn* connection) const noexcept { PQfinish(connection); }
};
using Connection = std::unique_ptr<PGconn, ConnectionCloser>;

struct CertificateFiles {
    std::string certificate;
    std::string key;
};

/// Writes a certificate that signs itself, and its key.
CertificateFiles makeCertificate()
{
    const auto folder = std::filesystem::canonical("/proc/self/exe").parent_path();
    const CertificateFiles files { .certificate = folder / "test_certificate.pem", .key = folder / "test_key.pem" };
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 86400);
    X509_set_pubkey(certificate, key);
    X509_sign(certificate, key, EVP_sha256());
    std::FILE* file = std::fopen(files.certificate.c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
    file = std::fopen(files.key.c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
}

std::string makeSecret(const std::string& password)
{
    constexpr int iterations = 4096;
    const std::string salt = "sixteen byte salt";
    std::string salted(32, '\0');
    PKCS5_PBKDF2_HMAC(password.data(), static_cast<int>(password.size()), reinterpret_cast<const unsigned char*>(salt.data()), static_cast<int>(salt.size()), iterations, EVP_sha256(), 32, reinterpret_cast<unsigned char*>(salted.data()));
    return "SCRAM-SHA-256$4096:" + session::toBase64(salt) + "$" + session::toBase64(session::sha256(session::hmacSha256(salted, "Client Key"))) + ":" + session::toBase64(session::hmacSha256(salted, "Server Key"));
}

}

TEST_GROUP(Authentication)
{
    session::fakes::SessionBench bench;

    void setup() override
    {
        const auto files = makeCertificate();
        this->bench.settings.callers = { .trustLoopback = false, .users = { { .name = "clerk", .secret = makeSecret("pencil") } }, .tlsCertificate = files.certificate, .tlsKey = files.key };
        this->bench.start();
    }

    Connection connect(const std::string& user, const std::string& password, const std::string& tls)
    {
        const auto text = "hostaddr=127.0.0.1 port=" + std::to_string(this->bench.listener->port()) + " dbname=coach-ledger gssencmode=disable user=" + user + " password=" + password + " sslmode=" + tls;
        Connection connection(PQconnectStart(text.c_str()));
        this->bench.turnUntil([&] {
            const auto state = PQconnectPoll(connection.get());
            return state == PGRES_POLLING_OK || state == PGRES_POLLING_FAILED;
        });
        return connection;
    }
};

TEST(Authentication, APasswordOverTlsOpensASession)
{
    const auto connection = this->connect("clerk", "pencil", "require");
    STRCMP_EQUAL("", PQerrorMessage(connection.get()));
    CHECK_EQUAL(CONNECTION_OK, PQstatus(connection.get()));
    this->bench.upstream.echoes = true;
    const std::string text = "select '" + std::string(100'000, 'x') + "'";
    PQsetnonblocking(connection.get(), 1);
    CHECK_EQUAL(1, PQsendQuery(connection.get(), text.c_str()));
    CHECK(this->bench.turnUntil([&] {
        PQflush(connection.get());
        PQconsumeInput(connection.get());
        return PQisBusy(connection.get()) == 0;
    }));
    PGresult* result = PQgetResult(connection.get());
    CHECK(text == PQgetvalue(result, 0, 0));
    PQclear(result);
}

TEST(Authentication, AWrongPasswordAndAnUnknownUserAreRefusedAlike)
{
    for (const auto* user : { "clerk", "stranger" }) {
        const auto connection = this->connect(user, "wrong", "require");
        CHECK_EQUAL(CONNECTION_BAD, PQstatus(connection.get()));
        const auto expected = "password authentication failed for user \"" + std::string(user) + "\"";
        CHECK(std::string(PQerrorMessage(connection.get())).find(expected) != std::string::npos);
    }
}

TEST(Authentication, APasswordIsNotAskedForWithoutTls)
{
    const auto connection = this->connect("clerk", "pencil", "disable");
    CHECK_EQUAL(CONNECTION_BAD, PQstatus(connection.get()));
    CHECK(std::string(PQerrorMessage(connection.get())).find("needs TLS") != std::string::npos);
}

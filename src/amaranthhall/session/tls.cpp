#include "amaranthhall/session/tls.hpp"

#include <array>
#include <openssl/err.h>
#include <stdexcept>
#include <utility>

namespace amaranthhall::session {

namespace {

    constexpr std::size_t chunkBytes = 16384;

}

TlsContext::TlsContext(const std::string& certificateFile, const std::string& keyFile)
    : context(SSL_CTX_new(TLS_server_method()))
{
    SSL_CTX_set_min_proto_version(this->context.get(), TLS1_2_VERSION);
    // An idle caller keeps no buffers.
    SSL_CTX_set_mode(this->context.get(), SSL_MODE_RELEASE_BUFFERS);
    if (SSL_CTX_use_certificate_chain_file(this->context.get(), certificateFile.c_str()) != 1)
        throw std::runtime_error(certificateFile + ": not a certificate");
    if (SSL_CTX_use_PrivateKey_file(this->context.get(), keyFile.c_str(), SSL_FILETYPE_PEM) != 1)
        throw std::runtime_error(keyFile + ": not the certificate's private key");
}

TlsChannel::TlsChannel(const TlsContext& context)
    : session(SSL_new(context.raw()))
    , input(BIO_new(BIO_s_mem()))
    , output(BIO_new(BIO_s_mem()))
{
    SSL_set_bio(this->session.get(), this->input, this->output);
    SSL_set_accept_state(this->session.get());
}

bool TlsChannel::takeCiphertext(std::string_view bytes)
{
    return BIO_write(this->input, bytes.data(), static_cast<int>(bytes.size())) == static_cast<int>(bytes.size()) && this->drive();
}

void TlsChannel::addPlaintext(std::string_view bytes)
{
    this->waiting.append(bytes);
    if (SSL_is_init_finished(this->session.get()) != 1)
        return;
    const auto content = std::exchange(this->waiting, {});
    if (!content.empty())
        SSL_write(this->session.get(), content.data(), static_cast<int>(content.size()));
}

std::string TlsChannel::takePlaintext()
{
    return std::exchange(this->plaintext, {});
}

std::string TlsChannel::takeOutput()
{
    std::string bytes(BIO_ctrl_pending(this->output), '\0');
    if (!bytes.empty())
        BIO_read(this->output, bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
}

bool TlsChannel::drive()
{
    ERR_clear_error();
    std::array<char, chunkBytes> chunk; // NOLINT: not zeroed, since SSL_read fills it.
    for (;;) {
        const auto count = SSL_read(this->session.get(), chunk.data(), static_cast<int>(chunk.size()));
        if (count <= 0) {
            const auto reason = SSL_get_error(this->session.get(), count);
            if (reason != SSL_ERROR_WANT_READ && reason != SSL_ERROR_WANT_WRITE)
                return false;
            this->addPlaintext({});
            return true;
        }
        this->plaintext.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

}

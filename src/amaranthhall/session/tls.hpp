#pragma once

#include <memory>
#include <openssl/ssl.h>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief Certificate and key with which the daemon meets callers.
class TlsContext {
public:
    /// @brief Loads both files; throws std::runtime_error if they do not fit.
    TlsContext(const std::string& certificateFile, const std::string& keyFile);

    [[nodiscard]] SSL_CTX* raw() const noexcept { return this->context.get(); }

private:
    struct Closer {
        void operator()(SSL_CTX* handle) const noexcept { SSL_CTX_free(handle); }
    };

    std::unique_ptr<SSL_CTX, Closer> context;
};

/// @brief The server's side of one TLS connection, between bytes and bytes.
class TlsChannel {
public:
    explicit TlsChannel(const TlsContext& context);

    /// @brief Takes bytes from the connection; gives false if the channel has failed.
    [[nodiscard]] bool takeCiphertext(std::string_view bytes);

    /// @brief Takes bytes to be sent.
    void addPlaintext(std::string_view bytes);

    /// @brief Takes out the bytes that came decrypted.
    [[nodiscard]] std::string takePlaintext();

    /// @brief Takes out the bytes that are due to the connection.
    [[nodiscard]] std::string takeOutput();

private:
    struct Closer {
        void operator()(SSL* handle) const noexcept { SSL_free(handle); }
    };

    [[nodiscard]] bool drive();

    std::unique_ptr<SSL, Closer> session;
    BIO* input; ///< Owned by the session.
    BIO* output; ///< Owned by the session.
    std::string plaintext;
    std::string waiting; ///< To be encrypted once the handshake is over.
};

}

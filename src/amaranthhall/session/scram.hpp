#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief A salted hash of a password, as PostgreSQL stores it.
struct ScramSecret {
    int iterations { 4096 };
    std::string salt; ///< In base 64.
    std::string storedKey; ///< 32 bytes.
    std::string serverKey; ///< 32 bytes.
};

/// @brief Reads `SCRAM-SHA-256$iterations:salt$storedKey:serverKey`; gives nothing if the text is malformed.
[[nodiscard]] std::optional<ScramSecret> parseScramSecret(std::string_view text);

/// @brief Makes a secret that no password fits, always the same for a user, so that unknown users look like known ones.
[[nodiscard]] ScramSecret makeMockSecret(std::string_view user, std::string_view key);

/// @brief The server's side of one SCRAM-SHA-256 exchange (RFC 5802 and 7677), without channel binding.
class ScramExchange {
public:
    /// @brief Begins an exchange; the nonce is fresh and printable.
    ScramExchange(ScramSecret secret, std::string nonce);

    /// @brief Takes the client's first message; gives the answer, or nothing if it is malformed.
    [[nodiscard]] std::optional<std::string> takeFirst(std::string_view message);

    /// @brief Takes the client's final message; gives the server's proof, or nothing if the client's is wrong.
    [[nodiscard]] std::optional<std::string> takeFinal(std::string_view message) const;

private:
    ScramSecret secret;
    std::string nonce;
    std::string header;
    std::string clientFirst;
    std::string serverFirst;
};

}

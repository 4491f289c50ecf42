#pragma once

#include <string>
#include <string_view>

namespace amaranthhall::session {

/// @brief Computes a SHA-256 digest of 32 bytes.
[[nodiscard]] std::string sha256(std::string_view text);

/// @brief Computes an HMAC-SHA256 of 32 bytes.
[[nodiscard]] std::string hmacSha256(std::string_view key, std::string_view text);

/// @brief Compares in a time that depends on the lengths only.
[[nodiscard]] bool equalSecrets(std::string_view left, std::string_view right) noexcept;

/// @brief Writes bytes in lower-case hexadecimal digits.
[[nodiscard]] std::string toHex(std::string_view bytes);

/// @brief Writes bytes in base 64 with padding.
[[nodiscard]] std::string toBase64(std::string_view bytes);

/// @brief Reads base 64; gives an empty string if the text is malformed.
[[nodiscard]] std::string fromBase64(std::string_view text);

}

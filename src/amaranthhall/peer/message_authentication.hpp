#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::peer {

/// @brief Wall-clock time in milliseconds since the Unix epoch.
using WallTime = std::chrono::milliseconds;

/// @brief Authentication data of a call: the signature covers these fields and the body with a key that the daemons share.
struct MessageAuthentication {
    std::string sender; ///< Id of the sending VM.
    std::string recipient; ///< Address that the sender called; prevents replay of the message to another daemon.
    std::string nonce; ///< Unique for each call.
    WallTime sent { 0 };
    std::string signature; ///< HMAC-SHA256 as hexadecimal digits.
};

/// @brief Computes the signature of a call.
[[nodiscard]] std::string signCall(std::string_view key, const MessageAuthentication& authentication, std::string_view body);

/// @brief Computes the signature of a response, which is bound to the nonce of the call.
[[nodiscard]] std::string signResponse(std::string_view key, std::string_view nonce, std::string_view body);

/// @brief Checks the signature of a call against each key; compares in constant time.
[[nodiscard]] bool verifyCall(std::span<const std::string> keys, const MessageAuthentication& authentication, std::string_view body);

/// @brief Checks the signature of a response against each key; compares in constant time.
[[nodiscard]] bool verifyResponse(std::span<const std::string> keys, std::string_view nonce, std::string_view body, std::string_view signature);

/// @brief Generates a nonce of 128 random bits as hexadecimal digits.
[[nodiscard]] std::string makeNonce();

}

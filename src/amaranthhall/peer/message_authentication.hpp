#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhall::peer {

/// @brief Wall-clock time of a message, in milliseconds since 1970.
using WallTime = std::chrono::milliseconds;

/// @brief What proves that a message comes from a daemon that holds a shared key.
struct MessageAuthentication {
    std::string sender; ///< Id of the sending VM.
    std::string recipient; ///< Address that the sender called, so that a message cannot be replayed to another daemon.
    std::string nonce;
    WallTime sent { 0 };
    std::string signature; ///< HMAC-SHA256 in hexadecimal.
};

/// @brief Signs a call with a key.
[[nodiscard]] std::string signCall(std::string_view key, const MessageAuthentication& authentication, std::string_view body);

/// @brief Signs an answer with a key; it is bound to the call's nonce.
[[nodiscard]] std::string signResponse(std::string_view key, std::string_view nonce, std::string_view body);

/// @brief Tells whether any of the keys verifies a call; compares in constant time.
[[nodiscard]] bool verifyCall(std::span<const std::string> keys, const MessageAuthentication& authentication, std::string_view body);

/// @brief Tells whether any of the keys verifies an answer; compares in constant time.
[[nodiscard]] bool verifyResponse(std::span<const std::string> keys, std::string_view nonce, std::string_view body, std::string_view signature);

/// @brief Gives a nonce of 128 random bits in hexadecimal.
[[nodiscard]] std::string makeNonce();

}

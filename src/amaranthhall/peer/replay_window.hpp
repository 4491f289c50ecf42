#pragma once

#include "amaranthhall/peer/message_authentication.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace amaranthhall::peer {

/// @brief Result of checking a message against the replay window.
enum class Freshness : std::uint8_t {
    Fresh,
    Stale, ///< The timestamp is too old, too far in the future, or before the start of the receiver.
    Replayed, ///< The nonce was used before.
    Overloaded, ///< The nonce store is full; rejected because a later replay of this message could not be detected.
};

/// @brief Detects replayed and outdated messages by nonce and timestamp.
class ReplayWindow {
public:
    /// @param started Start time of the receiver. Earlier messages are rejected, as a previous process may have accepted their nonces.
    explicit ReplayWindow(WallTime started) noexcept
        : started(started)
    {
    }

    /// @brief Checks a message and stores its nonce if it is fresh; the signature must have been verified before.
    [[nodiscard]] Freshness admit(std::string_view nonce, WallTime sent, WallTime now);

private:
    void removeExpired(WallTime now);

    WallTime started;
    std::deque<std::pair<WallTime, std::string>> expiryQueue;
    std::unordered_set<std::string> nonces;
};

}

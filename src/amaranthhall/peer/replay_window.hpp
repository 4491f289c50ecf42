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

/// @brief What a replay window says of a message.
enum class Freshness : std::uint8_t {
    Fresh,
    Stale, ///< Sent too long ago, too far in the future, or before the receiver started.
    Replayed,
    Overloaded, ///< More nonces than the window may keep; refused as it could not be told from a replay.
};

/// @brief Refuses messages that are old or were seen before.
class ReplayWindow {
public:
    /// @param started Messages sent before the receiver started may have been seen by its predecessor.
    explicit ReplayWindow(WallTime started) noexcept
        : started(started)
    {
    }

    /// @brief Takes in a message whose signature has been verified.
    [[nodiscard]] Freshness admit(std::string_view nonce, WallTime sent, WallTime now);

private:
    void removeExpired(WallTime now);

    WallTime started;
    std::deque<std::pair<WallTime, std::string>> expiryQueue;
    std::unordered_set<std::string> nonces;
};

}

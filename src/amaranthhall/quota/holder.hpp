#pragma once

#include "amaranthhall/quota/owner.hpp"

#include <cstdint>

namespace amaranthhall::quota {

/// @brief The tokens of an organisation that a daemon has been granted.
struct HeldTokens {
    std::uint32_t tokens { 0 };
    std::uint32_t granted { 0 }; ///< Size of the last grant.
    std::uint32_t unused { 0 }; ///< Tokens that are no longer used and are returned with the next request.
    Time expiresAt;
    Time refusedUntil; ///< The owner has no tokens before.
    Time askedAt; ///< When the last request was first sent.
    std::uint64_t sequence { 0 }; ///< Of the last request.
    bool isAsking { false }; ///< A request is not answered yet.
    double demandPerSecond { 0 }; ///< Moving average of the operations that asked for a token.
    Time demandAt; ///< When the average was last updated.
    Bucket isolated; ///< Tokens for the time in which no owner is reached.
    Share share; ///< Announced by the owner for that time.
    Time shareUntil;
};

/// @brief What to do with an operation.
enum class Step : std::uint8_t {
    Admit, ///< A token was taken.
    Wait, ///< The owner must be asked.
    Refuse, ///< The organisation has reached its limit.
};

/// @brief Records an operation in the demand and takes a token for it if one is held.
[[nodiscard]] Step takeToken(HeldTokens& held, Time now) noexcept;

/// @brief Takes a token for an operation that waited for the owner's reply, without recording it again.
[[nodiscard]] bool takeGranted(HeldTokens& held, Time now) noexcept;

/// @brief Returns whether to ask for further tokens before the held ones run out, so that no operation waits for the reply.
[[nodiscard]] bool shouldAskAhead(const HeldTokens& held, Time now) noexcept;

/**
 * @brief Prepares the next request; tokens that are held but not used within the lifetime of their grant are returned with it.
 * @param waiting Operations that wait for tokens.
 */
[[nodiscard]] GrantRequest nextRequest(HeldTokens& held, std::uint32_t waiting, Time now);

/// @brief Applies the owner's reply; a reply to an earlier request is ignored.
void applyGrant(HeldTokens& held, const Grant& grant) noexcept;

/**
 * @brief Takes a token from what this daemon may use while it reaches no owner: its share and its even part of the room.
 * @param phase From 0 to 1, at random for each daemon: the fraction of a token with which it starts, added to half of that part, so that many daemons with small parts do not use one at the same time.
 */
[[nodiscard]] bool takeIsolated(HeldTokens& held, const Room& room, const WindowBound& bound, double phase, Time now) noexcept;

}

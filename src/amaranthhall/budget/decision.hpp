#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthhall::budget {

/// @brief Whose connection holds memory.
enum class HolderKind : std::uint8_t {
    Caller,
    Relay, ///< Another daemon, which carries the statements of many callers.
};

/// @brief The account as a whole.
struct AccountState {
    std::uint64_t used { 0 }; ///< Bytes charged.
    std::uint64_t capacity { 0 };
};

/// @brief One connection.
struct HolderState {
    HolderKind kind { HolderKind::Caller };
    std::uint64_t bytes { 0 }; ///< Charged.
    bool isUnfinished { false }; ///< It has sent a part of a message, or not read its replies.
    bool hasUnreadReplies { false };
    Duration idle { 0 }; ///< Time for which it has neither sent nor read, while it is unfinished.
    bool hasSlot { false }; ///< It may send a large message.
    bool isAwaited { false }; ///< Others wait for its slot.
    Duration slotAge { 0 }; ///< Time since it was given its slot.
};

/// @brief Why a connection is closed.
enum class Reason : std::uint8_t {
    Memory, ///< It is among the largest holders, and the account is nearly full.
    NoProgress, ///< Its message or its reading of replies has stood still.
    SlowInContention, ///< It sends a large message slowly while others wait to send theirs.
};

[[nodiscard]] std::string_view nameOf(Reason reason) noexcept;

/// @brief One connection to close.
struct Closure {
    std::size_t holder { 0 }; ///< Index of the state passed.
    Reason reason { Reason::Memory };
};

inline constexpr Duration messageProgressTimeout = std::chrono::seconds(15); ///< Of a message without its end.
inline constexpr Duration replyProgressTimeout = std::chrono::seconds(60); ///< Of unread replies; longer, as a slow reader with a large socket buffer takes bytes from its system without any from this one.
inline constexpr Duration contendedProgressTimeout = std::chrono::seconds(1); ///< Of a holder whose slot others wait for.
inline constexpr Duration contendedMessageTime = std::chrono::seconds(10); ///< For a whole large message, while others wait for the slot.
inline constexpr std::uint64_t slotBytes = 3U << 20U; ///< Charged for a large message: its text while it arrives, in its request, and on its way to the upstream.

/// @brief Returns whether connections must hold little: their allowances shrink, and session state no longer grows beyond a small size.
[[nodiscard]] bool isUnderPressure(const AccountState& account) noexcept;

/// @brief Returns whether the largest holders must be closed, and no connections be accepted until they are.
[[nodiscard]] bool isNearlyFull(const AccountState& account) noexcept;

/// @brief Returns whether a holder may get a slot for a large message.
/// @param given Slots of its kind that are given; one is always available, so that messages are served one after another even in a small VM.
[[nodiscard]] bool mayGiveSlot(const AccountState& account, std::size_t given) noexcept;

/// @brief Chooses the connections to close: those without progress, then the largest, until pressure ends. Connections of other daemons carry many callers, so they are closed only if they stand still.
[[nodiscard]] std::vector<Closure> decideClosures(const AccountState& account, std::span<const HolderState> holders);

/// @brief An open connection of a port that is at its limit of connections.
struct ConnectionState {
    bool isIdle { false }; ///< No request is in progress, and no transaction open.
    bool hasServed { false }; ///< A request of it was answered.
    Duration quiet { 0 }; ///< Time since it was last active.
};

/// @brief Chooses idle connections that make room for new ones: first those that never had a request, then those quiet for longest.
[[nodiscard]] std::vector<std::size_t> chooseReplaced(std::span<const ConnectionState> connections, std::size_t count);

/**
 * @brief Closes idle connections of a port to make room for new ones.
 * @param connections Range of pointers to connections with `describe()` and `shed()`; none leaves the range within the call.
 * @param noteShed Called for each connection that is closed.
 * @return Number of connections closed.
 */
template <typename Connections, typename NoteShed>
std::size_t shedReplaced(const Connections& connections, std::size_t count, Time now, const NoteShed& noteShed)
{
    std::vector<typename Connections::value_type::pointer> all;
    std::vector<ConnectionState> states;
    for (const auto& connection : connections) {
        all.push_back(connection.get());
        states.push_back(connection->describe(now));
    }
    const auto chosen = chooseReplaced(states, count);
    for (const auto index : chosen) {
        all[index]->shed();
        noteShed();
    }
    return chosen.size();
}

}

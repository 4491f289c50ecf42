#pragma once

#include <cstdint>
#include <string_view>

/// @brief Rendezvous hashing: all daemons choose alike without asking each other, and a lost member moves only what it held.
namespace amaranthhall::hashing {

/**
 * @brief Scores a member for a key; the same on every daemon and in every build.
 * @param memberId Id of the member.
 * @param key Name of the role, such as `watch/coach-ledger/1`.
 * @return The score; the highest scores take the role.
 */
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view memberId, std::string_view key) noexcept;

/// @brief Scores a member like rendezvousScore(), so that it has the highest score in proportion to its weight, which is above 0.
[[nodiscard]] double weightedScore(std::string_view memberId, std::string_view key, double weight) noexcept;

/// @brief Gives a short id of a name, the same on all daemons; two of 2,300 names share one in six of ten thousand fleets.
[[nodiscard]] std::uint32_t shortId(std::string_view name) noexcept;

}

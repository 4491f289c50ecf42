#pragma once

#include <cstdint>
#include <string_view>

/// @brief Rendezvous hashing: all daemons select the same members without communication, and the loss of a member reassigns only its own keys.
namespace amaranthhall::hashing {

/**
 * @brief Computes the score of a member for a key; the same on every daemon and in every build.
 * @param memberId Id of the member.
 * @param key Name of the role, such as `watch/coach-ledger/1`.
 * @return The score; the members with the highest scores take the role.
 */
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view memberId, std::string_view key) noexcept;

/// @brief Computes a weighted score; the probability that a member has the highest score is proportional to its weight, which must be positive.
[[nodiscard]] double weightedScore(std::string_view memberId, std::string_view key, double weight) noexcept;

/// @brief Returns a 32-bit hash of a name, the same on all daemons. With 2,300 names, any two of them collide in about 6 of 10,000 fleets.
[[nodiscard]] std::uint32_t shortId(std::string_view name) noexcept;

}

#pragma once

#include "amaranthhall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthhall::membership {

/**
 * @brief Chooses the holders of a role by rendezvous hashing, spread over zones.
 *
 * Only live members are chosen. The best member of each zone comes first, so that the loss of
 * one zone leaves holders in the others; then the best of those left over.
 *
 * @param members The members as this daemon knows them.
 * @param key Name of the role.
 * @param count How many to choose at most.
 * @return The chosen, the best first; they point into `members`.
 */
[[nodiscard]] std::vector<const Member*> chooseRoleHolders(std::span<const Member> members, std::string_view key, std::size_t count);

}

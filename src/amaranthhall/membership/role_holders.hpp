#pragma once

#include "amaranthhall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthhall::membership {

/**
 * @brief Selects the holders of a role by rendezvous hashing, spread over zones.
 *
 * Only live members are eligible. The highest-scoring member of each zone comes first, so that the
 * loss of one zone leaves holders in the others; the remaining members follow by score.
 *
 * @param members This daemon's view of the members.
 * @param key Name of the role, which is the hash key.
 * @param count Maximum number of holders.
 * @return The holders in order of preference; they point into `members`.
 */
[[nodiscard]] std::vector<const Member*> chooseRoleHolders(std::span<const Member> members, std::string_view key, std::size_t count);

}

#pragma once

#include "amaranthhall/group/group_state.hpp"
#include "amaranthhall/table/rows.hpp"

#include <span>

namespace amaranthhall::upstream {

/// @brief Builds what the rest of the daemon sees of a group.
[[nodiscard]] group::GroupView makeView(const group::GroupState& state, std::span<const table::UpstreamRow> rows);

}

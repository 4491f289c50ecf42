#pragma once

#include <span>
#include <string_view>

namespace amaranthhall::kernel {

/**
 * @brief Finds the known name that takes the fewest edits to reach from a mistyped one.
 * @param name The mistyped name.
 * @param known The names to choose from.
 * @return The nearest one, the first of equals; empty if there are none.
 */
[[nodiscard]] std::string_view nearestName(std::string_view name, std::span<const std::string_view> known);

}

#include "amaranthhall/store/store.hpp"

#include <array>
#include <cstddef>

namespace amaranthhall::store {

std::string_view nameOf(StoreError error) noexcept
{
    constexpr std::array<std::string_view, 6> names { "unreachable", "throttled", "conflict", "history_gone", "unknown", "malformed" };
    return names[static_cast<std::size_t>(error)];
}

}

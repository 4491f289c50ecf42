#pragma once

#include "amaranthhall/store/version.hpp"

#include <cstdint>
#include <tuple>

namespace amaranthhall::gossip {

/// @brief Wire format of a store version: era and number.
using PackedVersion = std::tuple<store::Era, std::uint64_t>;

[[nodiscard]] inline PackedVersion packVersion(const store::Version& version) noexcept
{
    return { version.era, version.number };
}

[[nodiscard]] inline store::Version unpackVersion(const PackedVersion& from) noexcept
{
    return { .era = std::get<0>(from), .number = std::get<1>(from) };
}

}

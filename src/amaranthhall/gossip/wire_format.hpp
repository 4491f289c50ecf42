#pragma once

#include <cstdint>

namespace amaranthhall::gossip {

/// @brief Encoding of datagrams and rows; daemons of several builds run side by side while VMs are replaced.
enum class WireFormat : std::uint8_t {
    PlainVersions, ///< Of builds in which versions of the store had no era.
    VersionsWithEra,
};

}

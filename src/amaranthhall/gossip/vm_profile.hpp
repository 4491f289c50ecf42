#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::gossip {

/// @brief Version of the relay protocol of this program; from organisationRelayVersion on, a daemon runs relayed statements for their organisation, from
/// loadReportVersion on, it reads reports about the load of upstreams.
inline constexpr std::uint32_t currentRelayVersion = 2;
inline constexpr std::uint32_t organisationRelayVersion = 1;
inline constexpr std::uint32_t loadReportVersion = 2;

/// @brief Properties of a VM that its daemon publishes to the others.
struct VmProfile {
    kernel::Address address; ///< Address on which its daemon receives datagrams and requests.
    std::string zone;
    double cores { 1 }; ///< Processor cores of the VM; may be less than 1.
    std::uint32_t relayVersion { currentRelayVersion }; ///< 0 for a daemon that publishes none.

    friend bool operator==(const VmProfile&, const VmProfile&) = default;
};

/// @brief Encodes a profile as JSON.
[[nodiscard]] std::string encodeProfile(const VmProfile& profile);

/// @brief Decodes a profile; returns std::nullopt if it is malformed.
[[nodiscard]] std::optional<VmProfile> decodeProfile(std::string_view text);

}

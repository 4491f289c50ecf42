#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::gossip {

/// @brief What daemons know of each other's VM.
struct VmProfile {
    kernel::Address address; ///< Where its daemon takes datagrams and calls.
    std::string zone;
    double cores { 1 }; ///< Share of a processor that the VM has; may be less than 1.

    friend bool operator==(const VmProfile&, const VmProfile&) = default;
};

/// @brief Encodes a profile as JSON.
[[nodiscard]] std::string encodeProfile(const VmProfile& profile);

/// @brief Decodes a profile; gives nothing if it is malformed.
[[nodiscard]] std::optional<VmProfile> decodeProfile(std::string_view text);

}

#pragma once

#include "amaranthhall/group/identity.hpp"
#include "amaranthhall/group/upstream_status.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhall::group {

/// @brief Whether an upstream replies to probes.
enum class Reachability : std::uint8_t {
    Unknown,
    Up,
    Suspected,
    Down,
};

/// @brief This daemon's view of one upstream.
struct UpstreamView {
    UpstreamId id;
    kernel::Address address;
    std::string zone;
    UpstreamStatus status;
    Reachability reachability { Reachability::Unknown };
    Time statusReceivedAt; ///< When the status was last received.
    Time freshAsOf; ///< Latest time whose writes are all known to be visible on the upstream; unset if unknown.
};

/// @brief This daemon's view of one group.
struct GroupView {
    GroupId id;
    Term term { 0 }; ///< Highest known term.
    std::optional<std::string> primary; ///< Name of the upstream that is primary in that term.
    std::vector<UpstreamView> upstreams;
};

/// @brief Finds an upstream's view by name; returns nullptr if there is none.
[[nodiscard]] inline const UpstreamView* findUpstream(const GroupView& view, const std::string& name) noexcept
{
    for (const auto& upstream : view.upstreams) {
        if (upstream.id.name == name)
            return &upstream;
    }
    return nullptr;
}

}

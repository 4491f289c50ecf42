#pragma once

#include <cstddef>
#include <cstdint>

namespace amaranthhall::placement {

/// @brief Number of connections that one daemon may hold to one upstream.
struct ConnectionShare {
    std::uint32_t warm { 0 }; ///< Kept open in advance.
    std::uint32_t limit { 0 }; ///< Maximum number of open connections.
};

/**
 * @brief Divides the connections that an upstream allows among the daemons that connect to it.
 *
 * The shares leave room for a restart of all VMs at once: an upstream holds the connections of lost VMs for seconds, and the
 * restarted daemons need theirs in addition. The sum of all limits and all warm connections therefore stays within what the upstream
 * allows, provided that it allows at least two connections per sharer.
 *
 * @param connections Connections that the upstream allows.
 * @param sharers Daemons that hold connections; 0 if this daemon is not one of them and connects only while it reaches none of them.
 */
[[nodiscard]] ConnectionShare shareConnections(std::uint32_t connections, std::size_t sharers) noexcept;

}

#pragma once

#include <cstddef>
#include <cstdint>

namespace amaranthhall::placement {

/// @brief Links of one daemon to one upstream.
struct ConnectionShare {
    std::uint32_t warm { 0 }; ///< Opened before they are needed.
    std::uint32_t limit { 0 }; ///< Open at most.
};

/**
 * @brief Splits the connections that an upstream allows among the daemons that hold links to it.
 *
 * Answers the loss of all VMs at once. An upstream goes on holding the connections of lost VMs for seconds; the daemons that start
 * anew need theirs beside them. All limits and warm links together stay within what the upstream allows, wherever it allows two
 * connections for each sharer.
 *
 * @param connections That the upstream allows.
 * @param sharers Daemons that hold links; 0 if this one is none of them, and opens links only while it reaches none of those.
 */
[[nodiscard]] ConnectionShare shareConnections(std::uint32_t connections, std::size_t sharers) noexcept;

}

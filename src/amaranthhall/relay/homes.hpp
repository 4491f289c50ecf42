#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::relay {

/**
 * @brief Chooses the daemons that hold the connections to the upstreams of a service.
 *
 * In a small fleet all hold some, where an upstream allows one for each daemon. Else a few do, drawn by rendezvous hashing so that
 * all daemons choose alike, and the others relay to them.
 *
 * @param daemons All live daemons.
 * @param connections Connections that each upstream of the service allows.
 */
[[nodiscard]] std::vector<std::string> chooseHomes(std::string_view service, std::span<const std::string> daemons, std::uint32_t connections);

}

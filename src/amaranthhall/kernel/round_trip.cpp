#include "amaranthhall/kernel/round_trip.hpp"

#include <chrono>
#include <cstdint>
#include <limits>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace amaranthhall::kernel {

std::optional<Duration> minimumRoundTrip(const Socket& connection) noexcept
{
    // The smoothed time is no use: an acknowledgement often waits for the reply to a statement, so it includes the time of the statement.
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(connection.descriptor(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    const bool isMeasured = info.tcpi_min_rtt != 0 && info.tcpi_min_rtt != std::numeric_limits<std::uint32_t>::max();
    return isMeasured ? std::optional<Duration>(std::chrono::microseconds(info.tcpi_min_rtt)) : std::nullopt;
}

}

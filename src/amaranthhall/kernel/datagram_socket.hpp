#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <functional>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief A UDP socket on the loop.
class DatagramSocket {
public:
    /// @brief Called for each datagram; the view holds for the call only.
    using Received = std::function<void(std::string_view)>;

    /// @brief Binds to an address; throws std::system_error if it cannot be had.
    DatagramSocket(Loop& loop, const Address& listen, Received received);

    /// @brief Sends a datagram; one that the system does not take at once is lost, as any datagram may be.
    void send(const Address& to, std::string_view bytes);

private:
    void read();

    Socket socket;
    Received received;
    Registration watch;
};

}

#pragma once

#include "amaranthhall/kernel/address.hpp"

#include <cstdint>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief A descriptor that is closed when its owner goes.
class Socket {
public:
    Socket() noexcept = default;
    explicit Socket(int opened) noexcept
        : handle(opened)
    {
    }
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    ~Socket();

    /// @brief Gives the descriptor, or -1 if there is none.
    [[nodiscard]] int descriptor() const noexcept { return this->handle; }

    [[nodiscard]] explicit operator bool() const noexcept { return this->handle >= 0; }

    /// @brief Gives up the descriptor without closing it.
    [[nodiscard]] int release() noexcept;

    void close() noexcept;

private:
    int handle { -1 };
};

/// @brief Opens a non-blocking listener; throws std::system_error if the address cannot be had.
[[nodiscard]] Socket listenOn(const Address& address);

/// @brief Accepts a waiting connection without blocking; gives an empty socket if there is none.
[[nodiscard]] Socket acceptFrom(const Socket& listener);

/// @brief Begins to connect without blocking; gives an empty socket if that fails at once.
[[nodiscard]] Socket connectTo(const Address& address);

/// @brief Gives how a connect that was begun has ended: 0, or the number of its error.
[[nodiscard]] int connectError(const Socket& socket) noexcept;

/// @brief Opens a non-blocking UDP socket; throws std::system_error if the address cannot be had.
[[nodiscard]] Socket bindDatagrams(const Address& address);

/// @brief Sends a datagram without blocking; tells whether the system took it.
[[nodiscard]] bool sendDatagram(const Socket& socket, const Address& to, std::string_view bytes);

/// @brief Gives the port to which a listener is bound.
[[nodiscard]] std::uint16_t boundPort(const Socket& listener);

/// @brief Gives the address of a connection's other end.
[[nodiscard]] Address peerAddress(const Socket& connection);

}

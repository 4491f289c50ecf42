#pragma once

#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace amaranthhall::kernel {

/// @brief Accepts connections, and pauses while the process has no descriptor left.
class Acceptor {
public:
    using Accepted = std::function<void(Socket)>;

    /**
     * @brief Starts listening; throws std::system_error if the address cannot be bound.
     * @param refusal Bytes sent to a connection that is closed for lack of a descriptor.
     */
    Acceptor(Loop& loop, const Address& listen, Accepted accepted, std::string refusal = {});

    /// @brief Returns the listening port.
    [[nodiscard]] std::uint16_t port() const { return boundPort(this->listener); }

    /// @brief Returns the number of connections closed for lack of a descriptor.
    [[nodiscard]] std::uint64_t refused() const noexcept { return this->refusedCount; }

private:
    void accept();
    void refuseOne();
    void watchListener();

    Loop& loop;
    Accepted accepted;
    std::string refusal;
    Socket listener;
    Socket reserve; ///< Closed to accept and refuse a connection when there is no other descriptor.
    Registration watch;
    Registration pause;
    std::uint64_t refusedCount { 0 };
};

}

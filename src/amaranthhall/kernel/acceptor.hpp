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
    /// @brief What an acceptor reports.
    struct Callbacks {
        std::function<void(Socket)> accepted;
        std::function<void()> refused; ///< A connection was closed for lack of a descriptor; may be left out.
    };

    /**
     * @brief Starts listening; throws std::system_error if the address cannot be bound.
     * @param refusal Bytes sent to a connection that is closed for lack of a descriptor.
     */
    Acceptor(Loop& loop, const Address& listen, Callbacks callbacks, std::string refusal = {});

    /// @brief Returns the listening port.
    [[nodiscard]] std::uint16_t port() const { return boundPort(this->listener); }

private:
    void accept();
    void refuseOne();
    void watchListener();

    Loop& loop;
    Callbacks callbacks;
    std::string refusal;
    Socket listener;
    Socket reserve; ///< Closed to accept and refuse a connection when there is no other descriptor.
    Registration watch;
    Registration pause;
};

}

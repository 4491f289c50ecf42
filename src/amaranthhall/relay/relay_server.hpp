#pragma once

#include "amaranthhall/engine/session.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <list>
#include <memory>

namespace amaranthhall::relay {

class ServedConnection;

/// @brief Runs statements for the sessions of other daemons.
class RelayServer {
public:
    /// @brief Begins to listen; throws std::system_error if the address cannot be had.
    RelayServer(kernel::Loop& loop, const kernel::Address& listen, engine::SessionContext& context);
    ~RelayServer();

    /// @brief Gives the port on which it listens.
    [[nodiscard]] std::uint16_t port() const { return kernel::boundPort(this->listener); }

    /// @brief Gives the number of statements and transactions that run for others.
    [[nodiscard]] std::size_t streamCount() const noexcept;

private:
    void accept();

    kernel::Loop& loop;
    engine::SessionContext& context;
    kernel::Socket listener;
    kernel::Registration watch;
    std::list<std::unique_ptr<ServedConnection>> connections;
};

}

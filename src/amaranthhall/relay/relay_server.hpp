#pragma once

#include "amaranthhall/engine/session.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <list>
#include <memory>

namespace amaranthhall::relay {

class ServedConnection;

/// @brief Accepts connections from other daemons and runs the statements of their sessions.
class RelayServer {
public:
    /// @brief Starts listening; throws std::system_error if the address cannot be bound.
    RelayServer(kernel::Loop& loop, const kernel::Address& listen, engine::SessionContext& context);
    ~RelayServer();

    /// @brief Returns the listening port.
    [[nodiscard]] std::uint16_t port() const { return kernel::boundPort(this->listener); }

    /// @brief Returns the number of statements and transactions that run for other daemons.
    [[nodiscard]] std::size_t streamCount() const noexcept;

    /// @brief Rolls back the transactions that run for other daemons and have no statement in progress.
    void abortTransactions();

    /// @brief Answers the statements in progress at once: as not run if they were not sent or write nothing, else as of unknown outcome.
    void abandonRequests();

private:
    void accept();

    kernel::Loop& loop;
    engine::SessionContext& context;
    kernel::Socket listener;
    kernel::Registration watch;
    std::list<std::unique_ptr<ServedConnection>> connections;
};

}

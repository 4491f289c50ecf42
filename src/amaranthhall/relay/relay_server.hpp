#pragma once

#include "amaranthhall/engine/session.hpp"
#include "amaranthhall/kernel/acceptor.hpp"
#include "amaranthhall/kernel/loop.hpp"

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
    [[nodiscard]] std::uint16_t port() const { return this->acceptor.port(); }

    /// @brief Returns the number of statements and transactions that run for other daemons.
    [[nodiscard]] std::size_t streamCount() const noexcept;

    /// @brief Rolls back the transactions that run for other daemons and have no statement in progress.
    void abortTransactions();

    /// @brief Answers the statements in progress at once: as not run if they were not sent or write nothing, else as of unknown outcome.
    void abandonRequests();

private:
    void accept(kernel::Socket socket);
    [[nodiscard]] bool hasRoom();

    kernel::Loop& loop;
    engine::SessionContext& context;
    std::size_t connectionLimit;
    std::size_t replaced { 0 }; ///< Connections that are closed to make room and still count.
    Time roomMadeAt;
    std::list<std::unique_ptr<ServedConnection>> connections;
    kernel::Acceptor acceptor;
};

}

#pragma once

#include "amaranthhall/kernel/byte_stream.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/kernel/socket.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhall::integration {

/// @brief What each client of a crowd does.
struct ClientScript {
    kernel::Address to;
    std::string bytes; ///< Sent as fast as the other end reads, unless `piece` is set.
    std::size_t piece { 0 }; ///< Bytes sent on each tick; 0 sends all at once.
    std::string endless; ///< Sent on each tick once `bytes` is sent.
    bool reads { true };
    std::size_t readsPerTick { 0 }; ///< Bytes read on each tick by a client that does not read otherwise.
    std::size_t returns { 0 }; ///< How many times the crowd as a whole connects again after a close.
};

/// @brief Connections that send prepared bytes without regard to what is answered.
class ClientCrowd {
public:
    ClientCrowd(kernel::Loop& loop, ClientScript script, std::size_t count);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// @brief Returns the number of connections that are open, as far as the clients have noticed.
    [[nodiscard]] std::size_t size() const noexcept { return this->clients.size(); }

    /// @brief Returns a number that changes as the crowd sends or receives.
    [[nodiscard]] std::uint64_t progress() const noexcept;

private:
    class Client;

    void connect();
    void tick();
    void remove(const Client* client);

    kernel::Loop& loop;
    ClientScript script;
    std::list<std::unique_ptr<Client>> clients;
    std::uint64_t received { 0 };
    std::uint64_t connected { 0 };
    std::size_t returnsLeft { 0 };
    kernel::Registration ticks;
};

/// @brief One well-behaved session that sends a request at a time.
class OrdinarySession {
public:
    OrdinarySession(kernel::Loop& loop, const kernel::Address& to);

    /// @brief Sends a statement and runs the loop until its reply is complete, the connection closes or the wait ends; returns whether it succeeded.
    [[nodiscard]] bool run(std::string_view statement, Duration longestWait);

private:
    [[nodiscard]] bool awaitReady(Duration longestWait);

    kernel::Loop& loop;
    std::string answer;
    std::shared_ptr<bool> isClosed { std::make_shared<bool>(false) }; ///< Shared, as the stream reports its close on a later turn of the loop.
    bool isStarted { false };
    kernel::ByteStream stream;
};

}

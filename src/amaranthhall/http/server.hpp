#pragma once

#include "amaranthhall/http/message.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhall::http {

/// @brief Limits of a port that clients reach whom nobody vouches for.
struct ServerLimits {
    std::size_t connections { 0 }; ///< At the limit, the connection that has been quiet for longest makes room.
    std::size_t headerBytes { 16U << 10U }; ///< Of the headers of one request; a connection that sends more is closed.
    std::chrono::seconds readTimeout { 60 }; ///< Without a byte from the client.
    std::chrono::seconds writeTimeout { 15 }; ///< Without the client taking a byte of a response.
    std::function<void(std::string_view reason)> refused; ///< Called when a connection is refused or closed for a limit.
};

/// @brief Options of a server.
struct ServerOptions {
    kernel::Address listen; ///< Port 0 selects a free port.
    std::size_t maximumBodySize { 1U << 20U }; ///< Limit for request bodies in bytes; a larger request is rejected with status 413.
    std::optional<ServerLimits> limits {}; ///< None for servers of trusted clients.
};

/// @brief Sends the response to a request; may be called within the handler or later. Only the first call has an effect.
using Reply = std::function<void(Response)>;

/// @brief Handles a request.
using Handler = std::function<void(const Request& request, Reply reply)>;

/// @brief HTTP server on the event loop, based on libevhtp.
class Server {
public:
    /// @brief Starts listening; throws std::system_error if the address cannot be bound.
    Server(kernel::Loop& loop, const ServerOptions& options);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// @brief Registers the handler of a path. A path that ends in `/` matches as a prefix; an exact match or a longer prefix takes precedence.
    void route(std::string path, Handler handler);

    /// @brief Returns the port on which the server listens.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->boundPort; }

    /// @brief Finds the handler of a path; returns nullptr if there is none.
    [[nodiscard]] const Handler* findHandler(std::string_view path) const noexcept;

private:
    struct Native;
    struct Route {
        std::string path;
        Handler handler;
    };

    std::unique_ptr<Native> native;
    std::vector<Route> routes;
    std::uint16_t boundPort { 0 };
};

}

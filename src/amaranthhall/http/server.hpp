#pragma once

#include "amaranthhall/http/message.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhall::http {

/// @brief How a server listens.
struct ServerOptions {
    kernel::Address listen; ///< Port 0 takes a free one.
    std::size_t maximumBodySize { 1U << 20U }; ///< Bytes; a longer request is refused with 413.
};

/// @brief Answers one request; may be called at once or later, and only the first call counts.
using Reply = std::function<void(Response)>;

/// @brief Serves one request.
using Handler = std::function<void(const Request& request, Reply reply)>;

/// @brief An HTTP server on the loop, by libevhtp.
class Server {
public:
    /// @brief Begins to listen; throws std::system_error if the address cannot be had.
    Server(kernel::Loop& loop, const ServerOptions& options);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// @brief Serves a path; one that ends in `/` serves all paths below it that have no handler of their own.
    void route(std::string path, Handler handler);

    /// @brief Gives the port on which it listens.
    [[nodiscard]] std::uint16_t port() const noexcept { return this->boundPort; }

    /// @brief Finds the handler of a path; gives nullptr if there is none.
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

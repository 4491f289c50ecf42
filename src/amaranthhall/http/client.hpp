#pragma once

#include "amaranthhall/http/message.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <tl/expected.hpp>
#include <unordered_set>
#include <vector>

namespace amaranthhall::http {

/// @brief Reason for the failure of a request.
enum class HttpError : std::uint8_t {
    Unreachable, ///< The connection could not be established; the request was not sent.
    Timeout, ///< No response before the deadline; the request may have been processed.
    ConnectionLost, ///< The connection was lost; the request may have been processed.
    TooLarge, ///< The response exceeds the size limit.
};

/// @brief Response to a request, or the reason for its failure.
using HttpResult = tl::expected<Response, HttpError>;

/// @brief Asynchronous HTTP client with keep-alive connections, based on libevent.
class Client {
public:
    using ResponseCallback = std::function<void(HttpResult)>;

    /**
     * @param maximumBodySize Maximum size of a response body in bytes.
     */
    explicit Client(kernel::Loop& loop, std::size_t maximumBodySize = 64U << 20U);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /**
     * @brief Sends a request asynchronously.
     * @param callback Invoked once, never from within send(); not invoked if the client is destroyed first.
     */
    void send(const kernel::Address& to, const Request& request, Duration timeout, ResponseCallback callback);

private:
    class PendingRequest;
    struct ConnectionCloser;
    struct Native;

    void complete(const std::shared_ptr<PendingRequest>& pending, HttpResult result);

    kernel::Loop& loop;
    std::size_t maximumBodySize;
    std::unique_ptr<Native> native;
};

}

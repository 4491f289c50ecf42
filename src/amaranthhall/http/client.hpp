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

/// @brief Why a request got no response.
enum class HttpError : std::uint8_t {
    Unreachable, ///< No connection was made; the request was not sent.
    Timeout, ///< No response in time; the request may have taken effect.
    ConnectionLost, ///< The connection broke; the request may have taken effect.
    TooLarge, ///< The response is over the limit.
};

/// @brief Outcome of a request.
using HttpResult = tl::expected<Response, HttpError>;

/// @brief An HTTP client on the loop, by libevent, with keep-alive connections.
class Client {
public:
    using ResponseCallback = std::function<void(HttpResult)>;

    /**
     * @brief Builds a client.
     * @param maximumBodySize Longest response that is taken, in bytes.
     */
    explicit Client(kernel::Loop& loop, std::size_t maximumBodySize = 64U << 20U);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    /**
     * @brief Sends a request.
     * @param done Called once, never from within send(), unless the client is destroyed before.
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

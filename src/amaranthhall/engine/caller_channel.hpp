#pragma once

#include "amaranthhall/engine/reply.hpp"

#include <string_view>

namespace amaranthhall::engine {

/// @brief Sends replies to a caller; implemented by each caller protocol.
class CallerChannel {
public:
    CallerChannel() = default;
    CallerChannel(const CallerChannel&) = delete;
    CallerChannel& operator=(const CallerChannel&) = delete;
    virtual ~CallerChannel() = default;

    /// @brief Accepts the session.
    virtual void acceptSession() = 0;

    /// @brief Refuses the session and closes the connection.
    virtual void refuse(ReplyCode code, std::string_view detail) = 0;

    /// @brief Sends the complete reply to the current request.
    virtual void sendReply(const Reply& reply) = 0;

    /// @brief Sends the complete reply to the current request, then closes the connection; no further request is handled.
    virtual void sendFinalReply(const Reply& reply) = 0;

    /// @brief Closes the connection once all written data has been sent.
    virtual void close() = 0;
};

}

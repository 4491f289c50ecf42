#pragma once

#include "amaranthhall/engine/reply.hpp"

#include <string_view>

namespace amaranthhall::engine {

/// @brief Way back to a caller; implemented by each caller protocol.
class CallerChannel {
public:
    CallerChannel() = default;
    CallerChannel(const CallerChannel&) = delete;
    CallerChannel& operator=(const CallerChannel&) = delete;
    virtual ~CallerChannel() = default;

    /// @brief Accepts the session.
    virtual void acceptSession() = 0;

    /// @brief Refuses the session and closes.
    virtual void refuse(ReplyCode code, std::string_view detail) = 0;

    /// @brief Sends the whole answer to the present request.
    virtual void answer(const Reply& reply) = 0;

    /// @brief Closes after what was written.
    virtual void close() = 0;
};

}

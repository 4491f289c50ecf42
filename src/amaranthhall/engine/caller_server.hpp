#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>

namespace amaranthhall::engine {

/// @brief Accepts caller connections and owns their sessions; implemented by each caller protocol.
class CallerServer {
public:
    CallerServer() = default;
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;
    virtual ~CallerServer() = default;

    /// @brief Closes sessions that have been idle for this long: no request is pending and no transaction is open.
    virtual void closeIdle(Duration idleTime) = 0;

    /// @brief From now on, closes each session with the reply after which it has neither a transaction nor a further request.
    virtual void closeAfterReplies() = 0;

    /// @brief Rolls back all open transactions; callers receive the error on their next statement.
    virtual void abortTransactions() = 0;

    /// @brief Answers all requests at once, those in progress and those that still arrive; closes sessions as closeAfterReplies() does.
    virtual void abandonRequests() = 0;

    /// @brief Ends the transactions of callers whose keys the current configuration no longer accepts, and closes their idle sessions.
    virtual void reviewSessions() = 0;

    [[nodiscard]] virtual std::size_t sessions() const noexcept = 0;
};

}

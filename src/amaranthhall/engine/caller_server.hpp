#pragma once

#include "amaranthhall/kernel/time.hpp"

#include <cstddef>

namespace amaranthhall::engine {

/// @brief Accepts callers and holds their sessions; implemented by each caller protocol.
class CallerServer {
public:
    CallerServer() = default;
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;
    virtual ~CallerServer() = default;

    /// @brief Closes sessions that have rested for this long: no request waits, and no transaction is open.
    virtual void closeIdle(Duration idleTime) = 0;

    /// @brief Rolls back the transactions that are open; their callers are told at their next statement.
    virtual void abortTransactions() = 0;

    [[nodiscard]] virtual std::size_t sessions() const noexcept = 0;
};

}

#pragma once

#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <cstdint>
#include <cstdio>
#include <libpq-fe.h>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::upstream::internal {

/// @brief What an upstream gave at startup for cancelling the statements of a connection.
struct BackendKey {
    std::int32_t process { 0 };
    std::int32_t secret { 0 };
};

/// @brief Records libpq's trace of a startup in memory, which is the only documented way to the secret key.
class KeyTrace {
public:
    /// @brief Begins to trace; call right after the connection was begun.
    explicit KeyTrace(PGconn* connection);
    ~KeyTrace();
    KeyTrace(const KeyTrace&) = delete;
    KeyTrace& operator=(const KeyTrace&) = delete;

    /// @brief Ends the trace, wipes it, and gives the key if the upstream sent one.
    [[nodiscard]] std::optional<BackendKey> finish();

private:
    PGconn* connection;
    char* text { nullptr };
    std::size_t length { 0 };
    std::FILE* file;
};

/// @brief Finds the key in a trace of libpq.
[[nodiscard]] std::optional<BackendKey> parseKeyTrace(std::string_view trace);

/// @brief Builds the CancelRequest message of protocol 3.0.
[[nodiscard]] std::string makeCancelRequest(const BackendKey& key);

/// @brief Sends a CancelRequest over a connection of its own and lets it go once the upstream has closed it.
void sendCancelRequest(kernel::Loop& loop, const kernel::Address& address, const BackendKey& key);

}

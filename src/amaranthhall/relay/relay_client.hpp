#pragma once

#include "amaranthhall/engine/relay.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"

#include <map>
#include <memory>
#include <string>

namespace amaranthhall::relay {

class RelayConnection;

/// @brief Connections to other daemons, one to each, that carry the streams of many sessions.
class RelayClient {
public:
    explicit RelayClient(kernel::Loop& loop);
    ~RelayClient();
    RelayClient(const RelayClient&) = delete;
    RelayClient& operator=(const RelayClient&) = delete;

    /// @brief Opens a stream to a daemon, over the connection to it or a new one.
    [[nodiscard]] std::unique_ptr<engine::RelayStream> open(const std::string& vm, const kernel::Address& address);

    /// @brief Gives the number of statements and open transactions of this daemon that another one runs.
    [[nodiscard]] std::size_t outstanding(const std::string& vm) const noexcept;

    /// @brief Tells whether a daemon has failed or fallen silent lately, and is not known to be back.
    [[nodiscard]] bool isAvoided(const std::string& vm, Time now) noexcept;

private:
    kernel::Loop& loop;
    std::map<std::string, std::shared_ptr<RelayConnection>> connections;
};

}

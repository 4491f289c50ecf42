#pragma once

#include "amaranthhall/engine/relay.hpp"
#include "amaranthhall/kernel/address.hpp"
#include "amaranthhall/kernel/loop.hpp"
#include "amaranthhall/telemetry/zone_traffic.hpp"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhall::relay {

class RelayConnection;

/// @brief Holds one connection to each other daemon and multiplexes the streams of all sessions over it.
class RelayClient {
public:
    /// @param traffic Counts the bytes and measures the round-trip time to each zone; may be null.
    explicit RelayClient(kernel::Loop& loop, telemetry::ZoneTraffic* traffic = nullptr);
    ~RelayClient();
    RelayClient(const RelayClient&) = delete;
    RelayClient& operator=(const RelayClient&) = delete;

    /// @brief Opens a stream to a daemon; connects if there is no connection yet.
    [[nodiscard]] std::unique_ptr<engine::RelayStream> open(const std::string& vm, const kernel::Address& address, std::string_view zone = {});

    /// @brief Returns the number of statements and open transactions that another daemon runs for this one.
    [[nodiscard]] std::size_t outstanding(const std::string& vm) const noexcept;

    /// @brief Returns whether the connection to a daemon recently failed or stalled and is not known to work again.
    [[nodiscard]] bool isAvoided(const std::string& vm, Time now) noexcept;

private:
    kernel::Loop& loop;
    telemetry::ZoneTraffic* traffic;
    std::map<std::string, std::shared_ptr<RelayConnection>> connections;
};

}

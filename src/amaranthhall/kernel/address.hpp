#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhall::kernel {

/// @brief An IP number and a port.
struct Address {
    std::string host;
    std::uint16_t port { 0 };

    friend auto operator<=>(const Address&, const Address&) = default;
};

/**
 * @brief Parses `host:port`, where the host is an IP number.
 * @param text Text such as `127.0.0.1:5432`.
 * @return The address, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

/// @brief Returns whether the host of an address is an IP number, as for all addresses that parseAddress() reads.
[[nodiscard]] bool isIpAddress(const Address& address);

/**
 * @brief Formats an address as `host:port`.
 * @param address The address.
 * @return The text that parseAddress() reads back.
 */
[[nodiscard]] std::string formatAddress(const Address& address);

}
